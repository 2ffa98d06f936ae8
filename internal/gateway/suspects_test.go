package gateway

import (
	"log/slog"
	"strconv"
	"testing"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/calls"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/liveness"
)

// discardedSuspects returns empty suspects that log nothing.
func discardedSuspects() *suspects { return newSuspects(slog.New(slog.DiscardHandler), &vm.Counter{}) }

// crash records that a call with the body broke off at a server that is then found to have restarted.
func crash(s *suspects, body, server string, at time.Time) {
	s.recordBrokenCall(brokenCall{fingerprint: body, server: server, born: 1, at: at})
	directory := fleet.NewDirectory()
	directory.Replace([]*fleet.BackendServer{{ID: server, Born: 2, Revision: 1}}, 1, time.Time{})
	s.sweep(directory.View(), false, at.Add(time.Second))
}

func TestBodyIsRefusedAfterThreeCrashes(t *testing.T) {
	is := is.New(t)
	s, other := discardedSuspects(), discardedSuspects()
	now := time.Now()
	crash(s, "body", "a", now)
	crash(s, "body", "a", now) // the same crash counts once
	crash(other, "body", "b", now)
	s.merge(other.takeUnreported(), "other")
	is.True(!s.isRefused("body"))
	s.recordBrokenCall(brokenCall{fingerprint: "body", server: "c", born: 1, at: now})
	s.recordUnreachable("c", now) // it refuses connections
	is.True(s.isRefused("body"))
	other.merge(s.refused(), "s")
	is.True(other.isRefused("body"))
	is.True(!s.isRefused("other body"))

	s.sweep(fleet.NewDirectory().View(), false, now.Add(suspectRetention+time.Minute))
	is.True(!s.isRefused("body"))
}

func TestServedBodyIsNoSuspect(t *testing.T) {
	is := is.New(t)
	s, other := discardedSuspects(), discardedSuspects()
	now := time.Now()
	crash(s, "body", "a", now)
	crash(s, "body", "b", now)
	other.merge(s.takeUnreported(), "s")
	other.recordServed("body")
	s.merge(other.takeUnreported(), "other")
	crash(s, "body", "c", now)
	is.True(!s.isRefused("body"))
}

// Guards against crashes of a server that always has the same id and names no start: they are not one crash.
func TestCrashesOfAServerWithoutStartAddUp(t *testing.T) {
	is := is.New(t)
	s, now := discardedSuspects(), time.Now()
	for i := range suspectCrashes {
		is.True(!s.isRefused("body"))
		s.recordBrokenCall(brokenCall{fingerprint: "body", server: "a", at: now})
		s.recordBrokenCall(brokenCall{fingerprint: "body", server: "a", at: now}) // at the same crash
		s.recordUnreachable("a", now)
		is.Equal(s.crashesOf("body"), i+1)
		now = now.Add(3 * time.Second)
	}
	is.True(s.isRefused("body"))
}

// If the server is still running, the call broke off for another reason and must not count as a crash.
func TestBrokenCallAtRunningServerIsNoCrash(t *testing.T) {
	is := is.New(t)
	s := discardedSuspects()
	now := time.Now()
	directory := fleet.NewDirectory()
	directory.Replace([]*fleet.BackendServer{{ID: "a", Born: 1, Revision: 1}}, 1, time.Time{})
	for i := range 5 {
		s.recordBrokenCall(brokenCall{fingerprint: "body", server: "a", born: 1, at: now.Add(time.Duration(i) * time.Second)})
		s.sweep(directory.View(), false, now.Add(time.Duration(i+1)*time.Second))
	}
	is.True(s.isEmpty())
	s.sweep(directory.View(), false, now.Add(time.Minute))
	is.Equal(len(s.broken), 0)
}

func TestFingerprintsDistinguishBodiesAndCallersWithoutBody(t *testing.T) {
	is := is.New(t)
	call := calls.Call{Method: "POST", Host: "h", Target: "/x", Body: []byte("in"), Program: "p"}
	again := call
	again.Program = "q"
	is.Equal(fingerprint(&call, "", "a"), fingerprint(&again, "", "b")) // with a body, program and caller do not matter
	again.ID, again.LastEvent, again.Resumes = "2", "4", "1"
	is.Equal(fingerprint(&call, "", "a"), fingerprint(&again, "", "b")) // nor whether it takes the stream up
	again.Body = []byte("other")
	is.True(fingerprint(&call, "", "a") != fingerprint(&again, "", "a"))
	call.Body, again.Body = nil, nil
	is.True(fingerprint(&call, "", "a") != fingerprint(&again, "", "a"))
	again.Program = "p"
	is.Equal(fingerprint(&call, "", "a"), fingerprint(&again, "", "a"))
	is.Equal(fingerprint(&call, "", "a"), fingerprint(&call, "", "b")) // a program's calls come from several addresses
	call.Program = ""
	is.True(fingerprint(&call, "", "a") != fingerprint(&call, "", "b"))
	is.True(fingerprint(&call, "", "a") != fingerprint(&again, "", "a"))
}

// TestCrashesOfOneOrganisationDoNotRefuseAnother guards against an organisation whose crashing requests get the same requests of
// another one refused. The fingerprints of calls without an organisation are those of earlier builds.
func TestCrashesOfOneOrganisationDoNotRefuseAnother(t *testing.T) {
	is := is.New(t)
	call := calls.Call{Method: "POST", Host: "h", Target: "/x", Body: []byte("in")}
	is.Equal(fingerprint(&call, "", "a"), strconv.FormatUint(xxhash.Sum64String("POST\x00h\x00/x\x00in"), 16))
	is.True(fingerprint(&call, "org-a", "a") != fingerprint(&call, "org-b", "a"))
	is.True(fingerprint(&call, "org-a", "a") != fingerprint(&call, "", "a"))
	forged := call
	forged.Host, forged.Target, forged.Body = "POST", "h", []byte("/x\x00in")
	is.True(fingerprint(&call, "org-a", "a") != fingerprint(&forged, "", "a"))
}

// Guards against a request that waited, or is tried again, and is sent after it has become known that it ends servers.
func TestRequestThatIsRefusedWhileItWaitsIsNotSent(t *testing.T) {
	is := is.New(t)
	g := newFollower(t, &stubHub{onPlace: func() {}})
	g.accounts.DepositAndReserve("p", 20, 0)
	turn := newTurn(g, "turn-1")
	p, err := turn.placeTurn(t.Context())
	is.NoErr(err)
	for _, server := range []string{"a", "b", "c"} {
		crash(g.suspects, turn.fingerprint(), server, time.Now())
	}
	_, err = turn.send(t.Context(), p, "")
	is.Equal(turn.sends, 0)
	is.True(!turn.mayRetry(err) && !turn.mayResume(p, err))
	is.Equal(api.AsError(turn.finalError(t.Context(), err), api.CodeOutcomeUnknown).Code, api.CodeCrashSuspect)
	is.Equal(serverOutcome(t.Context(), p, err), outcomeNeutral)
	turn.runs = 1 // at another server
	is.Equal(api.AsError(turn.finalError(t.Context(), err), api.CodeCrashSuspect).Code, api.CodeOutcomeUnknown)
}

// Guards against a crash that is not counted because the host of the server has lost power: connections to it are neither refused nor
// accepted. An abandoned call at a server that runs is no crash, whatever becomes of the server.
func TestAbandonedCallCountsIfItsServerWasUnreachable(t *testing.T) {
	is := is.New(t)
	now, gone := time.Now(), fleet.NewDirectory().View()
	for _, c := range []struct {
		state   liveness.State
		counted bool
	}{{liveness.Unknown, true}, {liveness.Ended, true}, {liveness.Running, false}} {
		s, directory := discardedSuspects(), fleet.NewDirectory()
		directory.Upsert(&fleet.BackendServer{ID: "a", Born: 1, Revision: 1})
		s.recordBrokenCall(brokenCall{fingerprint: "body", server: "a", born: 1, at: now, abandoned: true})
		s.recordUnreachable("a", now) // found by another call, after this one was abandoned
		is.Equal(s.crashesOf("body"), 0)
		s.recordState("a", c.state, directory.View(), now)
		s.sweep(gone, false, now.Add(time.Second))
		is.Equal(s.crashesOf("body") == 1, c.counted)
	}
}

// Guards against a crash that is not counted because more calls than are kept have broken off shortly before.
func TestCallThatBreaksOffAfterABurstCounts(t *testing.T) {
	is := is.New(t)
	s, now := discardedSuspects(), time.Now()
	for range maxBrokenCalls {
		s.recordBrokenCall(brokenCall{fingerprint: "other", server: "b", born: 1, at: now})
	}
	crash(s, "body", "a", now)
	is.Equal(s.crashesOf("body"), 1)
	is.True(len(s.broken) <= maxBrokenCalls)
}

// Guards against a crash that is not counted because the store is away, and the list frozen, for longer than broken calls are kept.
func TestBrokenCallOutlastsAnOutageOfTheStore(t *testing.T) {
	is := is.New(t)
	s, now := discardedSuspects(), time.Now()
	directory := fleet.NewDirectory()
	directory.Upsert(&fleet.BackendServer{ID: "a", Born: 1, Revision: 1})
	s.recordBrokenCall(brokenCall{fingerprint: "body", server: "a", born: 1, at: now})
	for range 10 {
		now = now.Add(sweepInterval)
		s.sweep(directory.View(), true, now)
	}
	directory.Upsert(&fleet.BackendServer{ID: "a", Born: 2, Revision: 2})
	s.sweep(directory.View(), false, now.Add(sweepInterval))
	is.Equal(s.crashesOf("body"), 1)
}

// Servers that end together are one crash for a request that has just been served, and one each for any other.
func TestServersThatEndTogetherAreOneCrashOfAServedRequest(t *testing.T) {
	is := is.New(t)
	s, now := discardedSuspects(), time.Unix(1_000_000, 0)
	for i, served := range []time.Duration{time.Second, servedPeriod, 3 * servedPeriod} {
		body, at := strconv.Itoa(i), now.Add(served)
		s.rememberServed(body, now)
		for _, server := range []string{"a", "b", "c"} {
			crash(s, body, server, at)
		}
		is.Equal(s.isRefused(body), served > 2*servedPeriod)
	}
	s.rememberServed("broken meanwhile", now)
	for i, server := range []string{"a", "b", "c"} { // one after the other
		is.True(!s.isRefused("broken meanwhile"))
		crash(s, "broken meanwhile", server, now.Add(time.Duration(i)*togetherTime))
	}
	is.True(s.isRefused("broken meanwhile"))
}

func TestServedRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	var s servedRequests
	now := time.Now()
	for i := range 3 * maxServedInPeriod {
		s.add(strconv.Itoa(i), now)
	}
	is.True(s.contains(strconv.Itoa(3*maxServedInPeriod-1), now))
	is.True(!s.contains("0", now))
	is.True(len(s.current)+len(s.previous) <= 2*maxServedInPeriod)
}
