package integration

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// listenEndlessly listens in place of a server, and answers each request with the start and then the repeated text until its caller closes.
func listenEndlessly(t *testing.T, address, start, repeated string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	block := []byte(strings.Repeat(repeated, max(1, 32<<10/len(repeated))))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, start)
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
		}
	}()
}

// peakMemoryMB returns the largest resident size of the process so far; 0 if it has ended.
func (p *process) peakMemoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb)
	return kb >> 10
}

const (
	sidecarMemoryMB = 64  // That a backend server's machine spares for its sidecar.
	entryMemoryMB   = 134 // Of the smallest machine that serves callers.
	raceFactor      = 10  // By which the race detector may increase a process's memory.
	endlessPrograms = 80
	endlessTime     = 1500 * time.Millisecond
)

// checkPeakMemory checks the largest resident size of the process so far.
func (p *process) checkPeakMemory(limitMB int) {
	p.t.Helper()
	if raceEnabled {
		limitMB *= raceFactor
	}
	if peak := p.peakMemoryMB(); peak == 0 || peak >= limitMB {
		p.t.Errorf("%s: peak memory %d MB of %d (0: the process has ended)", p.name, peak, limitMB)
	}
}

// Guards against sidecars and entries that run out of memory, with the calls of all their clients, because a backend server sends bytes
// that are no answer, or no end of one, until its caller closes.
func TestEndlessBytesLeaveSidecarsAndEntriesServing(t *testing.T) {
	t.Setenv("GOMAXPROCS", "2") // What the Go runtime uses on a machine with a fraction of one processor.
	const events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, sent := range map[string]struct{ start, repeated string }{
		"one header":            {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":               {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"body":                  {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"body of a failure":     {"HTTP/1.1 500 Failed\r\n\r\n", "x"},
		"one event":             {events + "data: ", "x"},
		"events":                {events, "data: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n"},
		"large events":          {events, "data: {\"choices\":[{\"delta\":{\"content\":\"" + strings.Repeat("word ", 700<<10) + "\"}}]}\n\n"},
		"tool calls":            {events, "data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":\"x\"}}]}}]}\n\n"},
		"comments":              {events, ": x\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, clusterOptions{slots: 64, sidecarYAML: "engine_silence: 1s\n"})
			faulty := []*backendNode{c.engines[0], c.services[0]}
			for _, b := range faulty {
				b.backend.kill()
				listenEndlessly(t, b.address, sent.start, sent.repeated)
			}
			var programs []*caller
			for range endlessPrograms {
				programs = append(programs, c.newProgram(""))
			}
			ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
			defer cancel()
			var group sync.WaitGroup
			var served atomic.Int64
			for p, k := range programs {
				group.Go(func() {
					for seq := 1; ctx.Err() == nil; {
						var a answer
						if (p+seq)%2 == 0 {
							a = k.chat(p, seq, fmt.Sprintf("question %d", seq), 20)
						} else {
							a = k.service(p, seq, "x", "{}")
						}
						if a.code == api.CodeOK {
							served.Add(1)
							seq++
						} else {
							time.Sleep(10 * time.Millisecond)
						}
					}
				})
			}
			group.Wait()
			c.newProgram("").chatUntilDone(0, 1, "after", 20)
			for _, b := range faulty {
				t.Logf("%s: peak %d MB", b.sidecar.name, b.sidecar.peakMemoryMB())
				b.sidecar.checkPeakMemory(sidecarMemoryMB)
			}
			for _, e := range c.entries {
				t.Logf("%s: peak %d MB, %d calls served in all", e.name, e.peakMemoryMB(), served.Load())
				e.checkPeakMemory(entryMemoryMB)
			}
			if served.Load() == 0 {
				t.Error("no call was served")
			}
		})
	}
}
