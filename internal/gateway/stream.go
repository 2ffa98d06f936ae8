package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/budget"
	"github.com/redwinggauge/redwinggauge/internal/buffers"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/streams"
	"github.com/redwinggauge/redwinggauge/internal/transcript"
	"github.com/redwinggauge/redwinggauge/internal/turns"
	"github.com/redwinggauge/redwinggauge/internal/upstream"
)

// stream is the state of a call whose answer is a stream of events.
type stream struct {
	*exchange
	controller       *http.ResponseController
	chain            []string           // Ids of the turns that this turn continues, the oldest first.
	text             []byte             // Input and event data of the turn so far, on routes that store turns.
	transcript       *transcript.Writer // Stores the events of a turn that may be taken up; nil on other routes.
	lastEventID      string             // Id of the last event that the caller has received.
	events           int                // Events sent to the caller.
	reservation      *budget.Reservation
	ignoreHeldTokens bool            // The hub is asked for all tokens of the turn: other turns took those that this process held.
	resumes          int             // Times that the stream was resumed after a server broke off.
	origin           *streams.Origin // What sent the first event to the caller; nil before it.
	originRecorded   bool
	resumeAt         *fleet.BackendServer // Server at which the stream is to be resumed, as it may still run the call; otherwise nil.
}

// maxStreamBytes limits the events of one answer. It is far above what a turn of the largest model output takes.
const maxStreamBytes = 4 << 20

const (
	minPatience        = 2 * time.Second // Callers wait at least this long for the next event of a stream.
	patienceObjectives = 4               // They wait this multiple of the route's objective if it is longer,
	patienceGaps       = 8               // or this multiple of its limit for the time between events.

	patienceMargin = 500 * time.Millisecond // So that a stream is never ended before its caller would leave.
)

// maxEventPause returns the time without an event after which a stream of the route is ended: when its caller should have left
// already. A stream that stalls for longer is of no use to anybody, also if its server sends bytes now and then.
func maxEventPause(route *fleet.Route) time.Duration {
	return max(minPatience, patienceObjectives*route.Objective, patienceGaps*route.GapLimit) + patienceMargin
}

// maxResumes bounds how often one answer is resumed after a server broke off.
const maxResumes = 3

// serveStream serves a turn: it relays the events of the answer, settles the budget reservation by the tokens sent, and
// stores the turn.
func (x *exchange) serveStream(ctx context.Context) error {
	s := &stream{exchange: x, controller: http.NewResponseController(x.w), lastEventID: x.call.LastEvent}
	if err := s.findOrigin(ctx); err != nil {
		return err
	}
	if err := s.prependHistory(ctx); err != nil {
		return err
	}
	if err := s.startTranscript(ctx); err != nil {
		return err
	}
	defer s.endTranscript()
	err := s.guarded(func() error { return s.relay(ctx) })
	s.outputTokens = s.tokens()
	s.reservation.Settle(s.outputTokens)
	if err != nil {
		return err
	}
	return s.storeTurn(ctx)
}

// findOrigin finds out which version began the stream that the caller takes up. It refuses the call if that is not known: servers
// of another version would not notice that what they write does not fit.
func (s *stream) findOrigin(ctx context.Context) error {
	if !s.route.Resumable || s.call.LastEvent == "" {
		return nil
	}
	origin, err := s.g.origins.find(ctx, s.organisationName(), s.call.Resumes, s.storeWaitDeadline())
	switch {
	case err == nil:
		s.origin = origin
		return nil
	case errors.Is(err, streams.ErrUnknown):
		return api.Errorf(api.CodeStreamUnknown, "%v", err)
	}
	return storeError(ctx, err)
}

// storeError converts the reason why a turn did not get what it needs of the key-value service into the error for the caller.
func storeError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &callerGoneError{err}
	}
	return api.Errorf(api.CodeStoreUnavailable, "%v", err)
}

// recordOrigin records, once, which version sends the first event to the caller, so that the stream goes on only there.
func (s *stream) recordOrigin(server *fleet.BackendServer) {
	if s.originRecorded {
		return
	}
	s.originRecorded = true
	if s.origin == nil {
		s.origin = streams.OriginOf(server)
	}
	if s.route.Resumable {
		s.g.origins.add(s.organisationName(), s.call.ID, *s.origin)
	}
}

// prependHistory puts the text of the turns that this one continues before the caller's input, on routes that store turns.
func (s *stream) prependHistory(ctx context.Context) error {
	if !s.route.Stateful {
		return nil
	}
	s.text = append(s.text, s.call.Body...)
	if s.call.Previous == "" {
		return s.awaitStore(ctx)
	}
	var chain []*turns.Record
	err := s.g.storeAccess.retryDuringOutage(ctx, s.storeWaitDeadline(), func() (err error) {
		chain, err = s.g.turns.Chain(ctx, s.organisationName(), s.call.Previous)
		return err
	})
	switch {
	case errors.Is(err, turns.ErrUnknown):
		if errors.Is(err, turns.ErrOtherOrganisation) {
			s.g.log.Info("turn belongs to another organisation", "request", s.call.ID, "organisation", s.organisationName(), "turn", s.call.Previous)
			if err := s.confirmOrganisation(ctx); err != nil {
				return err
			}
		}
		return api.Errorf(api.CodeUnknownTurn, "no turn %q is kept", s.call.Previous)
	case err != nil:
		return storeError(ctx, fmt.Errorf("cannot read the turns before this one: %w", err))
	}
	size := 0
	for _, r := range chain {
		size += len(r.Text)
	}
	if err := s.buffers.TakeRequest(int64(size)); err != nil {
		return api.Errorf(api.CodeOverloaded, "%v", err)
	}
	body := make([]byte, 0, size+len(s.call.Body))
	for _, r := range chain {
		body = append(body, r.Text...)
		s.chain = append(s.chain, r.ID)
	}
	s.body = append(body, s.call.Body...)
	return nil
}

// storeWaitShare is the fraction of a caller's total wait that a call may spend waiting for the key-value service to
// recover. A caller that is refused then still has time to retry.
const storeWaitShare = 1.0 / 3

// storeWaitDeadline returns the time until which the call waits for the key-value service to recover.
func (s *stream) storeWaitDeadline() time.Time {
	return s.call.Arrived.Add(time.Duration(float64(s.deadline.Sub(s.call.Arrived)) * storeWaitShare))
}

// awaitStore waits until the key-value service can be reached. It refuses a turn that could not be stored, because its
// tokens would be wasted.
func (s *stream) awaitStore(ctx context.Context) error {
	if s.g.storeAccess.awaitReachable(ctx, s.storeWaitDeadline()) {
		return nil
	}
	return storeError(ctx, errStoreUnavailable)
}

// hasBudget reports whether the turn's tokens count against its program's budget.
func (s *stream) hasBudget() bool { return s.call.Program != "" && s.call.TokenBudget > 0 }

// account returns the account of the program's budget.
func (x *exchange) account() string { return budget.Account(x.organisationName(), x.call.Program) }

// maxTokens returns the largest number of output tokens that the turn may generate.
func (s *stream) maxTokens() int { return max(s.call.MaxOutput, 1) }

// reserve reserves the turn's maxTokens in its program's budget: from tokens that this process was already granted, or from
// the key-value service.
func (s *stream) reserve(ctx context.Context) error {
	if !s.hasBudget() || s.reservation != nil {
		return nil
	}
	tokens := s.maxTokens()
	if s.reservation = s.g.accounts.TryReserve(s.account(), tokens); s.reservation != nil {
		return nil
	}
	err := s.g.storeAccess.retryDuringOutage(ctx, s.storeWaitDeadline(), func() (err error) {
		s.reservation, err = s.g.accounts.Reserve(ctx, s.account(), s.call.TokenBudget, tokens)
		return err
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, budget.ErrSpent):
		return api.Errorf(api.CodeBudgetTokens, "%v", err)
	}
	return storeError(ctx, fmt.Errorf("the budget cannot be asked: %w", err))
}

// tokens returns the number of output tokens that the events so far count for.
func (s *stream) tokens() int {
	if s.service.Engine == nil {
		return s.events
	}
	return s.events * s.service.Engine.TokensPerEvent
}

// relay places the turn and forwards the events of the answer up to the last one. If a server breaks off, the stream is
// resumed if the route allows it.
func (s *stream) relay(ctx context.Context) error {
	for {
		p, err := s.placeTurn(ctx)
		if err != nil {
			return s.breakOff(ctx, err)
		}
		err = s.guarded(func() error { return s.attempt(ctx, p) })
		s.recordOutcome(ctx, p, err)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !s.mayResume(p, err) {
			return s.breakOff(ctx, err)
		}
	}
}

// mayResume reports whether the stream may be resumed after the error. It sets resumeAt if only the same server may resume
// it. A route limits the number of servers that may run a call. A server that broke off may still run it and counts towards
// the limit; a server that can no longer be reached, or has left the list for longer than it may get the call, does not.
func (s *stream) mayResume(p placement, err error) bool {
	var gone *callerGoneError
	if errors.As(err, &gone) || isRefusal(err) || errors.Is(err, buffers.ErrExhausted) { // The next answer would need as much.
		return false
	}
	unreachable := s.resumeAt != nil && (upstream.IsUnreachable(err) || errors.Is(err, errUnlisted))
	s.resumeAt = nil
	if s.runs == 0 || !s.route.Resumable {
		return s.mayRetry(err)
	}
	s.resumes++
	if s.resumes > maxResumes || s.events > 0 && s.lastEventID == "" { // Without an id, the server would begin anew.
		return false
	}
	if !unreachable && s.runs >= max(s.route.Attempts, 1) {
		s.resumeAt = p.server
	}
	return true
}

// breakOff returns the error of a stream that cannot be resumed: a *brokenOffError if part of the answer was sent, otherwise
// the error for the caller.
func (s *stream) breakOff(ctx context.Context, err error) error {
	if s.started && !errors.Is(ctx.Err(), context.Canceled) {
		return &brokenOffError{err}
	}
	return s.finalError(ctx, err)
}

// attempt sends the call to the placed server and forwards its events.
func (s *stream) attempt(ctx context.Context, p placement) error {
	if err := s.confirmVersion(ctx, p); err != nil {
		s.tried[p.server.ID] = true
		return err
	}
	meter := newTurnMeter(s)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := s.send(ctx, p, s.lastEventID)
	if err != nil {
		return err
	}
	if resp.Status/100 != 2 {
		return s.relayFailure(resp)
	}
	defer resp.Close()
	if s.lastEventID != "" {
		if err := streams.CheckRest(resp.Status, resp.Header); err != nil {
			resp.Abort()
			return &upstreamBrokeOffError{err}
		}
	}
	events := s.readAhead(ctx, resp, p)
	err = s.guarded(func() error { return s.forwardAll(events, resp, p, meter) })
	events.Close(cancel)
	if err != nil {
		resp.Abort()
	}
	return err
}

// forwardAll forwards the events of the answer up to the last one, and measures its times.
func (s *stream) forwardAll(events eventSource, resp *upstream.Response, p placement, meter *turnMeter) error {
	resumed := s.lastEventID != ""
	for isEmpty := true; ; isEmpty = false {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if resumed && isEmpty {
				if err := streams.CheckEmptyRest(resp.Header, resp.IsFramed()); err != nil {
					return &upstreamBrokeOffError{err}
				}
			}
			s.writeHead(resp)
			return nil
		}
		if err != nil {
			return &upstreamBrokeOffError{err}
		}
		meter.event(events.IsAhead(), events.arrivedAt())
		s.recordStart(p)
		s.recordOrigin(p.server)
		s.writeHead(resp)
		if err := s.forward(event, events); err != nil {
			return err
		}
	}
}

// relayFailure forwards a failure status with which the server answered instead of a stream.
func (s *stream) relayFailure(resp *upstream.Response) error {
	defer resp.Close()
	body, err := resp.ReadAll(maxAnswerBytes, s.buffers)
	if err != nil {
		return &upstreamBrokeOffError{err}
	}
	if s.started {
		return &upstreamBrokeOffError{errors.New("the server that should resume the stream answered with a failure")}
	}
	s.text = nil
	return s.writeAnswer(resp.Status, resp.Header, body)
}

// writeHead sends the head of the answer to the caller, once: that of the first server that answered.
func (s *stream) writeHead(resp *upstream.Response) {
	if s.started {
		return
	}
	s.firstEventAfter = time.Since(s.call.Arrived)
	s.g.codec.EncodeAnswer(s.w.Header(), resp.Header)
	s.unframed.begin()
	s.g.announceStop(s.w)
	s.w.WriteHeader(resp.Status)
	s.started = true
}

// forward sends one event to the caller and adds its data to the text of the turn. The error is a *callerGoneError, or that the
// process has no memory left for the text.
func (s *stream) forward(event []byte, events eventSource) error {
	s.countDomainBytes(len(event))
	id, data := s.g.codec.DecodeEvent(event)
	if s.route.Stateful {
		if err := s.buffers.Take(int64(len(data)) + 1); err != nil {
			return err
		}
	}
	err := events.Deliver(len(event), func() error {
		if _, err := s.w.Write(event); err != nil {
			return err
		}
		return s.controller.Flush()
	})
	switch {
	case s.buffers.Ended():
		return buffers.ErrSlowest
	case err != nil:
		return &callerGoneError{err}
	}
	s.events++
	if id != "" {
		s.lastEventID = id
	}
	if s.route.Stateful {
		s.addText(data)
	}
	return nil
}

// addText adds the data of an event to the text of the turn.
func (s *stream) addText(data []byte) { s.text = append(append(s.text, data...), '\n') }

// storeTurn stores the turn. This is done before its answer ends, so that a turn whose end the caller has seen is stored.
func (s *stream) storeTurn(ctx context.Context) error {
	if !s.route.Stateful || s.text == nil || !s.started {
		return nil
	}
	record := &turns.Record{ID: s.call.ID, Organisation: s.organisationName(), Chain: s.chain, Text: s.text, Ended: time.Now()}
	if err := s.g.turns.Append(ctx, record); err != nil {
		return &brokenOffError{err}
	}
	return nil
}
