package program

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// keptCalls is how many ended calls of a program keep their answers for a caller that resends them.
const keptCalls = 64

// MaxSeqAhead is how far a seq may run ahead of the next one in order.
const MaxSeqAhead = keptCalls

// Tree is the aggregate: a root program and its descendants, which share one budget. The zero value is not usable.
type Tree struct {
	mu       sync.Mutex // Guards every field below and the programs of the tree.
	root     string
	limits   Limits
	created  int64 // Unix milliseconds.
	lastCall int64 // Unix milliseconds of the last record.
	calls    int
	tokens   int // Charged tokens, without reservations.
	programs map[string]*Program
}

// Program is one program of a tree. Its fields are guarded by the tree's lock.
type Program struct {
	id           string
	parent       string
	organisation string
	class        string
	created      int64
	ended        bool
	reason       string
	nextSeq      uint64
	callsUsed    int
	tokensUsed   int
	reserve      int // Tokens reserved durably for the call that follows.
	inherited    int // Tokens that an earlier owner reserved and may have spent on a call that it did not record.
	history      history
	kept         []endedCall
	intent       *Intent // Set while a non-idempotent call has no outcome.
	attempt      int     // Highest attempt of an intent of nextSeq.

	gate gate
}

// endedCall is the answer of an ended call, kept for resends.
type endedCall struct {
	Seq     uint64   `json:"seq"`
	Digest  string   `json:"digest"`
	Turn    *turnRef `json:"turn,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// turnRef points at the answer of a model call in the history.
type turnRef struct {
	Index  int       `json:"index"` // Of the answer in the whole history.
	Finish string    `json:"finish"`
	Usage  api.Usage `json:"usage"`
}

func newTree(root string, r *Record) *Tree {
	return &Tree{
		root:     root,
		limits:   r.Created.Limits,
		created:  r.AtMS,
		lastCall: r.AtMS,
		programs: make(map[string]*Program),
	}
}

// ErrSuperseded reports a record of a seq that has already ended: an earlier run of the same seq was committed first.
// The record has no effect, at commit as in recovery.
var ErrSuperseded = errors.New("the seq of the record has already ended")

// apply changes the tree by a committed record. It is called with mu held.
func (t *Tree) apply(r *Record) error {
	t.lastCall = max(t.lastCall, r.AtMS)
	if r.Created != nil {
		t.applyCreated(r)
		return nil
	}
	p := t.programs[r.Program]
	if p == nil {
		return fmt.Errorf("record of program %s: the tree %s has no such program", r.Program, t.root)
	}
	if seq, ok := r.seq(); ok && seq != p.nextSeq {
		return ErrSuperseded
	}
	switch {
	case r.Turn != nil:
		t.applyTurn(p, r.Turn)
	case r.Intent != nil:
		p.intent = r.Intent
		p.attempt = r.Intent.Attempt
	case r.Outcome != nil:
		t.applyOutcome(p, r.Outcome)
	case r.Reserve != nil:
		t.applyReserve(r.Reserve)
	case r.Ended != nil:
		t.applyEnded(p, r.Ended.Reason)
	}
	return nil
}

func (t *Tree) applyCreated(r *Record) {
	if t.programs[r.Program] != nil {
		return
	}
	t.programs[r.Program] = &Program{
		id:           r.Program,
		parent:       r.Created.Parent,
		organisation: r.Created.Organisation,
		class:        r.Created.Class,
		created:      r.AtMS,
		nextSeq:      1,
		reserve:      r.Created.Reserve,
	}
}

func (t *Tree) applyTurn(p *Program, turn *Turn) {
	for _, m := range turn.Messages {
		p.history.add(m)
	}
	p.history.add(turn.Answer)
	t.charge(p, turn.Tokens)
	p.reserve = turn.Reserve
	p.keep(endedCall{
		Seq:    turn.Seq,
		Digest: turn.Digest,
		Turn:   &turnRef{Index: p.history.count() - 1, Finish: turn.Finish, Usage: turn.Usage},
	})
	p.nextSeq = turn.Seq + 1
}

func (t *Tree) applyOutcome(p *Program, o *Outcome) {
	p.intent = nil
	if o.Code.SafeToResend() {
		return // The call did not run: its seq is free again.
	}
	t.charge(p, 0)
	p.attempt = 0
	p.keep(endedCall{Seq: o.Seq, Digest: o.Digest, Outcome: o})
	p.nextSeq = o.Seq + 1
}

// charge counts one call and its tokens against the program and the tree.
func (t *Tree) charge(p *Program, tokens int) {
	t.calls++
	t.tokens += tokens
	p.callsUsed++
	p.tokensUsed += tokens
}

func (t *Tree) applyReserve(r *Reserve) {
	for id, tokens := range r.Tokens {
		if p := t.programs[id]; p != nil {
			p.reserve = tokens
		}
	}
	for id, tokens := range r.Spent {
		if p := t.programs[id]; p != nil {
			t.tokens += tokens
			p.tokensUsed += tokens
			p.inherited = 0
		}
	}
}

// applyEnded ends p and its descendants.
func (t *Tree) applyEnded(p *Program, reason string) {
	for _, q := range t.programs {
		if q.ended || !t.descends(q, p.id) {
			continue
		}
		q.ended = true
		q.reason = reason
		q.reserve, q.inherited = 0, 0
		q.gate.closeAll()
	}
}

// descends reports whether q is the program id or one of its descendants.
func (t *Tree) descends(q *Program, id string) bool {
	for q != nil {
		if q.id == id {
			return true
		}
		q = t.programs[q.parent]
	}
	return false
}

func (p *Program) keep(c endedCall) {
	p.kept = append(p.kept, c)
	if len(p.kept) > keptCalls {
		p.kept = slices.Delete(p.kept, 0, len(p.kept)-keptCalls)
	}
}

func (p *Program) keptCall(seq uint64) (endedCall, bool) {
	i := slices.IndexFunc(p.kept, func(c endedCall) bool { return c.Seq == seq })
	if i < 0 {
		return endedCall{}, false
	}
	return p.kept[i], true
}

// messageBytes is the size of a message's text in bytes.
func messageBytes(m api.Message) int {
	return len(m.Role) + len(m.Content) + len(m.ToolCalls) + len(m.Name) + len(m.ToolCallID)
}
