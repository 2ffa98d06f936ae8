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

// ownerPause is the pause before the owner of a journal is looked for again.
const ownerPause = 50 * time.Millisecond

// relay carries one caller's call to the owner of its program's journal, wherever that is, and goes on with the next
// owner when one is lost. Its log holds what the caller gets.
type relay struct {
	entry     *Entry
	call      api.OwnerCall
	out       *eventlog.Log
	delivered strings.Builder // Answer text in out.
	began     time.Time
	mayRun    bool // An owner may have begun the call and its answer was lost.
}

// ownerLost says that the stream from an owner ended without an outcome; another owner may have it.
type ownerLost struct{ err error }

// Error implements error.
func (e *ownerLost) Error() string { return "the owner of the journal was lost: " + e.err.Error() }

// Unwrap returns the cause.
func (e *ownerLost) Unwrap() error { return e.err }

// startRelay begins the call and returns the log of its events.
func (e *Entry) startRelay(call api.OwnerCall) *eventlog.Log {
	call.WaitMS = e.settings.OrderWaitMS
	r := &relay{entry: e, call: call, out: eventlog.New(), began: time.Now()}
	e.relays.Add(1)
	go func() {
		defer e.relays.Done()
		ctx, cancel := context.WithTimeout(e.ctx, ms(e.settings.CallTimeoutMS))
		defer cancel()
		r.run(ctx)
	}()
	return r.out
}

// run asks one owner after another until the call has an outcome.
func (r *relay) run(ctx context.Context) {
	lookUntil := time.Now().Add(ms(r.entry.settings.OrderWaitMS))
	for {
		r.call.Delivered = r.delivered.String()
		if r.call.Delivered != "" {
			r.entry.metrics.resumes.Inc()
		}
		before := r.delivered.Len()
		err := r.once(ctx)
		if err == nil {
			return
		}
		if r.delivered.Len() > before {
			lookUntil = time.Now().Add(ms(r.entry.settings.OrderWaitMS))
		}
		var refused *api.Error
		if errors.As(err, &refused) && !movesOwner(refused.Code) {
			r.fail(refused)
			return
		}
		if ctx.Err() != nil || time.Now().After(lookUntil) {
			r.fail(api.Errorf(api.CodeUnavailable, "no entry owns journal %d: %v", r.journal(), err))
			return
		}
		sleep(ctx, ownerPause)
	}
}

func (r *relay) journal() int { return program.JournalOf(r.call.Program, r.entry.settings.Journals) }

// movesOwner reports whether the code asks to look for the journal's owner again.
func movesOwner(code api.Code) bool {
	return code == api.CodeNotOwner || code == api.CodeDraining
}

// fail ends the log. A refusal proves nothing when an earlier owner may have begun the call.
func (r *relay) fail(err *api.Error) {
	if r.mayRun && err.Code.SafeToResend() {
		err = api.Errorf(api.CodeInterrupted, "the call may have run and its answer was lost; resend the same seq: %s", err.Message)
	}
	r.entry.metrics.ended(err.Code, r.began)
	r.out.Append(api.Event{Kind: api.EventError, Error: err})
}

// once passes the call to the present owner. A nil error means that the log has ended.
func (r *relay) once(ctx context.Context) error {
	if s := r.entry.ownership.shard(r.journal()); s != nil {
		return r.local(ctx, s)
	}
	address := r.entry.ownership.address(r.journal())
	if address == "" {
		return api.Errorf(api.CodeNotOwner, "the owner of journal %d is not known", r.journal())
	}
	return r.remote(ctx, address)
}

// local runs the call at this entry.
func (r *relay) local(ctx context.Context, s *shard) error {
	call := r.call // The execution keeps it beyond this attempt.
	wait, cancel := context.WithTimeout(ctx, ms(call.WaitMS))
	log, apiErr := r.entry.runOwned(wait, s, &call)
	cancel()
	if apiErr != nil {
		return apiErr
	}
	skip := len(r.call.Delivered)
	ctx, cancel = s.owned(ctx)
	defer cancel()
	for offset := 0; ; {
		events, ended, err := log.Next(ctx, offset)
		if err != nil {
			r.mayRun = true
			return &ownerLost{err: err}
		}
		offset += len(events)
		for i := range events {
			if done, err := r.pass(&events[i], &skip); done || err != nil {
				return err
			}
		}
		if ended {
			return &ownerLost{err: errors.New("the call's log ended without an outcome")}
		}
	}
}

// remote runs the call at another entry.
func (r *relay) remote(ctx context.Context, address string) error {
	stream, err := r.entry.client.Stream(ctx, "POST", address, api.PathOwner, &r.call, false)
	if err != nil {
		return r.remoteError(err)
	}
	defer stream.Close()
	skip := len(r.call.Delivered)
	for {
		event, err := readEvent(stream)
		if err != nil {
			r.mayRun = true
			return &ownerLost{err: err}
		}
		if done, err := r.pass(&event, &skip); done || err != nil {
			return err
		}
		if ctx.Err() != nil {
			return &ownerLost{err: ctx.Err()}
		}
	}
}

// remoteError tells an owner's refusal from a lost connection.
func (r *relay) remoteError(err error) error {
	var refused *api.Error
	if errors.As(err, &refused) {
		return refused
	}
	if !transport.IsNotSent(err) {
		r.mayRun = true
	}
	return &ownerLost{err: err}
}

// pass puts an owner's event into the caller's log, leaving out text that the caller has. done reports the last event.
func (r *relay) pass(event *api.Event, skip *int) (done bool, err error) {
	switch event.Kind {
	case api.EventDelta:
		return false, r.passText(event.Text, skip)
	case api.EventDone:
		if *skip > 0 {
			r.fail(r.diverged())
			return true, nil
		}
		r.entry.metrics.ended(api.CodeOK, r.began)
		r.out.Append(*event)
		return true, nil
	case api.EventError:
		if movesOwner(event.Error.Code) {
			r.mayRun = true
			return false, event.Error
		}
		r.fail(event.Error)
		return true, nil
	}
	return false, nil
}

// passText appends the part of text that lies after what the caller has read. Text that contradicts it is an error.
func (r *relay) passText(text string, skip *int) error {
	if *skip > 0 {
		have := r.delivered.String()
		part := min(*skip, len(text))
		start := len(r.call.Delivered) - *skip
		if have[start:start+part] != text[:part] {
			return r.diverged()
		}
		*skip -= part
		text = text[part:]
	}
	if text == "" {
		return nil
	}
	if r.delivered.Len() == 0 {
		r.entry.metrics.firstToken.UpdateDuration(r.began)
	}
	r.delivered.WriteString(text)
	r.out.Append(api.Event{Kind: api.EventDelta, Text: text})
	return nil
}

// diverged is the error of an answer that does not continue what the caller has read.
func (r *relay) diverged() *api.Error {
	return api.Errorf(api.CodeInterrupted, "the answer was begun anew after a failure; resend seq %d to read it whole", r.call.Seq)
}
