package entry

import (
	"context"
	"errors"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
)

const (
	// defaultMaxTokens is the token limit of an answer if neither the request nor the configuration sets one.
	defaultMaxTokens = 512
	// configWait is how long a request waits for a newer configuration that is known to exist but not yet read.
	configWait = 2 * time.Second
)

// followConfig keeps the configuration up to date until the entry stops. It reads it from the key-value service or from
// peers.
func (e *Entry) followConfig() {
	fetch := policy.Fetchers{e.store, httpapi.PeerFetcher{Client: e.client, Addresses: e.peers.addresses}}
	if err := e.tracker.Follow(e.ctx, e.store, fetch); err != nil && e.ctx.Err() == nil {
		e.log.Error("configuration updates stopped", "error", err)
	}
}

// handlePeerState applies a state received from a peer or learned through the membership protocol. requestedAt is when the
// request that it answers was sent, or zero if it does not answer a request.
func (e *Entry) handlePeerState(state *api.PeerExchange, requestedAt time.Time) {
	e.ownership.observeFences(state.Fences)
	e.mergeSuspects(state.Suspects)
	source := policy.Source{Kind: policy.SourceWatch}
	if !requestedAt.IsZero() {
		source = policy.Source{
			Kind: policy.SourcePeer, Peer: state.Entry, RequestedAt: requestedAt, Age: ms(state.ConfigAgeMS),
		}
	}
	e.tracker.Observe(state.ConfigRevision, source)
}

// ageMS returns an age in milliseconds, or -1 for any negative age.
func ageMS(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// configRevision returns the revision of the configuration that this entry holds.
func (e *Entry) configRevision() uint64 { return e.tracker.Current().Entry.Revision }

// config returns the configuration that this entry holds, whether or not a newer one is known.
func (e *Entry) config() *policy.Config { return e.tracker.Current().Config }

// servingConfig returns the configuration for a new request, or CodeStaleConfig if this entry cannot tell which one is in
// force.
func (e *Entry) servingConfig() (*policy.Config, *api.Error) {
	ctx, cancel := context.WithTimeout(e.ctx, configWait)
	defer cancel()
	snapshot, err := e.tracker.AwaitFresh(ctx)
	if err != nil {
		var refused *api.Error
		if errors.As(err, &refused) {
			return nil, refused
		}
		return nil, api.Errorf(api.CodeStaleConfig, "%v", err)
	}
	return snapshot.Config, nil
}

// maxTokensOf returns the token limit of an answer of the model if the request sets none.
func (e *Entry) maxTokensOf(model string) int {
	if m, ok := e.config().Model(model); ok && m.MaxTokens > 0 {
		return m.MaxTokens
	}
	return defaultMaxTokens
}

// priorityOf returns the priority of the class in the configuration.
func (e *Entry) priorityOf(class string) int {
	c, _ := e.config().Class(class)
	return c.Priority
}

// actionRule returns the configuration's rule for a service call.
func (e *Entry) actionRule(call *api.ServiceCall) policy.ActionRule {
	rule, _ := e.config().Action(call.Service, call.Method, call.Path)
	return rule
}
