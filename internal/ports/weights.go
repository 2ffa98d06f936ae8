package ports

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// PathWeights is the prefix of the HTTP paths of the weight store. The model's name follows it.
const PathWeights = "/v1/weights/"

// ErrWeightsRateLimited means that the weight store refused a read because its rate limit is reached.
var ErrWeightsRateLimited = errors.New("weight store: rate limit reached")

// Weights describes a model's weights.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// WeightStore is a client of the rate-limited weight store. It is safe for concurrent use.
type WeightStore struct {
	client  *transport.Client
	address string
}

const defaultWeightsTimeout = 5 * time.Second

// NewWeightStore returns a client of the weight store at address (host:port).
func NewWeightStore(address string) *WeightStore {
	client := transport.NewClient(transport.ClientOptions{RequestTimeout: defaultWeightsTimeout})
	return &WeightStore{client: client, address: address}
}

// Fetch reads the description of the model's weights. After ErrWeightsRateLimited, the caller may retry later.
func (w *WeightStore) Fetch(ctx context.Context, model string) (Weights, error) {
	var out Weights
	err := w.client.JSON(ctx, http.MethodGet, w.address, PathWeights+url.PathEscape(model), nil, &out)
	var status *transport.StatusError
	if errors.As(err, &status) && status.Status == http.StatusTooManyRequests {
		return Weights{}, fmt.Errorf("fetch weights of model %q: %w", model, ErrWeightsRateLimited)
	}
	if err != nil {
		return Weights{}, fmt.Errorf("fetch weights of model %q: %w", model, err)
	}
	return out, nil
}
