package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings and the pages state them.
const (
	maxValueBytes = 1 << 20
	maxKeyBytes   = 200
	maxEntries    = 32
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
)

// kvItem is a key with its value, or the removal of a key.
type kvItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
	Current int64  `json:"current_rev,omitempty"`
}

// kvStore is a stand-in for the platform's metadata store.
type kvStore struct {
	record  *recorder
	address string
	server  *http.Server

	mu      sync.Mutex
	rev     int64             // Guarded by mu.
	items   map[string]kvItem // Guarded by mu.
	history []kvItem          // Guarded by mu.
	changed chan struct{}     // Guarded by mu. Closed at each change.
}

func newStore(record *recorder) (*kvStore, error) {
	s := &kvStore{record: record, rev: 1, items: make(map[string]kvItem), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTransaction)
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as operators and servers do.
func (s *kvStore) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // All values can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, data)
	s.notify()
	s.record.add("store", "put", "key", key, "rev", s.rev, "value", string(data))
}

// remove deletes a key as the platform does.
func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	s.delete(key)
	s.notify()
	s.record.add("store", "remove", "key", key, "rev", s.rev)
}

func (s *kvStore) delete(key string) {
	delete(s.items, key)
	s.history = append(s.history, kvItem{Key: key, Rev: s.rev, Removed: true})
}

func (s *kvStore) set(key string, value []byte) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := kvItem{Key: key, Value: value, Rev: s.rev, Created: created}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	if len(key) > maxKeyBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	it, ok := s.items[key]
	it.Current = s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	sendJSON(w, http.StatusOK, it)
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items, current := []kvItem{}, s.rev
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b kvItem) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(items) && n < maxPageItems && (n == 0 || size+len(items[n].Value) <= maxPageBytes) {
		size += len(items[n].Value)
		n++
	}
	sendJSON(w, http.StatusOK, map[string]any{"items": items[:n], "truncated": n < len(items), "current_rev": current})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []kvItem{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		current, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			sendJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})
			return
		}
		select {
		case <-changed:
		case <-limit:
			sendJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a call that changes the store.
type transaction struct {
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

// isValid reports whether the transaction keeps to the limits of the store.
func (t *transaction) isValid() bool {
	if len(t.Precondition)+len(t.Puts)+len(t.Remove) > maxEntries {
		return false
	}
	for _, p := range t.Puts {
		if len(p.Key) > maxKeyBytes || len(p.Value) > maxValueBytes {
			return false
		}
	}
	return true
}

func (s *kvStore) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || !t.isValid() {
		largest := 0
		for _, p := range t.Puts {
			largest = max(largest, len(p.Value))
		}
		s.record.add("store", "transaction refused", "status", 400, "puts", len(t.Puts), "largest_value", largest)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []kvItem{}, true
	for _, c := range t.Precondition {
		it, ok := s.items[c.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Rev == c.Rev
	}
	if !holds {
		sendJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.rev++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value)
	}
	for _, key := range t.Remove {
		s.delete(key)
	}
	s.notify()
	sendJSON(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func sendJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
