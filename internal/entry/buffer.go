package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/journal"
	"github.com/redwinggauge/redwinggauge/internal/program"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

const (
	// gapMargin covers clocks of entries that differ, in milliseconds: a program created up to this long after a gap may
	// be older than the gap.
	gapMargin = 60_000
	// gapMemory is how long after a gap an unknown program may be one whose creation was lost, in milliseconds.
	gapMemory = 24 * 60 * 60 * 1000
)

// sidecarBuffer makes sidecars the holders of journals. It implements journal.Buffer.
type sidecarBuffer struct {
	client   *transport.Client
	fleet    *fleet
	enabled  bool // Whether owners name holders; what others left is collected in any case.
	silentBy time.Duration
}

// holderCandidate is a sidecar that may hold entries.
type holderCandidate struct {
	holder journal.Holder
	domain string
	rank   uint64
}

// Group implements journal.Buffer. Ranks differ by journal, so that journals spread over the sidecars.
func (b *sidecarBuffer) Group(id int, present []journal.Holder) []journal.Holder {
	if !b.enabled {
		return nil
	}
	candidates := b.candidates(id)
	if len(present) == journal.GroupSize && allPresent(present, candidates) {
		return present
	}
	slices.SortFunc(candidates, func(x, y holderCandidate) int {
		if x.rank > y.rank {
			return -1
		}
		return 1
	})
	var group []journal.Holder
	taken := make(map[string]bool)
	for _, c := range candidates {
		if !taken[c.domain] && len(group) < journal.GroupSize {
			taken[c.domain] = true
			group = append(group, c.holder)
		}
	}
	if len(group) < journal.GroupSize {
		return present // A group that has lost a member is better than none.
	}
	return group
}

func allPresent(group []journal.Holder, candidates []holderCandidate) bool {
	for _, h := range group {
		if !slices.ContainsFunc(candidates, func(c holderCandidate) bool { return c.holder == h }) {
			return false
		}
	}
	return true
}

// candidates returns the sidecars that were heard of lately and stay.
func (b *sidecarBuffer) candidates(id int) []holderCandidate {
	var out []holderCandidate
	for _, s := range b.fleet.list() {
		s.mu.Lock()
		if s.incarnation != "" && !s.load.Draining && time.Since(s.seenAt) < b.silentBy {
			out = append(out, holderCandidate{
				holder: journal.Holder{ID: s.member.ID, Address: s.member.Address, Incarnation: s.incarnation},
				domain: s.member.FailureDomain,
				rank:   hashOf(strconv.Itoa(id) + "/" + s.member.ID),
			})
		}
		s.mu.Unlock()
	}
	return out
}

// Hold implements journal.Buffer.
func (b *sidecarBuffer) Hold(ctx context.Context, h journal.Holder, r *api.HoldRequest) (api.HoldState, error) {
	var answer api.HoldResponse
	err := b.client.JSON(ctx, "POST", h.Address, api.PathHold, r, &answer)
	return answer.State, err
}

// Seal implements journal.Buffer. A holder that does not answer and has left the membership list is gone.
func (b *sidecarBuffer) Seal(ctx context.Context, h journal.Holder, r *api.SealRequest) (api.SealResponse, error) {
	var answer api.SealResponse
	err := b.client.JSON(ctx, "POST", h.Address, api.PathSeal, r, &answer)
	if err != nil && b.fleet.get(h.ID) == nil && len(b.fleet.list()) > 0 {
		return api.SealResponse{State: api.HoldGone}, nil
	}
	return answer, err
}

// Drop implements journal.Buffer.
func (b *sidecarBuffer) Drop(ctx context.Context, h journal.Holder, r *api.DropRequest) error {
	return b.client.JSON(ctx, "POST", h.Address, api.PathDrop, r, nil)
}

// noteGap takes over what the journal knows of lost records.
func (s *shard) noteGap(owned Journal) {
	if g, ok := owned.(interface{ Gap() (journal.Gap, bool) }); ok {
		if gap, found := g.Gap(); found {
			s.gapAt = gap.AtMS
		}
	}
}

// doubtful reports whether calls of the program may be missing from its history: it is older than the last loss of
// records, and no call of it has ended since.
func (s *shard) doubtful(tree *program.Tree, id string) bool {
	if s.gapAt == 0 {
		return false
	}
	s.mu.Lock()
	_, continued := s.continued[id]
	s.mu.Unlock()
	info, ok := tree.Info(id)
	return !continued && ok && info.CreatedMS <= s.gapAt+gapMargin
}

// noteContinued remembers that a call of the program has ended since the gap.
func (s *shard) noteContinued(r *program.Record) {
	if s.gapAt == 0 || r.Turn == nil && r.Outcome == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.continued[r.Program] = struct{}{}
}

// gapError turns a refusal that a gap may explain into one that reports it.
func (s *shard) gapError(tree *program.Tree, call *api.OwnerCall, err *api.Error) *api.Error {
	recent := s.gapAt != 0 && time.Now().UnixMilli()-s.gapAt < gapMemory
	switch {
	case err.Code == api.CodeUnknownProgram && recent:
	case err.Code == api.CodeOrderTimeout && tree != nil && s.doubtful(tree, call.Program):
	default:
		return err
	}
	return api.Errorf(api.CodeHistoryGap, "calls of program %s may be lost with the buffer of journal %d: %s", call.Program, s.id, err.Message)
}

// lostIntent returns the outcome of a non-idempotent call whose intent may be lost: unknown.
func (x *execution) lostIntent() *program.Outcome {
	if x.begun.View.Intent != nil || !x.shard.doubtful(x.tree, x.call.Program) {
		return nil
	}
	return x.unknown("the call may have run: records of journal " + strconv.Itoa(x.shard.id) + " were lost in an outage")
}
