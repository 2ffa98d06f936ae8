package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's metadata store, from PROTOCOL.md and the example settings.
const (
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
	maxTxnEntries = 32
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
)

// store is a stand-in of the platform's metadata store. It keeps everything in memory.
type store struct {
	server *http.Server
	addr   string

	mu      sync.Mutex // Guards all fields below.
	rev     int64
	items   map[string]storeItem
	history []storeItem
	changed chan struct{}
	refused int            // Transactions that were refused because they exceed a limit.
	loss    func(txn) loss // What happens to the answer of a transaction; may be nil.
}

// loss tells what happens to one transaction.
type loss int

const (
	lossNone   loss = iota
	lossAnswer      // It is executed and not answered.
)

type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
	Current int64  `json:"current_rev,omitempty"`
}

type txn struct {
	Precondition []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

// startStore starts a store on a free port of the loopback address.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), rev: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a key as the operator and the workers do.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, data)
	s.notify()
}

// keys returns the keys with the prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// refusals returns how many transactions were refused because they exceed a limit.
func (s *store) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// setLoss sets what happens to transactions.
func (s *store) setLoss(f func(txn) loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss = f
}

// The callers of set, drop and notify hold mu.
func (s *store) set(key string, value []byte) {
	it := storeItem{Key: key, Value: value, Rev: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Rev: s.rev, Removed: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	it.Current = s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, truncated := []storeItem{}, 0, false
	for _, key := range keys {
		if len(items) >= maxPageItems || size >= maxPageBytes {
			truncated = true
			break
		}
		items, size = append(items, s.items[key]), size+len(s.items[key].Value)
	}
	current := s.rev
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "current_rev": current})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []storeItem{}
		s.mu.Lock()
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		current, changed := s.rev, s.changed
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-limit:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if over || len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	tooLarge := len(t.Precondition)+len(t.Puts)+len(t.Remove) > maxTxnEntries
	for _, p := range t.Puts {
		tooLarge = tooLarge || len(p.Key) > maxKeyBytes || len(p.Value) > maxValueBytes
	}
	if tooLarge {
		s.refused++
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	outcome := lossNone
	if s.loss != nil {
		outcome = s.loss(t)
	}
	current, holds := []storeItem{}, true
	for _, c := range t.Precondition {
		it, ok := s.items[c.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Rev == c.Rev
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.rev++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value)
	}
	for _, key := range t.Remove {
		s.drop(key)
	}
	s.notify()
	if outcome == lossAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
