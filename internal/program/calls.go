package program

import (
	"context"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/eventlog"
)

// BeginRequest is a request to run one call of a program, or to attach to it.
type BeginRequest struct {
	Program   string
	Seq       uint64
	Digest    string // Digest of the caller's request.
	MaxCharge int    // Largest number of tokens that the call may be charged.
	NowMS     int64  // Unix milliseconds.
	// PriorCostBounded is set if no call that an earlier owner sent for this seq can cost more than this call will be
	// charged. The earlier owner's reservation is then reused for this call rather than charged as spent.
	PriorCostBounded bool
}

// BeginResult is the result of a BeginRequest. Exactly one of Stored, AnswerUnloaded and Running is set.
type BeginResult struct {
	Stored         *StoredAnswer // The call has already ended.
	AnswerUnloaded bool          // The call has ended and its answer is not in memory: restore the history and retry.
	Running        *RunningCall  // The call is running.
	Started        bool          // This request started the call, which must be ended with Tree.End.
	Reserve        *Reserve      // If Started: change to commit before the call is sent; may be nil.
	View           View          // If Started: the program's state for the call.
}

// StoredAnswer is the answer of a call that has ended.
type StoredAnswer struct {
	Answer       api.Message // Answer of a model call.
	FinishReason string
	Usage        api.Usage
	Outcome      *Outcome // Outcome of a service call; nil for a model call.
}

// View is the state of a program that a call needs.
type View struct {
	Organisation string
	Class        string
	HistoryHash  string
	HistoryBytes int
	Attained     uint64  // Tokens charged to the tree.
	Intent       *Intent // Set if a non-idempotent call may have been sent and its outcome is unknown.
	Attempt      int     // Highest attempt number of the intents for the next seq.
}

// Begin starts a call once all earlier calls of the program have ended, attaches to it if it is running, or returns its
// answer if it has ended. It waits for earlier calls until ctx ends.
func (t *Tree) Begin(ctx context.Context, r BeginRequest) (BeginResult, *api.Error) {
	for {
		begun, wait, err := t.tryBegin(r)
		if err != nil || wait == nil {
			return begun, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return BeginResult{}, api.Errorf(api.CodeOrderTimeout, "seq %d of program %s waited for earlier calls that did not end in time", r.Seq, r.Program)
		}
	}
}

// tryBegin is Begin without waiting. It returns a channel to wait on if an earlier call must end first.
func (t *Tree) tryBegin(r BeginRequest) (BeginResult, <-chan struct{}, *api.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.programs[r.Program]
	if p == nil {
		return BeginResult{}, nil, api.Errorf(api.CodeUnknownProgram, "program %s does not exist", r.Program)
	}
	if r.Seq > 0 && r.Seq < p.nextSeq {
		begun, err := p.storedAnswer(r)
		return begun, nil, err
	}
	if p.ended {
		return BeginResult{}, nil, api.Errorf(api.CodeProgramEnded, "program %s has ended: %s", p.id, p.reason)
	}
	if r.Seq == 0 || r.Seq > p.nextSeq+MaxSeqAhead {
		return BeginResult{}, nil, api.Errorf(api.CodeSeqOutOfRange, "seq %d of program %s is outside 1 to %d", r.Seq, p.id, p.nextSeq+MaxSeqAhead)
	}
	if running := p.sequencer.running; running != nil && running.Seq == r.Seq {
		if running.Digest != r.Digest {
			return BeginResult{}, nil, bodyMismatch(r)
		}
		return BeginResult{Running: running}, nil, nil
	}
	if p.sequencer.running != nil || r.Seq > p.nextSeq {
		return BeginResult{}, p.sequencer.changeSignal(), nil
	}
	begun, err := t.start(p, r)
	return begun, nil, err
}

// start makes the call the program's running call. The caller must hold the tree's lock.
func (t *Tree) start(p *Program, r BeginRequest) (BeginResult, *api.Error) {
	if p.intent != nil && p.intent.Digest != r.Digest {
		return BeginResult{}, bodyMismatch(r)
	}
	if err := t.checkLimits(r.NowMS); err != nil {
		return BeginResult{}, err
	}
	if r.PriorCostBounded {
		p.reserve, p.inheritedReserve = p.reserve+p.inheritedReserve, 0
	}
	reserve, err := t.reserveFor(p, r.MaxCharge)
	if err != nil {
		return BeginResult{}, err
	}
	p.sequencer.running = &RunningCall{
		Program:   p.id,
		Root:      t.root,
		Seq:       r.Seq,
		Digest:    r.Digest,
		Log:       eventlog.New(),
		MaxCharge: r.MaxCharge,
	}
	return BeginResult{Running: p.sequencer.running, Started: true, Reserve: reserve, View: t.view(p)}, nil
}

// view returns the state that a call of p needs. The caller must hold the tree's lock.
func (t *Tree) view(p *Program) View {
	return View{
		Organisation: p.organisation,
		Class:        p.class,
		HistoryHash:  p.history.hash,
		HistoryBytes: p.history.bytes,
		Attained:     uint64(t.chargedTokens),
		Intent:       p.intent,
		Attempt:      p.attempt,
	}
}

// storedAnswer returns the answer for a resent call that has already ended. The caller must hold the tree's lock.
func (p *Program) storedAnswer(r BeginRequest) (BeginResult, *api.Error) {
	call, ok := p.findKept(r.Seq)
	if !ok {
		return BeginResult{}, api.Errorf(api.CodeSeqOutOfRange, "seq %d of program %s has ended and its answer is no longer stored", r.Seq, p.id)
	}
	if call.Digest != r.Digest {
		return BeginResult{}, bodyMismatch(r)
	}
	if call.Outcome != nil {
		return BeginResult{Stored: &StoredAnswer{Outcome: call.Outcome}}, nil
	}
	answer, ok := p.history.at(call.Turn.Index)
	if !ok {
		return BeginResult{AnswerUnloaded: true}, nil
	}
	return BeginResult{Stored: &StoredAnswer{
		Answer:       answer,
		FinishReason: call.Turn.FinishReason,
		Usage:        call.Turn.Usage,
	}}, nil
}

func bodyMismatch(r BeginRequest) *api.Error {
	return api.Errorf(api.CodeBodyMismatch, "seq %d of program %s was used with another body", r.Seq, r.Program)
}

// TurnRecord returns the record of a model call that ran. Until the record is committed, the program's
// reservation covers the charged tokens and those reserved for the next call.
func (t *Tree) TurnRecord(r *RunningCall, nowMS int64, messages []api.Message, answer api.Message, finishReason string, usage api.Usage) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	tokens := PromptTokens(messages) + usage.CompletionTokens
	turn := &Turn{
		Seq: r.Seq, Digest: r.Digest, Messages: messages, Answer: answer, FinishReason: finishReason, Usage: usage, Tokens: tokens,
	}
	if p := t.programs[r.Program]; p != nil {
		turn.NextReserve = t.nextReserve(p, tokens, r.MaxCharge)
		// Until the commit charges the tokens, they and the next reservation must not be available to other programs.
		p.reserve = tokens + turn.NextReserve
	}
	return &Record{Program: r.Program, AtMS: nowMS, Turn: turn}
}

// End ends the running call, so that the next one can start. If no record of the call was committed, its seq can be
// used again.
func (t *Tree) End(r *RunningCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clearRunning(r)
}

// clearRunning ends r if it is the running call of its program. The caller must hold the tree's lock.
func (t *Tree) clearRunning(r *RunningCall) {
	p := t.programs[r.Program]
	if p == nil || p.sequencer.running != r {
		return
	}
	p.sequencer.running = nil
	p.sequencer.notify()
}

// Apply applies a committed record. It ends running calls only if the record ends their program; otherwise End does.
func (t *Tree) Apply(record *Record) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(record)
}
