package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
	"github.com/redwinggauge/redwinggauge/internal/program"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// keepAliveInterval is the longest time without an event in a stream between entries.
const keepAliveInterval = time.Second

// serveInternal handles requests of other processes at the internal port.
func (e *Entry) serveInternal(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if e.serveHealth(ctx, path) || e.serveMetrics(ctx, path) {
		return
	}
	if !transport.Authorized(ctx, e.settings.Token) {
		transport.WriteError(ctx, api.Errorf(api.CodeUnauthorized, "the token is missing or wrong"))
		return
	}
	ctx.SetUserValue(internalPortValue, true)
	switch {
	case path == api.PathPeers:
		e.servePeers(ctx)
	case path == api.PathConfig:
		httpapi.ServePeer(ctx, e.tracker)
	case path == api.PathPrograms:
		limit, after := pageParams(ctx)
		transport.WriteJSON(ctx, fasthttp.StatusOK, api.ProgramList{Programs: e.localPrograms(limit, after)})
	case path == api.PathOwner:
		e.serveOwner(ctx)
	case len(path) > len(api.PathForward) && path[:len(api.PathForward)] == api.PathForward:
		e.serveProgram(ctx, path[len(api.PathForward):], false)
	default:
		transport.WriteError(ctx, api.Errorf(api.CodeNotFound, "path %s does not exist", path))
	}
}

// servePeers records another entry's heartbeat and answers with this entry's state.
func (e *Entry) servePeers(ctx *fasthttp.RequestCtx) {
	var request api.PeerExchange
	if err := transport.DecodeJSON(ctx, &request); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	e.peers.recordState(&request, time.Time{})
	transport.WriteJSON(ctx, fasthttp.StatusOK, e.peerState())
}

// serveOwner runs a call that a caller made at another entry.
func (e *Entry) serveOwner(ctx *fasthttp.RequestCtx) {
	var call api.OwnerCall
	if err := transport.DecodeJSON(ctx, &call); err != nil {
		transport.WriteError(ctx, err)
		return
	}
	journal := program.JournalOf(call.Program, e.settings.Journals)
	s := e.ownership.shard(journal)
	if s == nil {
		transport.WriteError(ctx, api.Errorf(api.CodeNotOwner, "entry %s does not own journal %d", e.settings.ID, journal))
		return
	}
	transport.WriteStream(ctx, "application/x-ndjson", func(w *bufio.Writer) { e.streamOwnedCall(w, s, &call) })
}

// streamOwnedCall runs the call and writes its events. It adds a keep-alive event at each keepAliveInterval.
func (e *Entry) streamOwnedCall(w *bufio.Writer, s *shard, call *api.OwnerCall) {
	events := make(chan []api.Event)
	ctx, cancel := s.ownedContext(e.ctx)
	defer cancel()
	go e.forwardOwnedEvents(ctx, s, call, events)
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	encoder := json.NewEncoder(w)
	for {
		select {
		case batch, ok := <-events:
			if !ok {
				return
			}
			for i := range batch {
				if encoder.Encode(&batch[i]) != nil {
					return
				}
			}
		case <-ticker.C:
			if encoder.Encode(api.Event{Kind: api.EventKeepAlive}) != nil {
				return
			}
		}
		if w.Flush() != nil {
			return
		}
	}
}

// forwardOwnedEvents runs the call and sends its events to the channel until the call or ctx ends, then closes the
// channel. If the ownership ends first, there may be no last event. The other entry then looks for the new owner.
func (e *Entry) forwardOwnedEvents(ctx context.Context, s *shard, call *api.OwnerCall, events chan<- []api.Event) {
	defer close(events)
	send := func(batch []api.Event) bool {
		select {
		case events <- batch:
			return true
		case <-ctx.Done():
			return false
		}
	}
	fail := func(err *api.Error) { send([]api.Event{{Kind: api.EventError, Error: err}}) }
	waitCtx, cancel := context.WithTimeout(ctx, ms(call.WaitMS))
	log, err := e.runOwned(waitCtx, s, call)
	cancel()
	if err != nil {
		if s.ctx.Err() != nil {
			return
		}
		fail(err)
		return
	}
	for offset := 0; ; {
		batch, ended, err := log.Next(ctx, offset)
		if err != nil || !send(batch) || ended {
			return
		}
		offset += len(batch)
	}
}
