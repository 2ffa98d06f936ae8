package soak

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/redwinggauge/redwinggauge/platform/standin"
)

// restOfStream is the response to a call that takes a stream up after its first event.
const restOfStream = "id: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"

// runStream begins a stream, leaves after its first event, and takes it up at random gateways until it is whole.
func (c *caller) runStream(ctx context.Context) {
	c.takeUp(ctx, attempt{route: "resume", body: "in;"}, "")
}

// takeUp begins a stream, leaves after its first event, and takes it up at random gateways until it is whole. It returns the last attempt,
// and whether that was whole.
func (c *caller) takeUp(ctx context.Context, a attempt, previous string) (attempt, bool) {
	first := c.stream(ctx, a, previous, "", func(body io.Reader) (string, bool) {
		line, err := bufio.NewReader(body).ReadString('\n')
		return line, err == nil
	})
	last := first
	for tries := 0; first.complete && tries < 3; tries++ {
		last = c.stream(ctx, a, previous, first.id, func(body io.Reader) (string, bool) {
			data, err := io.ReadAll(body)
			return string(data), err == nil
		})
		if last.complete {
			return last, true
		}
	}
	return last, false
}

// stream sends a call of a resumable route and logs the attempt. resumes is the id of the call whose stream it takes up; empty if it
// begins one. read returns what it reads of the answer, and whether it got what it wanted.
func (c *caller) stream(ctx context.Context, a attempt, previous, resumes string, read func(io.Reader) (string, bool)) attempt {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	a.id = c.nextID()
	i := c.random.IntN(len(c.gateways))
	call := standin.Call{
		ID: a.id, Address: c.gateways[i].callerAddress, Route: a.route, Body: a.body, MaxOutput: maxOutput, Resumes: resumes,
		Program: a.program, Previous: previous,
	}
	if a.program != "" {
		call.Budget = programBudget
	}
	call.Key = c.ledger.begin(c, a.id, c.gateways[i])
	if resumes != "" {
		call.LastEvent = "1"
	}
	req, err := call.Request(ctx)
	if err != nil {
		return a
	}
	req.GetBody = nil
	if resp, err := c.clients[i].Do(req); err == nil {
		c.ledger.answered(a.id, resp)
		a.status, a.sealed = resp.StatusCode, standin.IsSealed(resp.Header)
		a.answer, a.complete = read(resp.Body)
		a.complete = a.complete && a.status == http.StatusOK
		_ = resp.Body.Close()
	}
	c.log.add(a)
	return a
}

// checkStreams checks that each stream that was taken up went on at a server of the version that began it.
func checkStreams(t *testing.T, attempts []attempt, servers []*standin.Server) {
	t.Helper()
	began := make(map[string]map[string]bool) // Versions that ran a call that begins a stream, by its id.
	for _, s := range servers {
		for _, r := range s.Runs() {
			if !r.ResumesStream() {
				if began[r.ID] == nil {
					began[r.ID] = make(map[string]bool)
				}
				began[r.ID][s.Version] = true
			}
		}
	}
	takenUp := 0
	for _, s := range servers {
		for _, r := range s.Runs() {
			if stream := r.Resumes(); stream != "" {
				takenUp++
				if !began[stream][s.Version] {
					t.Errorf("ORDER: request %s takes up stream %s at version %s; it began at %v", r.ID, stream, s.Version, began[stream])
				}
			}
		}
	}
	turns := 0
	for _, a := range attempts {
		if a.route == "sessions" && a.complete && a.answer == restOfStream {
			turns++
		}
		if (a.route == "resume" || a.route == "sessions") && a.complete && a.answer != restOfStream && !strings.HasPrefix(a.answer, "id: 1") {
			t.Errorf("ORDER: request %s got response %q", a.id, a.answer)
		}
	}
	t.Logf("%d streams were taken up; %d turns are whole by that", takenUp, turns)
}
