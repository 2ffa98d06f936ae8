// Package ratelimit keeps to the rates that backend servers name in their answers. A Table holds what the servers have said; a
// Limiter issues the permits to send.
package ratelimit

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Statement is what a backend server said in an answer about the calls that it takes.
type Statement struct {
	Server    string
	Born      int64   // Start of the server's run that said so, in Unix milliseconds; 0 if unknown.
	Limited   bool    // The server named a limit.
	PerSecond float64 // Calls a second that the server takes from all gateways together, if Limited.
	// At is when a named limit arrived, or when the call was sent whose answer named none: an answer to an earlier call may have
	// left the server before the limit began.
	At time.Time
}

// Table holds the newest statement of each backend server that has named a limit. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	byServer map[string]Statement // Guarded by mu.
	own      map[string]Statement // Guarded by mu. Recorded here and not yet taken by TakeUnreported.
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byServer: make(map[string]Statement), own: make(map[string]Statement)}
}

// Record adds a statement that a server made to this process. It returns the statement that it replaces, and whether the server's
// limit changed.
func (t *Table) Record(s Statement) (previous Statement, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, changed, newer := t.put(s)
	if newer {
		t.own[s.Server] = s
	}
	return previous, changed
}

// Merge adds statements that servers made to other processes.
func (t *Table) Merge(list []Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range list {
		t.put(s)
	}
}

// put stores a statement if it is newer than the known one of the server. That no limit applies is stored only for servers that
// have named one. The caller holds mu.
func (t *Table) put(s Statement) (previous Statement, changed, newer bool) {
	previous, known := t.byServer[s.Server]
	switch {
	case !known && !s.Limited, known && s.Born < previous.Born, known && s.Born == previous.Born && !s.At.After(previous.At):
		return previous, false, false
	}
	t.byServer[s.Server] = s
	return previous, s.Limited != previous.Limited || s.PerSecond != previous.PerSecond, true
}

// Limit returns the limit that applies to the run of a server. It reports false if none does.
func (t *Table) Limit(server string, born int64) (perSecond float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byServer[server]
	return s.PerSecond, s.Limited && s.Born == born
}

// All returns the newest statements of all servers.
func (t *Table) All() []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.byServer))
}

// TakeUnreported returns the statements that were recorded since the last call, the newest of each server.
func (t *Table) TakeUnreported() []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := slices.Collect(maps.Values(t.own))
	clear(t.own)
	return list
}

// Requeue makes statements unreported again, unless the server has made a newer one since.
func (t *Table) Requeue(list []Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range list {
		if _, newer := t.own[s.Server]; !newer {
			t.own[s.Server] = s
		}
	}
}

// Limited returns the number of servers whose limit applies.
func (t *Table) Limited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.byServer {
		if s.Limited {
			n++
		}
	}
	return n
}

// endedRetention is how long it is kept that a limit has ended, so that all processes hear of it.
const endedRetention = 10 * time.Second

// Sweep drops the servers for which isListed returns false, and those whose limit ended endedRetention ago.
func (t *Table) Sweep(now time.Time, isListed func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.byServer {
		if !isListed(id) || !s.Limited && now.Sub(s.At) > endedRetention {
			delete(t.byServer, id)
			delete(t.own, id)
		}
	}
}
