package program

import (
	"errors"
	"fmt"
	"sort"
	"sync"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// States of a program, the values of api.ProgramInfo.State.
const (
	StateActive = "active"
	StateEnded  = "ended"
)

// tombstoneLifetimeMS is the time for which the tombstone of an ended tree is kept, in milliseconds. The tombstone
// tells late calls that the program has ended, and keeps a resent request to create the program from creating it again.
const tombstoneLifetimeMS = 10 * 60 * 1000

// Store is the state machine of one journal: its trees of programs. It is safe for concurrent use.
type Store struct {
	journal    int
	mu         sync.RWMutex // Guards the maps; each tree has its own lock.
	trees      map[string]*Tree
	tombstones map[string]int64 // By root id: the time of its end in Unix milliseconds.
}

// NewStore returns an empty Store for the journal.
func NewStore(journal int) *Store {
	return &Store{
		journal:    journal,
		trees:      make(map[string]*Tree),
		tombstones: make(map[string]int64),
	}
}

// Tree returns the tree that the program belongs to. The program itself may not exist in it.
func (s *Store) Tree(program string) (*Tree, *api.Error) {
	root := RootOf(program)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if tree := s.trees[root]; tree != nil {
		return tree, nil
	}
	if _, ended := s.tombstones[root]; ended {
		return nil, api.Errorf(api.CodeProgramEnded, "program %s has ended", program)
	}
	return nil, api.Errorf(api.CodeUnknownProgram, "program %s does not exist", program)
}

// Apply decodes and applies one committed record during recovery. Superseded records are ignored, as they were when
// they were committed.
func (s *Store) Apply(_ uint64, data []byte) error {
	record, err := DecodeRecord(data)
	if err != nil {
		return err
	}
	if err := s.Commit(record); err != nil && !errors.Is(err, ErrSuperseded) {
		return err
	}
	return nil
}

// Commit applies a record that the journal has committed. It returns ErrSuperseded for a record without effect because
// its seq has already ended.
func (s *Store) Commit(r *Record) error {
	root := RootOf(r.Program)
	if r.Created != nil {
		return s.commitCreated(root, r)
	}
	s.mu.RLock()
	tree := s.trees[root]
	s.mu.RUnlock()
	if tree == nil {
		return nil // The tree ended and was removed before the record was committed.
	}
	if err := tree.Apply(r); err != nil {
		return err
	}
	if r.Ended != nil && r.Program == root {
		s.replaceWithTombstone(root, r.AtMS)
	}
	return nil
}

// commitCreated applies the creation of a program. The creation of a root program also creates its tree.
func (s *Store) commitCreated(root string, r *Record) error {
	s.mu.Lock()
	tree := s.trees[root]
	if tree == nil {
		if r.Program != root {
			s.mu.Unlock()
			return fmt.Errorf("record creates program %s whose root does not exist", r.Program)
		}
		tree = newTree(root, r)
		s.trees[root] = tree
	}
	s.mu.Unlock()
	return tree.Apply(r)
}

// replaceWithTombstone removes an ended tree and adds its tombstone.
func (s *Store) replaceWithTombstone(root string, atMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.trees, root)
	s.tombstones[root] = atMS
}

// ExpireTombstones removes tombstones older than tombstoneLifetimeMS.
func (s *Store) ExpireTombstones(nowMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for root, at := range s.tombstones {
		if nowMS-at > tombstoneLifetimeMS {
			delete(s.tombstones, root)
		}
	}
}

// Create returns the record that creates the program, or the program's info if it already exists because the request
// was resent.
func (s *Store) Create(id string, c Created, nowMS int64) (*Record, *api.ProgramInfo, *api.Error) {
	tree, err := s.Tree(id)
	if err == nil {
		if info, ok := tree.Info(id); ok {
			return nil, &info, nil
		}
	} else if err.Code == api.CodeProgramEnded {
		return nil, nil, err
	}
	if c.Parent != "" {
		if err != nil {
			return nil, nil, err
		}
		if e := tree.checkParent(c.Parent); e != nil {
			return nil, nil, e
		}
		c.InitialReserve = 0
	}
	return &Record{Program: id, AtMS: nowMS, Created: &c}, nil, nil
}

// checkParent returns an error if the parent of a new sub-agent does not exist or has ended.
func (t *Tree) checkParent(parent string) *api.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.programs[parent]
	if p == nil {
		return api.Errorf(api.CodeUnknownProgram, "parent program %s does not exist", parent)
	}
	if p.ended {
		return api.Errorf(api.CodeProgramEnded, "parent program %s has ended: %s", parent, p.reason)
	}
	return nil
}

// Info returns a description of the program; false if it does not exist.
func (t *Tree) Info(id string) (api.ProgramInfo, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.programs[id]
	if p == nil {
		return api.ProgramInfo{}, false
	}
	state := StateActive
	if p.ended {
		state = StateEnded
	}
	return api.ProgramInfo{
		ID: p.id, Root: t.root, Parent: p.parent, Organisation: p.organisation, Class: p.class, State: state,
		NextSeq: p.nextSeq, CallsUsed: p.callsUsed, TokensUsed: p.tokensUsed, TokensBudget: t.limits.Tokens,
		CreatedMS: p.created,
	}, true
}

// History returns the program's messages in memory. It returns false if the program does not exist or part of its
// history is not in memory.
func (t *Tree) History(id string) ([]api.Message, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.programs[id]
	if p == nil {
		return nil, false
	}
	return p.history.loadedMessages(), p.history.unloaded == 0
}

// Programs returns the ids of the tree's programs that have not ended.
func (t *Tree) Programs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]string, 0, len(t.programs))
	for id, p := range t.programs {
		if !p.ended {
			ids = append(ids, id)
		}
	}
	return ids
}

// Descendants returns the ids of the program and its descendants, without those that have ended.
func (t *Tree) Descendants(id string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for other, p := range t.programs {
		if !p.ended && t.inSubtree(p, id) {
			ids = append(ids, other)
		}
	}
	return ids
}

// ExpiryReason returns the reason for ending the tree now, or "" if it has exceeded neither its time nor its idle time.
// nowMS is in Unix milliseconds.
func (t *Tree) ExpiryReason(nowMS int64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits.TimeMS > 0 && nowMS-t.created > t.limits.TimeMS {
		return "its budget of time is spent"
	}
	idle := t.limits.IdleMS > 0 && nowMS-t.lastRecordAt > t.limits.IdleMS
	if idle && t.runningCalls() == 0 {
		return "it was idle for too long"
	}
	return ""
}

// TokensUsed returns the tokens charged to the tree.
func (t *Tree) TokensUsed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.chargedTokens
}

// Root returns the id of the tree's root program.
func (t *Tree) Root() string { return t.root }

// Trees returns the trees, sorted by root id.
func (s *Store) Trees() []*Tree {
	s.mu.RLock()
	defer s.mu.RUnlock()
	trees := make([]*Tree, 0, len(s.trees))
	for _, tree := range s.trees {
		trees = append(trees, tree)
	}
	sort.Slice(trees, func(i, j int) bool { return trees[i].root < trees[j].root })
	return trees
}

// Active reports whether the program exists and has not ended.
func (s *Store) Active(id string) bool {
	tree, err := s.Tree(id)
	if err != nil {
		return false
	}
	info, ok := tree.Info(id)
	return ok && info.State == StateActive
}

// Len returns the number of trees.
func (s *Store) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.trees)
}

// byLastUse returns the trees, least recently used first.
func (s *Store) byLastUse() []*Tree {
	trees := s.Trees()
	used := make(map[*Tree]int64, len(trees))
	for _, tree := range trees {
		tree.mu.Lock()
		used[tree] = tree.lastRecordAt
		tree.mu.Unlock()
	}
	sort.SliceStable(trees, func(i, j int) bool { return used[trees[i]] < used[trees[j]] })
	return trees
}

// CountRoots adds the number of the store's trees of each organisation to counts.
func (s *Store) CountRoots(counts map[string]int) {
	for _, tree := range s.Trees() {
		if info, ok := tree.Info(tree.root); ok {
			counts[info.Organisation]++
		}
	}
}
