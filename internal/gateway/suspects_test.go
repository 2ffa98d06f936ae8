package gateway

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
)

func discardedSuspects() *suspects { return newSuspects(slog.New(slog.DiscardHandler)) }

// crash lets a call of the body break off at a server that is then found to have started anew.
func crash(s *suspects, body, server string, at time.Time) {
	s.broke(body, &fleet.BackendServer{ID: server, Born: 1}, at)
	directory := fleet.NewDirectory()
	directory.Replace([]*fleet.BackendServer{{ID: server, Born: 2, Revision: 1}}, 1, time.Time{})
	s.sweep(directory.View(), at.Add(time.Second))
}

func TestABodyIsRefusedAfterItHasCrashedThreeServers(t *testing.T) {
	is := is.New(t)
	s, other := discardedSuspects(), discardedSuspects()
	now := time.Now()
	crash(s, "body", "a", now)
	crash(s, "body", "a", now) // the same crash again
	crash(other, "body", "b", now)
	s.learn(other.takeNews())
	is.True(!s.isRefused("body"))
	s.broke("body", &fleet.BackendServer{ID: "c", Born: 1}, now)
	s.died("c", now) // it accepts no connections
	is.True(s.isRefused("body"))
	other.learn(s.refused())
	is.True(other.isRefused("body"))
	is.True(!s.isRefused("other body"))

	s.sweep(fleet.NewDirectory().View(), now.Add(suspectMemory+time.Minute))
	is.True(!s.isRefused("body"))
}

func TestABodyThatIsServedIsNoSuspect(t *testing.T) {
	is := is.New(t)
	s, other := discardedSuspects(), discardedSuspects()
	now := time.Now()
	crash(s, "body", "a", now)
	crash(s, "body", "b", now)
	other.learn(s.takeNews())
	other.served("body")
	s.learn(other.takeNews())
	crash(s, "body", "c", now)
	is.True(!s.isRefused("body"))
}

// A server that goes on has broken the call off for another reason.
func TestACallThatBreaksOffAtALivingServerIsNoCrash(t *testing.T) {
	is := is.New(t)
	s := discardedSuspects()
	now := time.Now()
	directory := fleet.NewDirectory()
	directory.Replace([]*fleet.BackendServer{{ID: "a", Born: 1, Revision: 1}}, 1, time.Time{})
	for i := range 5 {
		s.broke("body", &fleet.BackendServer{ID: "a", Born: 1}, now.Add(time.Duration(i)*time.Second))
		s.sweep(directory.View(), now.Add(time.Duration(i+1)*time.Second))
	}
	is.True(s.isEmpty())
	s.sweep(directory.View(), now.Add(time.Minute))
	is.Equal(len(s.broken), 0)
}

func TestFingerprintsTellBodiesAndCallersWithoutBodiesApart(t *testing.T) {
	is := is.New(t)
	call := calls.Call{Method: "POST", Host: "h", Target: "/x", Body: []byte("in"), Program: "p"}
	again := call
	again.Program = "q"
	is.Equal(fingerprint(&call, "a"), fingerprint(&again, "b")) // the body decides
	again.Body = []byte("other")
	is.True(fingerprint(&call, "a") != fingerprint(&again, "a"))
	call.Body, again.Body = nil, nil
	is.True(fingerprint(&call, "a") != fingerprint(&again, "a"))
	again.Program = "p"
	is.Equal(fingerprint(&call, "a"), fingerprint(&again, "a"))
	is.True(fingerprint(&call, "a") != fingerprint(&call, "b"))
}
