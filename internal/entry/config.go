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
	// defaultMaxTokens is the limit on an answer when neither the request nor the configuration sets one.
	defaultMaxTokens = 512
	// serveWait bounds the wait for a configuration that is known and on its way.
	serveWait = 2 * time.Second
)

// followConfig keeps the configuration up to date until the entry stops.
func (e *Entry) followConfig() {
	fetch := policy.Fetchers{e.store, httpapi.PeerFetcher{Client: e.client, Addresses: e.peers.addresses}}
	if err := e.tracker.Follow(e.ctx, e.store, fetch); err != nil && e.ctx.Err() == nil {
		e.log.Error("configuration is no longer followed", "error", err)
	}
}

// peerSpoke takes a peer's state: sent by it, or, with asked set, its answer to a question sent then.
func (e *Entry) peerSpoke(state *api.PeerExchange, asked time.Time) {
	e.ownership.observe(state.Fences)
	e.learnSuspects(state.Suspects)
	source := policy.Source{Kind: policy.SourceWatch}
	if !asked.IsZero() {
		source = policy.Source{
			Kind: policy.SourcePeer, Peer: state.Entry, RequestedAt: asked, Age: ms(state.ConfigAgeMS),
		}
	}
	e.tracker.Observe(state.ConfigRevision, source)
}

// ageMS returns an age in milliseconds; a negative age stays negative.
func ageMS(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// configRevision returns the revision that this entry holds.
func (e *Entry) configRevision() uint64 { return e.tracker.Current().Entry.Revision }

// config returns the configuration that this entry holds.
func (e *Entry) config() *policy.Config { return e.tracker.Current().Config }

// servingConfig returns the configuration for a new request, or CodeStaleConfig when this entry cannot tell which one
// is in force.
func (e *Entry) servingConfig() (*policy.Config, *api.Error) {
	ctx, cancel := context.WithTimeout(e.ctx, serveWait)
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

// maxTokensOf returns the limit on an answer of the model whose request sets none, in tokens.
func (e *Entry) maxTokensOf(model string) int {
	if m, ok := e.config().Model(model); ok && m.MaxTokens > 0 {
		return m.MaxTokens
	}
	return defaultMaxTokens
}

// priorityOf returns the operators' priority of the class.
func (e *Entry) priorityOf(class string) int {
	c, _ := e.config().Class(class)
	return c.Priority
}

// actionRule returns the rule in force for a service call.
func (e *Entry) actionRule(call *api.ServiceCall) policy.ActionRule {
	rule, _ := e.config().Action(call.Service, call.Method, call.Path)
	return rule
}
