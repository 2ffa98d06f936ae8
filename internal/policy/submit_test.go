package policy

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

func newTestStore(kv *fakeKV) *Store {
	s := NewStore(kv, func() time.Time { return time.UnixMilli(1_000) })
	s.backoff = func(_ context.Context, attempt int) bool { return attempt < 8 }
	return s
}

// submission returns a submission whose configuration depends on the lengths of author and key.
func submission(base uint64, author, key string) Submission {
	c := Default()
	c.Classes[0].Priority = len(key) + len(author)
	return Submission{Config: c, Base: base, Author: author, Reason: "more calls for " + author, IdempotencyKey: key}
}

// codeOf returns the code of an api.Error, 0 for nil and -1 for any other error.
func codeOf(err error) api.Code {
	if err == nil {
		return 0
	}
	var e *api.Error
	if !errors.As(err, &e) {
		return -1
	}
	return e.Code
}

func TestOneOfConcurrentSubmissionsIsAccepted(t *testing.T) {
	is := is.New(t)
	kv := newFakeKV()
	s := newTestStore(kv)
	var second error
	raced := false
	kv.nextFault = func(write bool) fault {
		if write && !raced { // The first submitter has read the head.
			raced = true
			_, second = s.Submit(t.Context(), submission(0, "aoife", "key-of-aoife"))
		}
		return faultNone
	}
	_, err := s.Submit(t.Context(), submission(0, "rosa", "key-of-rosa"))
	is.NoErr(second)
	is.Equal(codeOf(err), api.CodeConfigConflict)
	is.True(strings.Contains(err.Error(), "revision 1 was taken by aoife")) // names the author of the accepted submission
	snapshot, err := s.Get(t.Context(), 1)
	is.NoErr(err)
	is.Equal(snapshot.Entry.Author, "aoife")
	is.Equal(snapshot.Config.Classes[0].Priority, len("key-of-aoifeaoife"))
}

func TestLostAnswerIsSettledByReading(t *testing.T) {
	for _, kind := range []fault{faultRequestLost, faultResponseLost, faultDelayed} {
		for nth := range 2 { // The first write is the submission's record, the second the head.
			t.Run(fmt.Sprintf("%d-%d", kind, nth), func(t *testing.T) {
				is := is.New(t)
				kv := newFakeKV()
				s := newTestStore(kv)
				writes := 0
				kv.nextFault = func(write bool) fault {
					kv.applyDelayed()
					if write {
						writes++
						if writes == nth+1 {
							return kind
						}
					}
					return faultNone
				}
				entry, err := s.Submit(t.Context(), submission(0, "rosa", "key-of-rosa"))
				is.NoErr(err)
				is.Equal(entry.Revision, uint64(1))
				again, err := s.Submit(t.Context(), submission(0, "rosa", "key-of-rosa"))
				is.NoErr(err) // a repeated submission returns the same entry
				is.Equal(again, entry)
				head, err := s.Head(t.Context())
				is.NoErr(err)
				is.Equal(head.Revision, uint64(1))
			})
		}
	}
}

func TestUncertainSubmissionIsSettledByResending(t *testing.T) {
	is := is.New(t)
	kv := newFakeKV()
	s := newTestStore(kv)
	writes := 0
	kv.nextFault = func(write bool) fault {
		if write {
			writes++
		}
		if writes == 2 && write {
			kv.makeUnavailable()
			return faultDelayed
		}
		return faultNone
	}
	_, err := s.Submit(t.Context(), submission(0, "rosa", "key-of-rosa"))
	is.Equal(codeOf(err), api.CodeConfigUncertain)
	kv.nextFault = func(bool) fault { return faultNone }
	kv.applyDelayed()
	entry, err := s.Submit(t.Context(), submission(0, "rosa", "key-of-rosa"))
	is.NoErr(err)
	is.Equal(entry.Revision, uint64(1))
}

func TestSubmitRefusals(t *testing.T) {
	is := is.New(t)
	s := newTestStore(newFakeKV())
	_, err := s.Submit(t.Context(), submission(3, "rosa", "key-of-rosa"))
	is.Equal(codeOf(err), api.CodeConfigConflict) // the base does not exist
	invalid := submission(0, "rosa", "key-of-rosa")
	invalid.Config.Classes[0].Name = "no name"
	_, err = s.Submit(t.Context(), invalid)
	is.Equal(codeOf(err), api.CodeConfigInvalid)
	_, err = s.Submit(t.Context(), submission(0, "rosa", "short"))
	is.Equal(codeOf(err), api.CodeBadRequest)
	_, err = s.Submit(t.Context(), submission(0, "rosa", "key-of-rosa"))
	is.NoErr(err)
	other := submission(0, "rosa", "key-of-rosa")
	other.Reason = "another"
	_, err = s.Submit(t.Context(), other)
	is.Equal(codeOf(err), api.CodeBodyMismatch) // the key belongs to a different submission
}

func TestChainStaysReadableBeyondTheHead(t *testing.T) {
	is := is.New(t)
	s := newTestStore(newFakeKV())
	const revisions = 3*maxRecent + 5
	for base := range uint64(revisions) {
		_, err := s.Submit(t.Context(), submission(base, "rosa", fmt.Sprintf("key-%06d", base)))
		is.NoErr(err)
	}
	history, err := s.History(t.Context(), 10_000)
	is.NoErr(err)
	is.Equal(len(history), revisions)
	for i, e := range history {
		is.Equal(e.Revision, uint64(revisions-i))
		if i > 0 {
			is.Equal(history[i-1].Predecessor, e.Submission)
		}
	}
	entry, err := s.Submit(t.Context(), submission(1, "rosa", "key-000001"))
	is.NoErr(err) // an old accepted submission is sent again
	is.Equal(entry.Revision, uint64(2))
	_, err = s.Submit(t.Context(), submission(1, "rosa", "key-other1"))
	is.Equal(codeOf(err), api.CodeConfigConflict)
	changes, err := s.Diff(t.Context(), 0, 1)
	is.NoErr(err)
	is.True(len(changes) > 10)
	changes, err = s.Diff(t.Context(), 1, revisions)
	is.NoErr(err)
	is.Equal(len(changes), 0) // equal lengths of key and author give the same configuration
}

func TestTrimmingLeavesTheEntries(t *testing.T) {
	is := is.New(t)
	s := newTestStore(newFakeKV())
	for base := range uint64(3) {
		_, err := s.Submit(t.Context(), submission(base, "rosa", fmt.Sprintf("key-%06d", base)))
		is.NoErr(err)
	}
	s.trim(t.Context(), (keptConfigs+chunkEntries+1)/chunkEntries*chunkEntries)
	_, err := s.Get(t.Context(), 1)
	is.Equal(codeOf(err), api.CodeNotFound)
	history, err := s.History(t.Context(), 10)
	is.NoErr(err)
	is.Equal(len(history), 3)
}

// chainModel makes submissions with faults and nested concurrent submissions, and records the results.
type chainModel struct {
	kv       *fakeKV
	store    *Store
	seen     map[uint64]Entry    // Entries by revision.
	codes    map[string]api.Code // Final codes by idempotency key; 0 for an accepted submission.
	pending  []Submission        // Submissions whose outcome was uncertain.
	revision uint64              // Revision of the head when it was last read.
	count    int                 // Number of idempotency keys that were used.
}

// submit makes a submission. It fails the test if a submission that is sent again gets a different result.
func (m *chainModel) submit(ctx context.Context, t *rapid.T, sub Submission) {
	entry, err := m.store.Submit(ctx, sub)
	code := codeOf(err)
	switch code {
	case 0:
		m.checkEntry(t, entry)
	case api.CodeConfigUncertain:
		m.pending = append(m.pending, sub)
		return
	case api.CodeConfigConflict:
	default:
		t.Fatalf("submission failed: %v", err)
	}
	before, known := m.codes[sub.IdempotencyKey]
	if known && before != code {
		t.Fatalf("submission %q returned code %d and then %d", sub.IdempotencyKey, before, code)
	}
	m.codes[sub.IdempotencyKey] = code
}

// checkEntry fails the test if the entry of a revision has changed.
func (m *chainModel) checkEntry(t *rapid.T, e Entry) {
	before, seen := m.seen[e.Revision]
	if seen && before != e {
		t.Fatalf("revision %d changed from %+v to %+v", e.Revision, before, e)
	}
	m.seen[e.Revision] = e
}

// drawBase draws the base of a submission. In most cases it is the newest revision.
func (m *chainModel) drawBase(t *rapid.T) uint64 {
	head, err := decodeHead(m.kv.keys[keyHead])
	if err != nil {
		t.Fatal(err)
	}
	if head.Revision < m.revision {
		t.Fatalf("the head moved back from revision %d to %d", m.revision, head.Revision)
	}
	m.revision = head.Revision
	back := rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "back")
	return head.Revision - min(back, head.Revision)
}

// newSubmission returns a submission with an unused idempotency key.
func (m *chainModel) newSubmission(t *rapid.T) Submission {
	m.count++
	return submission(m.drawBase(t), "rosa", fmt.Sprintf("key-%06d", m.count))
}

func TestChainNeverForksOrReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := newFakeKV()
		m := &chainModel{kv: kv, store: newTestStore(kv), seen: make(map[uint64]Entry), codes: make(map[string]api.Code)}
		depth := 0
		kv.nextFault = func(write bool) fault {
			if rapid.IntRange(0, 9).Draw(t, "settle") == 0 {
				kv.applyDelayed()
			}
			if depth < 3 && rapid.IntRange(0, 5).Draw(t, "race") == 0 {
				depth++
				m.submit(t.Context(), t, m.newSubmission(t))
				depth--
			}
			return drawFault(t, write)
		}
		for range rapid.IntRange(1, 20).Draw(t, "submissions") {
			if len(m.pending) > 0 && rapid.Bool().Draw(t, "resend") {
				m.submit(t.Context(), t, rapid.SampledFrom(m.pending).Draw(t, "pending"))
				continue
			}
			m.submit(t.Context(), t, m.newSubmission(t))
		}
		kv.applyDelayed()
		kv.nextFault = func(bool) fault { return faultNone }
		m.checkChain(t)
	})
}

// checkChain settles the uncertain submissions. It then checks that the chain has no gaps and contains exactly the
// accepted submissions.
func (m *chainModel) checkChain(t *rapid.T) {
	for _, sub := range m.pending {
		m.submit(t.Context(), t, sub)
	}
	history, err := m.store.History(t.Context(), 1_000_000)
	if err != nil {
		t.Fatal(err)
	}
	chain := make(map[string]bool)
	for i, e := range history {
		m.checkEntry(t, e)
		if e.Revision != uint64(len(history)-i) || i > 0 && history[i-1].Predecessor != e.Submission {
			t.Fatalf("the chain has a gap or a wrong predecessor at %+v", e)
		}
		_, key, _ := strings.Cut(e.Submission, "-")
		chain[key] = true
	}
	for key, code := range m.codes {
		if chain[key] != (code == 0) {
			t.Fatalf("submission %q returned code %d, and its presence in the chain is %v", key, code, chain[key])
		}
	}
}
