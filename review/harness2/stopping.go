package main

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["stopping"] = playStopping }

const (
	// The smallest front machines of lfl-cfg-grown have 0.109 of a core and 3,075 descriptors, 200 of which are not for sockets.
	coreShare    = 0.109
	keptChannels = 2500
	sharePeriod  = 100 * time.Millisecond // An allotment is for a tenth of a second.
	lostTime     = 200 * time.Millisecond // lost_ms.
	thinkTime    = 2 * time.Second        // Mean time between the requests of a channel.
)

// cpuTime returns the processor time that the process has used.
func (g *gateway) cpuTime() time.Duration {
	var t unix.Timespec
	clock := (^int32(g.cmd.Process.Pid) << 3) | 2 // The clock of another process's time, see clock_getcpuclockid(3).
	if unix.ClockGettime(clock, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// allot gives the process its share of a core as an allotment: it runs until its part of a tenth of a second is used up, and then not at
// all for the rest. It returns when the process has ended.
func (g *gateway) allot() {
	for {
		end := time.Now().Add(sharePeriod)
		limit := g.cpuTime() + time.Duration(coreShare*float64(sharePeriod))
		for time.Now().Before(end) {
			if g.cpuTime() >= limit {
				g.signal(syscall.SIGSTOP)
				time.Sleep(time.Until(end))
				g.signal(syscall.SIGCONT)
				break
			}
			time.Sleep(500 * time.Microsecond)
		}
		select {
		case <-g.end:
			return
		default:
		}
	}
}

// playStopping stops two gateways in turn, each with many kept channels.
func playStopping(b *bench) error {
	if err := b.startDeployment(2, "GOMAXPROCS=1"); err != nil { // The platform reports one core.
		return err
	}
	for _, w := range b.workers {
		w.pause = 78 * time.Millisecond
	}
	stopAt := make([]time.Time, len(b.gateways))
	start := time.Now()
	used := make([]time.Duration, len(b.gateways))
	var group sync.WaitGroup
	var mu sync.Mutex
	sent, reset, lost := 0, 0, 0
	for n, g := range b.gateways {
		stopAt[n] = start.Add(time.Duration(10+6*n) * time.Second)
		group.Go(g.allot)
		for i := range keptChannels {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Second / keptChannels)
				c, err := dial(g.callers)
				if err != nil {
					b.record("no channel: %v", err)
					return
				}
				defer c.close()
				for kept := false; time.Now().Before(stopAt[n].Add(4 * time.Second)); kept = true {
					q := request{method: http.MethodPost, path: pathFile, id: newID(), body: strings.Repeat("b", 600), wait: 6 * time.Second}
					a, reusable := c.do(q)
					mu.Lock()
					sent++
					switch {
					case !kept || a.status != 0 || a.took <= lostTime: // A request may cross the close.
					case errors.Is(a.err, io.ErrUnexpectedEOF):
						// A channel with unread bytes would have been reset: the process has read the request.
						lost++
						b.record("LOST %s at %s, sent %.3f s after SIGTERM: %v", q.id, g.id, time.Since(stopAt[n]).Seconds()-a.took.Seconds(), a)
					default:
						reset++
					}
					mu.Unlock()
					if !reusable {
						return
					}
					pause := time.Duration((0.5 + rand.Float64()) * float64(thinkTime))
					if c.endsWithin(pause) {
						return
					}
				}
			})
		}
	}
	for n, g := range b.gateways {
		time.Sleep(time.Until(stopAt[n].Add(-time.Second)))
		used[n] = g.cpuTime()
		time.Sleep(time.Until(stopAt[n]))
		b.record("%s uses %.3f of a core", g.id, (g.cpuTime() - used[n]).Seconds())
		if b.trouble {
			g.signal(syscall.SIGTERM)
			b.record("SIGTERM to %s", g.id)
		}
	}
	time.Sleep(9 * time.Second)
	for _, g := range b.gateways {
		g.kill()
	}
	group.Wait()
	runs := b.runs()
	return b.judge(lost > 3, "requests: %d, run: %d; closed without an answer over lost_ms after they were sent: %d that the gateway had read, %d that it had not",
		sent, len(runs), lost, reset)
}

// endsWithin waits, and reports whether the channel was closed meanwhile, so that a requester sends nothing more on it.
func (c *channel) endsWithin(wait time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	_, err := c.reader.Peek(1)
	var timeout interface{ Timeout() bool }
	return !errors.As(err, &timeout) || !timeout.Timeout()
}
