package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

// engine is a stand-in of a model server. It answers turns by a stream of events that name its run and its software version.
type engine struct {
	id, service string
	zone        string
	slots       int
	pieces      int           // Events of a whole stream.
	pause       time.Duration // Between two events.
	put         func(key string, value any)
	onRun       func(id string) (end func()) // Called when a request begins to run; may be nil.

	mu       sync.Mutex
	address  string       // Guarded by mu.
	server   *http.Server // Guarded by mu. Of the present run.
	version  string       // Guarded by mu.
	born     int64        // Guarded by mu. Start of the present run in Unix milliseconds.
	sequence int          // Guarded by mu. Of the entries of the present run.
	leaving  bool         // Guarded by mu.
}

// start begins a run of the engine with the software version, and lists it.
func (e *engine) start(version string) {
	e.serve(version)
	e.list("ready")
}

// serve begins a run of the engine with the software version, at the address that it had before.
func (e *engine) serve(version string) {
	e.mu.Lock()
	address := e.address
	e.mu.Unlock()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	must(err)
	e.mu.Lock()
	e.address, e.version, e.born, e.sequence, e.leaving = listener.Addr().String(), version, time.Now().UnixMilli(), 0, false
	e.server = &http.Server{Handler: e.handler(version), ReadHeaderTimeout: time.Minute}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// list writes the engine's entry.
func (e *engine) list(state string) {
	e.mu.Lock()
	e.sequence++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": state,
		"cold_left_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	e.mu.Unlock()
	e.put("servers/"+e.id, entry)
}

// drain reports that the engine leaves.
func (e *engine) drain() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.list("draining")
}

// exit ends the present run with all its channels, as the end of a process does.
func (e *engine) exit() {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

func (e *engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// handler returns the handler of a run.
func (e *engine) handler(version string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isLeaving() {
			w.Header().Set("Server-Leaving", "1")
		}
		if r.URL.Path == "/-/kv-list" {
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprint(w, `{"epoch":1,"next":1,"held":[]}`)
			return
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Instance-Id", e.id)
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if e.onRun != nil {
			defer e.onRun(r.Header.Get("Request-Id"))()
		}
		w.Header().Set("Response-Seal", "seal")
		e.stream(w, r, version)
	})
}

// stream sends the events after the one that the caller has, until the end of the stream or of the time budget.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, version string) {
	budget, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	until := time.Now().Add(time.Duration(budget) * time.Millisecond)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := standin.LastEvent(r) + 1; n <= e.pieces; n++ {
		if time.Now().After(until) {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, version, e.id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if n == e.pieces {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.pause):
		}
	}
}
