package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/client"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
)

// operator returns a client for the operators' ports of the entries.
func (c *cluster) operator(entries ...*entryNode) *client.Client {
	addresses := make([]string, len(entries))
	for i, e := range entries {
		addresses[i] = e.operatorAddress
	}
	return client.New(addresses, operatorToken)
}

// withPriority returns the default configuration with the given priority of the class "batch".
func withPriority(t *testing.T, priority int) json.RawMessage {
	t.Helper()
	config := policy.Default()
	changeClass(config, "batch", func(cl *policy.Class) { cl.Priority = priority })
	return mustJSON(t, config)
}

// submission returns a request to submit the configuration of withPriority. base is the revision that it replaces, key the
// idempotency key.
func submission(t *testing.T, base uint64, priority int, key string) httpapi.SubmitRequest {
	return httpapi.SubmitRequest{Config: withPriority(t, priority), Base: base, Reason: t.Name(), IdempotencyKey: key}
}

// codeOf returns the result code of an error: CodeOK for nil, and CodeUnavailable for an error without a code.
func codeOf(err error) api.Code {
	var coded *api.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	if err != nil {
		return api.CodeUnavailable
	}
	return api.CodeOK
}

// Operators submit configurations concurrently at different entries, all based on the same revision. One succeeds; the
// others get a conflict error that names the new revision and its author.
func TestConcurrentSubmissions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 3, engines: 1, services: 1})
	var mu sync.Mutex
	codes := make(map[api.Code]int)
	var conflicts []string
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			request := submission(t, 1, i+1, fmt.Sprintf("race-of-operators-%d", i))
			_, err := c.operator(c.entries[i%3]).Submit(context.Background(), request)
			mu.Lock()
			defer mu.Unlock()
			codes[codeOf(err)]++
			if err != nil {
				conflicts = append(conflicts, err.Error())
			}
		})
	}
	group.Wait()
	is.Equal(codes, map[api.Code]int{api.CodeOK: 1, api.CodeConfigConflict: 5})
	for _, text := range conflicts {
		is.True(strings.Contains(text, "revision 2") && strings.Contains(text, "tester"))
	}
	history, err := c.operator(c.entries[0]).History(context.Background(), 10)
	is.NoErr(err)
	is.Equal(len(history), 2)
}

// Guards against a wrong outcome of a submission when responses of the key-value service are lost: the revisions that
// operators get are consecutive, and a resent submission gets the same revision.
func TestSubmissionWithLostStoreResponses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2, engines: 1, services: 1})
	c.setFaults(c.kvAddress, map[string]any{"lose_answer_share": 0.3, "lose_before_effect_share": 0.1})
	base := uint64(1)
	for i := range 6 {
		request := submission(t, base, i+1, fmt.Sprintf("lost-answers-%d", i))
		var entry policy.Entry
		eventually(t, time.Minute, "the submission succeeds", func() bool {
			var err error
			entry, err = c.operator(c.entries[i%2]).Submit(context.Background(), request)
			return err == nil
		})
		is.Equal(entry.Revision, base+1)
		again, err := c.operator(c.entries[(i+1)%2]).Submit(context.Background(), request)
		if err == nil {
			is.Equal(again.Revision, entry.Revision)
		}
		base = entry.Revision
	}
}

// Guards against the use of an outdated configuration: an entry is frozen while the configuration changes. When it
// continues, it must not admit a program under the old revision.
func TestFrozenEntryNeverServesAnOldRevision(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2, engines: 1, services: 1})
	frozen, other := c.entries[0], c.entries[1]
	body := mustJSON(t, api.CreateRequest{Organisation: "demo", Class: "interactive"})
	frozen.freeze()
	config := policy.Default()
	config.Organisations = []policy.Organisation{{Name: "another"}}
	request := httpapi.SubmitRequest{Config: mustJSON(t, config), Base: 1, Reason: t.Name(), IdempotencyKey: "frozen-entry-1"}
	_, err := c.operator(other).Submit(context.Background(), request)
	is.NoErr(err)
	frozen.unfreeze()
	k := newCaller(t, c)
	for range 50 {
		a := k.send(0, "POST", "/v1/programs", body)
		is.NoErr(a.err)
		is.True(a.status != 201) // the organisation no longer exists
	}
	c.waitRevision(2)
}

// An entry that cannot reach the key-value service or any other entry stops admitting programs. It admits them again once
// the connections are restored.
func TestDisconnectedEntryStopsAdmitting(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2, engines: 1, services: 1, entryYAML: "order_wait_ms: 1000\n"})
	isolated := c.entries[0]
	isolated.kvLink.disconnect()
	isolated.internalLink.disconnect()
	c.entries[1].internalLink.disconnect() // from the isolated entry to the other one
	body := mustJSON(t, api.CreateRequest{Organisation: "demo", Class: "interactive"})
	k := newCaller(t, c)
	eventually(t, 17*time.Second, "the isolated entry rejects programs", func() bool {
		return k.send(0, "POST", "/v1/programs", body).code == api.CodeStaleConfig
	})
	isolated.kvLink.reconnect()
	isolated.internalLink.reconnect()
	c.entries[1].internalLink.reconnect()
	eventually(t, 30*time.Second, "the entry admits programs again", func() bool {
		return k.send(0, "POST", "/v1/programs", body).status == 201
	})
}

// Guards against serving under an outdated revision: an entry that restarts while the key-value service is unavailable uses
// the revision that the other entry has, or does not serve. It admits no program during the outage.
func TestRestartDuringStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2, engines: 1, services: 1, entryYAML: "order_wait_ms: 1000\ncommit_wait_ms: 1000\n"})
	_, err := c.operator(c.entries[0]).Submit(context.Background(), submission(t, 1, 7, "before-the-outage"))
	is.NoErr(err)
	c.waitRevision(2)
	const outage = 8 * time.Second
	deadline := time.Now().Add(outage - 3*time.Second)
	c.setFaults(c.kvAddress, map[string]any{"outage_ms": outage.Milliseconds()})
	restarted := c.entries[0]
	restarted.kill()
	restarted.launch()
	body := mustJSON(t, api.CreateRequest{Organisation: "demo", Class: "interactive"})
	k := newCaller(t, c)
	for time.Now().Before(deadline) {
		a := k.send(0, "POST", "/v1/programs", body)
		is.True(a.status != 201) // no program can be committed to a journal
		time.Sleep(100 * time.Millisecond)
	}
	c.waitRevision(2)
}

// Operators list and end programs and drain backend servers. The audit trail contains each change with its author.
func TestOperatorsActionsAreAudited(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 2, engines: 2})
	ctx := context.Background()
	k := c.newProgram("")
	k.chatUntilDone(0, 1, "hello", 8)
	operator := c.operator(c.entries...)
	programs, err := operator.Programs(ctx, 10, "")
	is.NoErr(err)
	is.Equal(len(programs), 1)
	is.Equal(programs[0].ID, k.program)
	is.NoErr(operator.EndProgram(ctx, k.program, "it was a test"))
	is.Equal(k.chat(1, 2, "still there?", 8).code, api.CodeProgramEnded)
	is.NoErr(operator.Drain(ctx, "engine-1", "maintenance"))
	is.Equal(c.engines[0].sidecar.waitExit(time.Minute), 0)
	events, err := operator.Audit(ctx, 10)
	is.NoErr(err)
	var kinds []policy.EventKind
	for _, event := range events {
		kinds = append(kinds, event.Kind)
		if event.Kind != policy.EventConfig {
			is.Equal(event.Actor, "tester")
		}
	}
	is.Equal(kinds, []policy.EventKind{policy.EventDrain, policy.EventProgramEnd, policy.EventConfig})
	_, err = client.New([]string{c.entries[0].operatorAddress}, "wrong").Programs(ctx, 10, "")
	is.Equal(codeOf(err), api.CodeUnauthorized)
}
