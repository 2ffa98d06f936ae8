package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/turns"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// stream is the state of an answer that is a series of events.
type stream struct {
	*exchange
	flush    *http.ResponseController
	chain    []string // Ids of the turns that this turn continues.
	record   []byte   // Text of the turn so far, on routes that keep turns.
	lastID   string   // Last event that the caller has.
	events   int      // Events handed to the caller.
	reserved *budget.Reservation
	needsAll bool                 // Tokens that this process has for the program are not counted on: other turns took them.
	resumes  int                  // Times that the stream went on after a server broke off.
	again    *fleet.BackendServer // Server at which the stream goes on, as it may live still.
}

// maxResumes bounds how often one answer goes on after a server broke off.
const maxResumes = 3

// serveStream serves a turn.
func (x *exchange) serveStream(ctx context.Context) error {
	s := &stream{exchange: x, flush: http.NewResponseController(x.w), lastID: x.call.LastEvent}
	if err := s.continueTurn(ctx); err != nil {
		return err
	}
	err := s.relay(ctx)
	s.handed = s.tokens()
	s.reserved.Settle(s.handed)
	if err != nil {
		return err
	}
	return s.keep(ctx)
}

// continueTurn puts what was said before in front of the new input.
func (s *stream) continueTurn(ctx context.Context) error {
	if !s.route.Stateful {
		return nil
	}
	s.record = append(s.record, s.call.Body...)
	if s.call.Previous == "" {
		return s.awaitStore(ctx)
	}
	var chain []*turns.Record
	err := s.g.access.persist(ctx, s.patience(), func() (err error) {
		chain, err = s.g.turns.Chain(ctx, s.call.Previous)
		return err
	})
	switch {
	case errors.Is(err, turns.ErrUnknown):
		return api.Errorf(api.CodeUnknownTurn, "%v", err)
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return &callerGone{err}
	case err != nil:
		return api.Errorf(api.CodeStoreUnavailable, "the turn that is continued cannot be read: %v", err)
	}
	var body []byte
	for _, r := range chain {
		body = append(body, r.Text...)
		s.chain = append(s.chain, r.ID)
	}
	s.body = append(body, s.call.Body...)
	return nil
}

// patienceShare is the part of a caller's wait for which a call waits for the key-value service to come back. A caller
// that is refused then still has time for its further tries.
const patienceShare = 1.0 / 3

// patience returns the time until which the call waits for the key-value service to come back.
func (s *stream) patience() time.Time {
	return s.call.Arrived.Add(time.Duration(float64(s.deadline.Sub(s.call.Arrived)) * patienceShare))
}

// awaitStore refuses a turn that could not be kept: its tokens would be spent in vain.
func (s *stream) awaitStore(ctx context.Context) error {
	if s.g.access.awaitWay(ctx, s.patience()) {
		return nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return &callerGone{ctx.Err()}
	}
	return api.Errorf(api.CodeStoreUnavailable, "%v", errAway)
}

// hasBudget reports whether the turn's tokens count against its program's budget.
func (s *stream) hasBudget() bool { return s.call.Program != "" && s.call.TokenBudget > 0 }

// most returns the most tokens that the turn may generate.
func (s *stream) most() int { return max(s.call.MaxOutput, 1) }

// reserve holds the most tokens of the turn in its program's budget.
func (s *stream) reserve(ctx context.Context) error {
	if !s.hasBudget() || s.reserved != nil {
		return nil
	}
	most := s.most()
	if s.reserved = s.g.accounts.TryReserve(s.call.Program, most); s.reserved != nil {
		return nil
	}
	err := s.g.access.persist(ctx, s.patience(), func() (err error) {
		s.reserved, err = s.g.accounts.Reserve(ctx, s.call.Program, s.call.TokenBudget, most)
		return err
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, budget.ErrSpent):
		return api.Errorf(api.CodeBudgetTokens, "%v", err)
	case errors.Is(ctx.Err(), context.Canceled):
		return &callerGone{err}
	}
	return api.Errorf(api.CodeStoreUnavailable, "the budget cannot be asked: %v", err)
}

// tokens returns what the events so far count for.
func (s *stream) tokens() int {
	if s.service.Engine == nil {
		return s.events
	}
	return s.events * s.service.Engine.TokensPerEvent
}

// relay passes events on until the last one. A server that breaks off is followed by another if the route allows it.
func (s *stream) relay(ctx context.Context) error {
	for {
		p, err := s.placeTurn(ctx)
		if err != nil {
			return s.breakOff(ctx, err)
		}
		err = s.attempt(ctx, p)
		s.noteOutcome(ctx, p, err)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !s.mayResume(p, err) {
			return s.breakOff(ctx, err)
		}
	}
}

// mayResume reports whether the stream may go on after the error, and where. A route allows a number of servers that run a
// call; a server that broke off may run it on, and one that cannot be reached any more no longer counts.
func (s *stream) mayResume(p placement, err error) bool {
	var left *callerGone
	if errors.As(err, &left) {
		return false
	}
	ended := s.again != nil && upstream.IsNotSent(err)
	s.again = nil
	if s.runs == 0 || !s.route.Resumable {
		return s.mayGoOn(err)
	}
	s.resumes++
	if s.resumes > maxResumes {
		return false
	}
	if !ended && s.runs >= max(s.route.Attempts, 1) {
		s.again = p.server
	}
	return true
}

// breakOff ends a stream that cannot go on: with an answer if none has begun.
func (s *stream) breakOff(ctx context.Context, err error) error {
	if s.started && !errors.Is(ctx.Err(), context.Canceled) {
		return &brokenAnswer{err}
	}
	return s.giveUp(ctx, err)
}

// attempt relays the events of one server.
func (s *stream) attempt(ctx context.Context, p placement) error {
	resp, err := s.send(ctx, p, s.lastID)
	if err != nil {
		return err
	}
	if resp.Status/100 != 2 {
		return s.relayFailure(resp)
	}
	defer resp.Close()
	events := resp.Events()
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			s.begin(resp)
			return nil
		}
		if err != nil {
			resp.Discard()
			return &upstreamBroke{err}
		}
		s.noteStart(p)
		s.begin(resp)
		if err := s.pass(event); err != nil {
			resp.Discard()
			return &callerGone{err}
		}
	}
}

// relayFailure passes on a failure of the server that came in place of a stream.
func (s *stream) relayFailure(resp *upstream.Response) error {
	defer resp.Close()
	body, err := resp.ReadAll(maxAnswerBytes)
	if err != nil {
		return &upstreamBroke{err}
	}
	if s.started {
		return &upstreamBroke{errors.New("the server that should go on answered with a failure")}
	}
	s.answer(resp.Status, resp.Header, body)
	s.record = nil
	return nil
}

// begin sends the head of the answer: that of the first server.
func (s *stream) begin(resp *upstream.Response) {
	if s.started {
		return
	}
	s.started = true
	s.first = time.Since(s.call.Arrived)
	s.g.codec.EncodeAnswer(s.w.Header(), resp.Header)
	s.w.WriteHeader(resp.Status)
}

// pass hands one event to the caller.
func (s *stream) pass(event []byte) error {
	id, data := s.g.codec.DecodeEvent(event)
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	if err := s.flush.Flush(); err != nil {
		return err
	}
	s.events++
	if id != "" {
		s.lastID = id
	}
	if s.route.Stateful {
		s.record = append(append(s.record, data...), '\n')
	}
	return nil
}

// keep writes the turn before its answer ends.
func (s *stream) keep(ctx context.Context) error {
	if !s.route.Stateful || s.record == nil || !s.started {
		return nil
	}
	record := &turns.Record{ID: s.call.ID, Chain: s.chain, Text: s.record, Ended: time.Now()}
	if err := s.g.turns.Append(ctx, record); err != nil {
		return &brokenAnswer{err}
	}
	return nil
}
