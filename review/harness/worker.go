package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a worker ran.
type run struct {
	ID, Body, LastEvent, Previous string
	At                            time.Time
}

// worker is a stand-in for a worker. Its streams have the ids 1 to events.
type worker struct {
	id, service, address string
	events               int
	pause                time.Duration
	record               *recorder
	store                *kvStore

	mu      sync.Mutex
	version string       // Guarded by mu. Of its software.
	born    int64        // Guarded by mu. Unix milliseconds of its start.
	server  *http.Server // Guarded by mu. nil while it is down.
	runs    []run        // Guarded by mu.
	stop    chan struct{}
	cut     bool          // Guarded by mu. The store does not get what the worker writes.
	beaten  time.Time     // Guarded by mu. When the store last got the worker's entry.
	leaving bool          // Guarded by mu. All answers say that the worker leaves.
	silent  bool          // Guarded by mu. The worker writes its entry no more.
	late    time.Duration // Guarded by mu. The store applies the next registration this much later.
}

// newWorker starts a worker at a free address and registers it.
func newWorker(record *recorder, store *kvStore, id, service, version string, events int, pause time.Duration) (*worker, error) {
	w := &worker{id: id, service: service, events: events, pause: pause, record: record, store: store}
	if err := w.start(version); err != nil {
		return nil, err
	}
	go w.beat()
	return w, nil
}

// start begins a lifetime of the worker, at the address that it had.
func (w *worker) start(version string) error {
	open := listen
	if w.address != "" {
		open = func() (net.Listener, error) { return net.Listen("tcp", w.address) }
	}
	listener, err := open()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.version, w.born = listener.Addr().String(), version, time.Now().UnixMilli()
	w.server = &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: w}
	w.stop = make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	w.record.add("worker "+w.id, "start", "version", version, "born", w.born, "address", w.address)
	w.register()
	return nil
}

// register writes the worker's entry. The caller holds mu.
func (w *worker) register() {
	if w.cut {
		return
	}
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": "z1", "version": w.version, "slots": 24, "state": "ready",
		"cold_left_ms": 0, "sequence": 1, "born": w.born,
	}
	if w.late > 0 {
		w.record.add("worker "+w.id, "registration is done late", "version", w.version, "born", w.born, "late_ms", w.late.Milliseconds())
		time.AfterFunc(w.late, func() { w.store.put("servers/"+w.id, entry) })
		return
	}
	w.store.put("servers/"+w.id, entry)
	w.beaten = time.Now()
}

// beatInterval is beat_ms of the settings.
const beatInterval = 1200 * time.Millisecond

// beat registers the worker again and again, also after the store was away.
func (w *worker) beat() {
	for {
		time.Sleep(beatInterval)
		w.mu.Lock()
		if w.server != nil && !w.silent {
			w.register()
		}
		if !w.beaten.IsZero() && time.Since(w.beaten) > 3*beatInterval {
			w.beaten = time.Time{}
			w.store.remove("servers/" + w.id)
		}
		w.mu.Unlock()
	}
}

// kill ends the lifetime as SIGKILL would: connections are reset, and new ones refused.
func (w *worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.add("worker "+w.id, "killed", "version", w.version)
	close(w.stop)
	_ = w.server.Close()
	w.server = nil
}

// setCut cuts the worker off from the store, or heals the cut.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.record.add("worker "+w.id, "cut off from the store", "value", cut)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/-/kv-list" {
		sendJSON(rw, http.StatusOK, map[string]any{"epoch": 1, "next": 1, "held": []any{}, "born": w.born})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	version, stop, leaving := w.version, w.stop, w.leaving
	run := run{
		ID: r.Header.Get("Request-Id"), Body: string(body), LastEvent: r.Header.Get("Last-Event-Id"),
		Previous: r.Header.Get("Previous-Turn"), At: time.Now(),
	}
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	w.record.add("worker "+w.id, "runs", "request", run.ID, "version", version, "last_event", run.LastEvent, "body_bytes", len(body),
		"body", shorten(run.Body), "leaving", leaving)
	if leaving {
		rw.Header().Set("Server-Leaving", "1")
	}
	rw.Header().Set("Response-Seal", "seal-"+w.id)
	if r.Header.Get("Token-Count") == "" {
		time.Sleep(w.pause)
		_, _ = io.WriteString(rw, "done "+run.ID)
		return
	}
	last, _ := strconv.Atoi(run.LastEvent)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	for i := last + 1; i <= w.events; i++ {
		select {
		case <-time.After(w.pause):
		case <-stop:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			w.record.add("worker "+w.id, "left by its caller", "request", run.ID, "event", i)
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s-%s-%d\n\n", i, w.id, version, i)
		_ = http.NewResponseController(rw).Flush()
	}
}
