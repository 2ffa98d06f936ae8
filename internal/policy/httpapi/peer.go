package httpapi

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// peerTimeout is the timeout of one request to one entry.
const peerTimeout = 400 * time.Millisecond

// ServePeer handles api.PathConfig. It returns this process's configuration to a process that cannot read it from the
// key-value service. The caller must have checked the token that the processes share.
func ServePeer(ctx *fasthttp.RequestCtx, t *policy.Tracker) {
	current := t.Current()
	if current.Raw == nil {
		transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "this process has no accepted configuration"))
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, current)
}

// PeerFetcher reads configurations from other entries. It implements policy.Fetcher.
type PeerFetcher struct {
	Client    *transport.Client
	Addresses func() []string // Internal addresses of live entries. The PeerFetcher may modify the slice.
}

// Fetch requests the configuration from the entries in random order until one returns a revision of at least atLeast.
func (f PeerFetcher) Fetch(ctx context.Context, atLeast uint64) (policy.Snapshot, error) {
	lastErr := error(api.Errorf(api.CodeUnavailable, "no entry to read configuration revision %d from", atLeast))
	addresses := f.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses {
		got, err := f.fetchFrom(ctx, address)
		if err != nil {
			lastErr = fmt.Errorf("read the configuration of entry %s: %w", address, err)
			continue
		}
		if got.Config != nil && got.Entry.Revision >= atLeast {
			return got, nil
		}
		lastErr = api.Errorf(api.CodeNotFound, "entry %s has configuration revision %d; at least %d is required", address, got.Entry.Revision, atLeast)
	}
	return policy.Snapshot{}, lastErr
}

func (f PeerFetcher) fetchFrom(ctx context.Context, address string) (policy.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var got policy.Snapshot
	err := f.Client.JSON(ctx, fasthttp.MethodGet, address, api.PathConfig, nil, &got)
	return got, err
}
