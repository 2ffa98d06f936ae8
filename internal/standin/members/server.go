// Package members is a stand-in for the platform's membership list, in which changes appear with a lag.
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
	Lag     time.Duration  // Time until a change appears in the list.
	Members []ports.Member // Initial list.
}

// Faults are the faults that the stand-in injects.
type Faults struct {
	OutageMS int64 `json:"outage_ms,omitempty"` // Period after setting in which connections are closed without a response.
	LagMS    int64 `json:"lag_ms,omitempty"`    // Added to the lag of changes made after setting.
}

// pendingChange is a change that appears in the list when it is due.
type pendingChange struct {
	due   time.Time
	apply func(map[string]ports.Member)
}

// Server is a running stand-in membership list.
type Server struct {
	lag        time.Duration
	httpServer *transport.Server
	faults     standin.FaultState[Faults]

	mu      sync.Mutex
	members map[string]ports.Member // Guarded by mu. The visible list, by ID.
	pending []pendingChange         // Guarded by mu. In the order in which they were made.
	reads   int                     // Guarded by mu.
}

// Start starts a stand-in membership list.
func Start(o Options) (*Server, error) {
	s := &Server{lag: o.Lag, members: make(map[string]ports.Member)}
	for _, m := range o.Members {
		s.members[m.ID] = m
	}
	server, err := standin.Listen(o.Listen, "members", s.handle)
	if err != nil {
		return nil, err
	}
	s.httpServer = server
	return s, nil
}

// Address returns the listen address as host:port.
func (s *Server) Address() string { return s.httpServer.Address() }

// Close stops the stand-in immediately, without waiting for requests.
func (s *Server) Close() error { return s.httpServer.Abort() }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.Set(f) }

// Put adds or replaces a member after the lag.
func (s *Server) Put(m ports.Member) {
	s.applyAfterLag(func(members map[string]ports.Member) { members[m.ID] = m })
}

// MarkLeaving marks a member as leaving after the lag.
func (s *Server) MarkLeaving(id string) {
	s.applyAfterLag(func(members map[string]ports.Member) {
		if m, ok := members[id]; ok {
			m.Leaving = true
			members[id] = m
		}
	})
}

// Delete removes a member after the lag.
func (s *Server) Delete(id string) {
	s.applyAfterLag(func(members map[string]ports.Member) { delete(members, id) })
}

// applyAfterLag schedules a change of the list.
func (s *Server) applyAfterLag(apply func(map[string]ports.Member)) {
	faults, _ := s.faults.Get()
	due := time.Now().Add(s.lag + standin.Milliseconds(faults.LagMS))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingChange{due: due, apply: apply})
}

// readMembers applies the changes that are due and returns the members in order of ID. It applies changes in the order in
// which they were made: a change also waits for those before it.
func (s *Server) readMembers() []ports.Member {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	for len(s.pending) > 0 && !now.Before(s.pending[0].due) {
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
	if faults, since := s.faults.Get(); time.Since(since) < standin.Milliseconds(faults.OutageMS) {
		standin.CloseWithoutResponse(ctx)
		return
	}
	id, isMember := strings.CutPrefix(path, ports.PathMembers+"/")
	switch {
	case path == ports.PathMembers && ctx.IsGet():
		transport.WriteJSON(ctx, fasthttp.StatusOK, ports.MemberList{Members: s.readMembers()})
	case path == standin.PathStats:
		s.mu.Lock()
		defer s.mu.Unlock()
		transport.WriteJSON(ctx, fasthttp.StatusOK, Stats{Reads: s.reads, Pending: len(s.pending)})
	case isMember:
		s.serveChange(ctx, id)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// Stats counts reads of the list and changes that have not yet appeared in it.
type Stats struct {
	Reads   int `json:"reads"`
	Pending int `json:"pending"`
}

// serveChange handles a request that adds, replaces, marks or removes a member.
func (s *Server) serveChange(ctx *fasthttp.RequestCtx, id string) {
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
		s.MarkLeaving(leaving)
	case ctx.IsDelete():
		s.Delete(id)
	default:
		ctx.Error("method not allowed", fasthttp.StatusMethodNotAllowed)
		return
	}
	transport.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
}
