// Package members is a stand-in for the platform's membership list, which lags behind the truth.
package members

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/standin"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Options configures a Server.
type Options struct {
	Listen  string
	Lag     time.Duration // How long a change takes to appear in the list.
	Members []ports.Member
}

// Faults are the switches of the stand-in.
type Faults struct {
	OutageMS int64 `json:"outage_ms,omitempty"` // From the moment of setting, connections close without an answer.
	LagMS    int64 `json:"lag_ms,omitempty"`    // Added to the lag of changes made from now on.
}

// change is a change of the list that appears at its time.
type change struct {
	at    time.Time
	apply func(map[string]ports.Member)
}

// Server is a running stand-in.
type Server struct {
	lag    time.Duration
	http   *transport.Server
	faults standin.Faults[Faults]

	mu      sync.Mutex
	members map[string]ports.Member // Guarded by mu. The list as it is shown.
	pending []change                // Guarded by mu. In the order in which they were made.
	reads   int                     // Guarded by mu.
}

// Start starts the stand-in.
func Start(o Options) (*Server, error) {
	s := &Server{lag: o.Lag, members: make(map[string]ports.Member)}
	for _, m := range o.Members {
		s.members[m.ID] = m
	}
	server, err := standin.Listen(o.Listen, "members", s.handle)
	if err != nil {
		return nil, err
	}
	s.http = server
	return s, nil
}

// Address returns the address, host:port.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the stand-in at once.
func (s *Server) Close() error { return s.http.Abort() }

// SetFaults replaces the switches.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

// Put adds or replaces a member after the lag.
func (s *Server) Put(m ports.Member) {
	s.later(func(members map[string]ports.Member) { members[m.ID] = m })
}

// Leaving marks a member as leaving after the lag.
func (s *Server) Leaving(id string) {
	s.later(func(members map[string]ports.Member) {
		if m, ok := members[id]; ok {
			m.Leaving = true
			members[id] = m
		}
	})
}

// Delete removes a member after the lag.
func (s *Server) Delete(id string) {
	s.later(func(members map[string]ports.Member) { delete(members, id) })
}

func (s *Server) later(apply func(map[string]ports.Member)) {
	faults, _ := s.faults.Get()
	at := time.Now().Add(s.lag + standin.Millis(faults.LagMS))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, change{at: at, apply: apply})
}

// list applies the changes that are due and returns the members by id.
func (s *Server) list() []ports.Member {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	for len(s.pending) > 0 && !now.Before(s.pending[0].at) {
		s.pending[0].apply(s.members)
		s.pending = s.pending[1:]
	}
	out := make([]ports.Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b ports.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == standin.PathFault {
		s.faults.Handle(ctx)
		return
	}
	if faults, since := s.faults.Get(); time.Since(since) < standin.Millis(faults.OutageMS) {
		standin.DropAnswer(ctx)
		return
	}
	id, isMember := strings.CutPrefix(path, ports.PathMembers+"/")
	switch {
	case path == ports.PathMembers && ctx.IsGet():
		transport.WriteJSON(ctx, fasthttp.StatusOK, ports.MemberList{Members: s.list()})
	case path == standin.PathStats:
		s.mu.Lock()
		defer s.mu.Unlock()
		transport.WriteJSON(ctx, fasthttp.StatusOK, Stats{Reads: s.reads, Pending: len(s.pending)})
	case isMember:
		s.change(ctx, id)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// Stats counts reads and changes that have not yet appeared.
type Stats struct {
	Reads   int `json:"reads"`
	Pending int `json:"pending"`
}

func (s *Server) change(ctx *fasthttp.RequestCtx, id string) {
	leaving, isLeaving := strings.CutSuffix(id, "/leaving")
	switch {
	case ctx.IsPut():
		var m ports.Member
		if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		m.ID = id
		s.Put(m)
	case ctx.IsPost() && isLeaving:
		s.Leaving(leaving)
	case ctx.IsDelete():
		s.Delete(id)
	default:
		ctx.Error("method not allowed", fasthttp.StatusMethodNotAllowed)
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
}
