package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/backend"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// TestNoJobStartsBetweenBrokenConnectionAndProbe checks that no waiting job starts between a broken connection and the next
// probe. The backend server may have crashed, and the job would count as running during the crash.
func TestNoJobStartsBetweenBrokenConnectionAndProbe(t *testing.T) {
	is := is.New(t)
	queue, err := newJobQueue(schedule.DefaultQueueSettings())
	is.NoErr(err)
	started := make(chan string, 2)
	d := newDispatcher(1, queue, nil, func(j *job) { started <- j.request.CallID }, func(*job) {})
	ledger := backend.NewLedger(backend.Limits{Calls: 100, Bytes: 1 << 20})
	add := func(n int) {
		request := &api.CallRequest{CallID: fmt.Sprintf("p/%d/x", n), Attempt: 1, Idempotent: true}
		result, refused := ledger.Start(request, func() *api.Error { return nil })
		is.True(refused == nil)
		d.Add(&job{call: result.Call, request: request}, 0)
	}
	now := time.Now()
	d.Pause(now)
	add(1)
	d.Resume(now.Add(-time.Millisecond)) // a probe that was sent before the connection broke
	var load api.Load
	d.fillLoad(&load)
	is.Equal(load.Running, 0)
	is.Equal(load.Queued, 1)
	d.Resume(now.Add(time.Millisecond))
	is.Equal(<-started, "p/1/x")
}
