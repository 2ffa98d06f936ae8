package program

import (
	"context"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/eventlog"
)

// BeginRequest asks to run, or attach to, one call of a program.
type BeginRequest struct {
	Program string
	Seq     uint64
	Digest  string // Of the caller's body.
	Need    int    // Most tokens that the call may be charged.
	NowMS   int64  // Unix milliseconds.
	// Settled says that no call which an earlier owner sent for this seq can cost more than this call will be charged.
	Settled bool
}

// Begun is what became of a BeginRequest. Exactly one of Stored, Absent and Running is set.
type Begun struct {
	Stored  *StoredAnswer // The call ended earlier.
	Absent  bool          // The call ended earlier and its answer is not in memory: restore the history and ask again.
	Running *Running      // The call is under way.
	Started bool          // The asker started it and must end it with Finish or Abort.
	Reserve *Reserve      // To commit before the call is sent, when Started.
	View    View          // Of the program, when Started.
}

// StoredAnswer is the answer of a call that ended.
type StoredAnswer struct {
	Answer  api.Message // Of a model call.
	Finish  string
	Usage   api.Usage
	Outcome *Outcome // Of a service call; nil for a model call.
}

// View is what a call needs to know of its program.
type View struct {
	Organisation string
	Class        string
	HistoryHash  string
	HistoryBytes int
	Attained     uint64  // Tokens charged to the tree.
	Intent       *Intent // Set when a non-idempotent call was sent and its outcome is not known.
	Attempt      int     // Highest attempt of an intent for the next seq.
}

// Begin waits until it is the call's turn, bounded by ctx, and starts it, or attaches to it, or returns its answer.
func (t *Tree) Begin(ctx context.Context, r BeginRequest) (Begun, *api.Error) {
	for {
		begun, wait, err := t.tryBegin(r)
		if err != nil || wait == nil {
			return begun, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return Begun{}, api.Errorf(api.CodeOrderTimeout, "seq %d of program %s waited for earlier calls that did not end in time", r.Seq, r.Program)
		}
	}
}

// tryBegin returns a channel to wait on when an earlier call must end first.
func (t *Tree) tryBegin(r BeginRequest) (Begun, <-chan struct{}, *api.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.programs[r.Program]
	if p == nil {
		return Begun{}, nil, api.Errorf(api.CodeUnknownProgram, "program %s does not exist", r.Program)
	}
	if r.Seq > 0 && r.Seq < p.nextSeq {
		begun, err := p.stored(r)
		return begun, nil, err
	}
	if p.ended {
		return Begun{}, nil, api.Errorf(api.CodeProgramEnded, "program %s has ended: %s", p.id, p.reason)
	}
	if r.Seq == 0 || r.Seq > p.nextSeq+MaxSeqAhead {
		return Begun{}, nil, api.Errorf(api.CodeSeqOutOfRange, "seq %d of program %s is outside 1 to %d", r.Seq, p.id, p.nextSeq+MaxSeqAhead)
	}
	if running := p.gate.running; running != nil && running.Seq == r.Seq {
		if running.Digest != r.Digest {
			return Begun{}, nil, mismatch(r)
		}
		return Begun{Running: running}, nil, nil
	}
	if p.gate.running != nil || r.Seq > p.nextSeq {
		return Begun{}, p.gate.wait(), nil
	}
	begun, err := t.start(p, r)
	return begun, nil, err
}

// start makes the call the running one. The tree's lock is held.
func (t *Tree) start(p *Program, r BeginRequest) (Begun, *api.Error) {
	if p.intent != nil && p.intent.Digest != r.Digest {
		return Begun{}, mismatch(r)
	}
	if err := t.checkLimits(r.NowMS); err != nil {
		return Begun{}, err
	}
	if r.Settled {
		p.reserve, p.inherited = p.reserve+p.inherited, 0
	}
	reserve, err := t.reserveFor(p, r.Need)
	if err != nil {
		return Begun{}, err
	}
	p.gate.running = &Running{
		Program: p.id,
		Root:    t.root,
		Seq:     r.Seq,
		Digest:  r.Digest,
		Log:     eventlog.New(),
		Need:    r.Need,
	}
	return Begun{Running: p.gate.running, Started: true, Reserve: reserve, View: t.view(p)}, nil
}

func (t *Tree) view(p *Program) View {
	return View{
		Organisation: p.organisation,
		Class:        p.class,
		HistoryHash:  p.history.hash,
		HistoryBytes: p.history.bytes,
		Attained:     uint64(t.tokens),
		Intent:       p.intent,
		Attempt:      p.attempt,
	}
}

// stored answers a resent seq that has ended. The tree's lock is held.
func (p *Program) stored(r BeginRequest) (Begun, *api.Error) {
	call, ok := p.keptCall(r.Seq)
	if !ok {
		return Begun{}, api.Errorf(api.CodeSeqOutOfRange, "seq %d of program %s has ended and its answer is no longer kept", r.Seq, p.id)
	}
	if call.Digest != r.Digest {
		return Begun{}, mismatch(r)
	}
	if call.Outcome != nil {
		return Begun{Stored: &StoredAnswer{Outcome: call.Outcome}}, nil
	}
	answer, ok := p.history.at(call.Turn.Index)
	if !ok {
		return Begun{Absent: true}, nil
	}
	return Begun{Stored: &StoredAnswer{
		Answer: answer,
		Finish: call.Turn.Finish,
		Usage:  call.Turn.Usage,
	}}, nil
}

func mismatch(r BeginRequest) *api.Error {
	return api.Errorf(api.CodeBodyMismatch, "seq %d of program %s was used with another body", r.Seq, r.Program)
}

// TurnRecord returns the record of a model call that ran.
func (t *Tree) TurnRecord(r *Running, nowMS int64, messages []api.Message, answer api.Message, finish string, usage api.Usage) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	tokens := PromptTokens(messages) + usage.CompletionTokens
	turn := &Turn{
		Seq: r.Seq, Digest: r.Digest, Messages: messages, Answer: answer, Finish: finish, Usage: usage, Tokens: tokens,
	}
	if p := t.programs[r.Program]; p != nil {
		turn.Reserve = t.nextReserve(p, tokens, r.Need)
		// Until the commit charges the tokens, siblings must see them and the new reservation as taken.
		p.reserve = tokens + turn.Reserve
	}
	return &Record{Program: r.Program, AtMS: nowMS, Turn: turn}
}

// End opens the gate behind the running call. When no record of it was committed its seq is free again.
func (t *Tree) End(r *Running) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leave(r)
}

// leave opens the gate behind r. The tree's lock is held.
func (t *Tree) leave(r *Running) {
	p := t.programs[r.Program]
	if p == nil || p.gate.running != r {
		return
	}
	p.gate.running = nil
	p.gate.notify()
}

// Apply applies a committed record that does not end a running call.
func (t *Tree) Apply(record *Record) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.apply(record)
}
