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

// peerTimeout bounds one question to one entry.
const peerTimeout = 400 * time.Millisecond

// ServePeer answers api.PathConfig: the configuration that this process holds, for one that cannot read it from the
// key-value service. The caller has checked the processes' token.
func ServePeer(ctx *fasthttp.RequestCtx, t *policy.Tracker) {
	current := t.Current()
	if current.Raw == nil {
		transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "this process holds no accepted configuration"))
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, current)
}

// PeerFetcher gets configurations from other entries. It implements policy.Fetcher.
type PeerFetcher struct {
	Client    *transport.Client
	Addresses func() []string // Internal addresses of live entries; the slice becomes the PeerFetcher's.
}

// Fetch asks the entries in turn for a configuration at least as new as a revision.
func (f PeerFetcher) Fetch(ctx context.Context, atLeast uint64) (policy.Snapshot, error) {
	last := error(api.Errorf(api.CodeUnavailable, "no entry to ask for configuration revision %d", atLeast))
	addresses := f.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses {
		got, err := f.ask(ctx, address)
		if err != nil {
			last = fmt.Errorf("read the configuration of entry %s: %w", address, err)
			continue
		}
		if got.Config != nil && got.Entry.Revision >= atLeast {
			return got, nil
		}
		last = api.Errorf(api.CodeNotFound, "entry %s holds configuration revision %d, not %d", address, got.Entry.Revision, atLeast)
	}
	return policy.Snapshot{}, last
}

func (f PeerFetcher) ask(ctx context.Context, address string) (policy.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var got policy.Snapshot
	err := f.Client.JSON(ctx, fasthttp.MethodGet, address, api.PathConfig, nil, &got)
	return got, err
}
