package load

import (
	"context"
	"fmt"
	"net/http"

	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Waste is the cache memory that engines held for programs over time, in token seconds.
type Waste struct {
	HeldTokenSeconds   float64 `json:"held_token_seconds"`
	WastedTokenSeconds float64 `json:"wasted_token_seconds"` // The part held from the last use of a prefix to its release.
}

// Share returns the wasted share of the memory held, from 0 to 1.
func (w Waste) Share() float64 {
	if w.HeldTokenSeconds == 0 {
		return 0
	}
	return w.WastedTokenSeconds / w.HeldTokenSeconds
}

// since returns the increase since an earlier reading.
func (w Waste) since(earlier Waste) Waste {
	return Waste{
		HeldTokenSeconds:   w.HeldTokenSeconds - earlier.HeldTokenSeconds,
		WastedTokenSeconds: w.WastedTokenSeconds - earlier.WastedTokenSeconds,
	}
}

// readWaste reads the counters of all engines and returns their sum.
func readWaste(ctx context.Context, engines []string) (Waste, error) {
	client := transport.NewClient(transport.ClientOptions{})
	var total Waste
	for _, address := range engines {
		var one Waste
		if err := client.JSON(ctx, http.MethodGet, address, "/v1/cache_stats", nil, &one); err != nil {
			return Waste{}, fmt.Errorf("read the cache statistics of engine %s: %w", address, err)
		}
		total.HeldTokenSeconds += one.HeldTokenSeconds
		total.WastedTokenSeconds += one.WastedTokenSeconds
	}
	return total, nil
}
