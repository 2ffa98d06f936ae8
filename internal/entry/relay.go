package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/eventlog"
	"github.com/redwinggauge/redwinggauge/internal/program"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// ownerRetryPause is the pause before the owner of a journal is looked up again.
const ownerRetryPause = 50 * time.Millisecond

// relay sends one caller's call to the owner of its program's journal, which may be this entry or another one. If the owner
// is lost, it continues with the next owner. Its log holds the events that the caller receives.
type relay struct {
	entry      *Entry
	call       api.OwnerCall
	log        *eventlog.Log
	delivered  strings.Builder // Answer text in log.
	began      time.Time
	mayHaveRun bool // An owner may have started the call, and its answer was lost.
}

// ownerLostError says that the stream from an owner ended without an outcome. The next owner may have the outcome.
type ownerLostError struct{ err error }

// Error implements error.
func (e *ownerLostError) Error() string { return "the owner of the journal was lost: " + e.err.Error() }

// Unwrap returns the cause.
func (e *ownerLostError) Unwrap() error { return e.err }

// startRelay starts the call in a goroutine of its own and returns the log of its events.
func (e *Entry) startRelay(call api.OwnerCall) *eventlog.Log {
	call.WaitMS = e.settings.OrderWaitMS
	r := &relay{entry: e, call: call, log: eventlog.New(), began: time.Now()}
	e.relays.Add(1)
	go func() {
		defer e.relays.Done()
		ctx, cancel := context.WithTimeout(e.ctx, ms(e.settings.CallTimeoutMS))
		defer cancel()
		r.run(ctx)
	}()
	return r.log
}

// run sends the call to one owner after another until it has an outcome. After a failed attempt it gives up if no attempt
// has delivered new text for OrderWaitMS. A resent call carries the text delivered so far.
func (r *relay) run(ctx context.Context) {
	ownerDeadline := time.Now().Add(ms(r.entry.settings.OrderWaitMS))
	for {
		r.call.Delivered = r.delivered.String()
		if r.call.Delivered != "" {
			r.entry.metrics.resumedAnswers.Inc()
		}
		before := r.delivered.Len()
		err := r.tryOwner(ctx)
		if err == nil {
			return
		}
		if r.delivered.Len() > before {
			ownerDeadline = time.Now().Add(ms(r.entry.settings.OrderWaitMS))
		}
		var refused *api.Error
		if errors.As(err, &refused) && !ownerMoved(refused.Code) {
			r.fail(refused)
			return
		}
		if ctx.Err() != nil || time.Now().After(ownerDeadline) {
			r.fail(api.Errorf(api.CodeUnavailable, "no entry owns journal %d: %v", r.journal(), err))
			return
		}
		sleep(ctx, ownerRetryPause)
	}
}

func (r *relay) journal() int { return program.JournalOf(r.call.Program, r.entry.settings.Journals) }

// ownerMoved reports whether the code says that the journal's owner must be looked up again.
func ownerMoved(code api.Code) bool {
	return code == api.CodeNotOwner || code == api.CodeDraining
}

// fail ends the log with an error. If an earlier owner may have started the call, a refusal by a later one does not prove
// that the call did not run, and the error becomes CodeInterrupted.
func (r *relay) fail(err *api.Error) {
	if r.mayHaveRun && err.Code.SafeToResend() {
		err = api.Errorf(api.CodeInterrupted, "the call may have run and its answer was lost; resend the same seq: %s", err.Message)
	}
	r.entry.metrics.callEnded(err.Code, r.began)
	r.log.Append(api.Event{Kind: api.EventError, Error: err})
}

// tryOwner sends the call to the current owner. A nil error means that the log has ended.
func (r *relay) tryOwner(ctx context.Context) error {
	if s := r.entry.ownership.shard(r.journal()); s != nil {
		return r.runLocal(ctx, s)
	}
	address := r.entry.ownership.ownerAddress(r.journal())
	if address == "" {
		return api.Errorf(api.CodeNotOwner, "the owner of journal %d is not known", r.journal())
	}
	return r.runRemote(ctx, address)
}

// runLocal runs the call at this entry.
func (r *relay) runLocal(ctx context.Context, s *shard) error {
	call := r.call // A copy, because the execution keeps it after this function has returned.
	waitCtx, cancel := context.WithTimeout(ctx, ms(call.WaitMS))
	log, apiErr := r.entry.runOwned(waitCtx, s, &call)
	cancel()
	if apiErr != nil {
		return apiErr
	}
	skip := len(r.call.Delivered)
	ctx, cancel = s.ownedContext(ctx)
	defer cancel()
	for offset := 0; ; {
		events, ended, err := log.Next(ctx, offset)
		if err != nil {
			r.mayHaveRun = true
			return &ownerLostError{err: err}
		}
		offset += len(events)
		for i := range events {
			if done, err := r.forwardEvent(&events[i], &skip); done || err != nil {
				return err
			}
		}
		if ended {
			return &ownerLostError{err: errors.New("the call's log ended without an outcome")}
		}
	}
}

// runRemote runs the call at another entry.
func (r *relay) runRemote(ctx context.Context, address string) error {
	stream, err := r.entry.client.Stream(ctx, "POST", address, api.PathOwner, &r.call, false)
	if err != nil {
		return r.remoteError(err)
	}
	defer stream.Close()
	skip, kept := len(r.call.Delivered), answerLimit(r.call.Model)
	for {
		event, err := readEvent(stream)
		if err == nil {
			err = kept.Keep(len(event.Text))
		}
		if err != nil {
			r.mayHaveRun = true
			return &ownerLostError{err: err}
		}
		if done, err := r.forwardEvent(&event, &skip); done || err != nil {
			return err
		}
		if ctx.Err() != nil {
			return &ownerLostError{err: ctx.Err()}
		}
	}
}

// remoteError returns the owner's refusal if err is one, and ownerLostError if the connection failed.
func (r *relay) remoteError(err error) error {
	var refused *api.Error
	if errors.As(err, &refused) {
		return refused
	}
	if !transport.IsNotSent(err) {
		r.mayHaveRun = true
	}
	return &ownerLostError{err: err}
}

// forwardEvent appends an owner's event to the caller's log, without the first skip bytes of text, which the caller already
// has. done reports whether it was the last event.
func (r *relay) forwardEvent(event *api.Event, skip *int) (done bool, err error) {
	switch event.Kind {
	case api.EventDelta:
		return false, r.forwardText(event.Text, skip)
	case api.EventDone:
		if *skip > 0 {
			r.fail(r.divergedError())
			return true, nil
		}
		r.entry.metrics.callEnded(api.CodeOK, r.began)
		r.log.Append(*event)
		return true, nil
	case api.EventError:
		if ownerMoved(event.Error.Code) {
			r.mayHaveRun = true
			return false, event.Error
		}
		r.fail(event.Error)
		return true, nil
	}
	return false, nil
}

// forwardText appends the part of text after the first skip bytes, which the caller already has. If those bytes differ from
// the delivered text, it returns an error.
func (r *relay) forwardText(text string, skip *int) error {
	if *skip > 0 {
		delivered := r.delivered.String()
		part := min(*skip, len(text))
		start := len(r.call.Delivered) - *skip
		if delivered[start:start+part] != text[:part] {
			return r.divergedError()
		}
		*skip -= part
		text = text[part:]
	}
	if text == "" {
		return nil
	}
	if r.delivered.Len() == 0 {
		r.entry.metrics.firstTokenSeconds.UpdateDuration(r.began)
	}
	r.delivered.WriteString(text)
	r.log.Append(api.Event{Kind: api.EventDelta, Text: text})
	return nil
}

// divergedError returns the error of an answer that does not continue the text delivered to the caller.
func (r *relay) divergedError() *api.Error {
	return api.Errorf(api.CodeInterrupted, "after a failure the answer was restarted and differs from the text already sent; resend seq %d to read the whole answer", r.call.Seq)
}
