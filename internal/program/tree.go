package program

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// maxKeptCalls is the number of ended calls of a program whose answers are kept for callers that resend them.
const maxKeptCalls = 64

// MaxSeqAhead is the largest distance of a call's seq from the next seq of its program.
const MaxSeqAhead = maxKeptCalls

// Tree is a root program and its descendants, which share one budget. The zero value is not usable.
type Tree struct {
	mu            sync.Mutex // Guards every field below and the programs of the tree.
	root          string
	limits        Limits
	created       int64 // Unix milliseconds.
	lastRecordAt  int64 // Time of the last record in Unix milliseconds.
	calls         int   // Calls that have ended and count against the limit.
	chargedTokens int   // Does not include reservations.
	programs      map[string]*Program
}

// Program is one program of a tree. The tree's lock guards its fields.
type Program struct {
	id               string
	parent           string // Empty for the root.
	organisation     string
	class            string
	created          int64 // Unix milliseconds.
	ended            bool
	reason           string // Why the program has ended.
	nextSeq          uint64 // Seq of the first call that has not ended.
	callsUsed        int
	tokensUsed       int
	reserve          int // Tokens reserved for the running or the next call.
	inheritedReserve int // Tokens that an earlier owner reserved and may have spent on an unrecorded call.
	history          history
	kept             []keptCall // The last ended calls, oldest first.
	intent           *Intent    // Set while the outcome of a non-idempotent call is unknown.
	attempt          int        // Highest attempt number of the intents for nextSeq.

	sequencer callSequencer
}

// keptCall is the answer of an ended call, kept for callers that resend the call.
type keptCall struct {
	Seq     uint64   `json:"seq"`
	Digest  string   `json:"digest"`
	Turn    *turnRef `json:"turn,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// turnRef refers to the answer of a model call in the history.
type turnRef struct {
	Index        int       `json:"index"` // Index of the answer in the whole history.
	FinishReason string    `json:"finish"`
	Usage        api.Usage `json:"usage"`
}

func newTree(root string, r *Record) *Tree {
	return &Tree{
		root:         root,
		limits:       r.Created.Limits,
		created:      r.AtMS,
		lastRecordAt: r.AtMS,
		programs:     make(map[string]*Program),
	}
}

// ErrSuperseded means that the record's seq has already ended, because another run of the same seq was committed first.
// The record has no effect, neither on commit nor in recovery.
var ErrSuperseded = errors.New("the seq of the record has already ended")

// apply applies a committed record to the tree. The caller must hold mu.
func (t *Tree) apply(r *Record) error {
	t.lastRecordAt = max(t.lastRecordAt, r.AtMS)
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

// applyCreated adds the program. It does nothing if the program exists, because a request to create it was resent.
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
		reserve:      r.Created.InitialReserve,
	}
}

func (t *Tree) applyTurn(p *Program, turn *Turn) {
	for _, m := range turn.Messages {
		p.history.add(m)
	}
	p.history.add(turn.Answer)
	t.charge(p, turn.Tokens)
	p.reserve = turn.NextReserve
	p.retainAnswer(keptCall{
		Seq:    turn.Seq,
		Digest: turn.Digest,
		Turn:   &turnRef{Index: p.history.count() - 1, FinishReason: turn.FinishReason, Usage: turn.Usage},
	})
	p.nextSeq = turn.Seq + 1
}

// applyOutcome ends the call unless the outcome says that it did not run.
func (t *Tree) applyOutcome(p *Program, o *Outcome) {
	p.intent = nil
	if o.Code.SafeToResend() {
		return // The call did not run, so its seq can be used again.
	}
	t.charge(p, 0)
	p.attempt = 0
	p.retainAnswer(keptCall{Seq: o.Seq, Digest: o.Digest, Outcome: o})
	p.nextSeq = o.Seq + 1
}

// charge counts one call and its tokens against the program and the tree.
func (t *Tree) charge(p *Program, tokens int) {
	t.calls++
	t.chargedTokens += tokens
	p.callsUsed++
	p.tokensUsed += tokens
}

// applyReserve replaces reservations and charges the inherited ones that an earlier owner may have spent.
func (t *Tree) applyReserve(r *Reserve) {
	for id, tokens := range r.Tokens {
		if p := t.programs[id]; p != nil {
			p.reserve = tokens
		}
	}
	for id, tokens := range r.SpentByPriorOwner {
		if p := t.programs[id]; p != nil {
			t.chargedTokens += tokens
			p.tokensUsed += tokens
			p.inheritedReserve = 0
		}
	}
}

// applyEnded ends p and its descendants.
func (t *Tree) applyEnded(p *Program, reason string) {
	for _, q := range t.programs {
		if q.ended || !t.inSubtree(q, p.id) {
			continue
		}
		q.ended = true
		q.reason = reason
		q.reserve, q.inheritedReserve = 0, 0
		q.sequencer.reset()
	}
}

// inSubtree reports whether q is the program with the id or one of its descendants.
func (t *Tree) inSubtree(q *Program, id string) bool {
	for q != nil {
		if q.id == id {
			return true
		}
		q = t.programs[q.parent]
	}
	return false
}

// retainAnswer adds an ended call to the kept ones and removes the oldest beyond maxKeptCalls.
func (p *Program) retainAnswer(c keptCall) {
	p.kept = append(p.kept, c)
	if len(p.kept) > maxKeptCalls {
		p.kept = slices.Delete(p.kept, 0, len(p.kept)-maxKeptCalls)
	}
}

// findKept returns the kept call with the seq.
func (p *Program) findKept(seq uint64) (keptCall, bool) {
	i := slices.IndexFunc(p.kept, func(c keptCall) bool { return c.Seq == seq })
	if i < 0 {
		return keptCall{}, false
	}
	return p.kept[i], true
}

// messageBytes returns the size of a message's text fields in bytes.
func messageBytes(m api.Message) int {
	return len(m.Role) + len(m.Content) + len(m.ToolCalls) + len(m.Name) + len(m.ToolCallID)
}
