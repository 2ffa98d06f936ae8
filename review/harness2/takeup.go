package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["takeup"] = playTakeup }

// readStream sends a turn and reads the events that arrive. cutAfter > 0 closes the channel after as many events.
func readStream(address string, q request, cutAfter int) (events [][2]string, a answer) {
	c, err := dial(address)
	if err != nil {
		return nil, answer{err: err}
	}
	defer c.close()
	_ = c.conn.SetDeadline(time.Now().Add(q.wait + 500*time.Millisecond))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.wait.Milliseconds())
	for _, line := range q.header {
		head.WriteString(line + "\r\n")
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		return nil, answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return nil, answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	if a.status != 200 {
		return nil, a
	}
	r := bufio.NewReader(resp.Body)
	var id, data string
	for {
		line, err := r.ReadString('\n')
		if err == io.EOF && line == "" {
			a.complete = true
			return events, a
		}
		if err != nil {
			a.err = err
			return events, a
		}
		line = strings.TrimSuffix(line, "\n")
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			data = v
		}
		if line == "" {
			events = append(events, [2]string{id, data})
			if cutAfter > 0 && len(events) >= cutAfter {
				return events, a
			}
		}
	}
}

func playTakeup(b *bench) error {
	if err := b.addWorkers(serviceModel, true, 4); err != nil {
		return err
	}
	for _, w := range b.workers {
		w.pause, w.events = 30*time.Millisecond, 10
		w.serve = func(rw http.ResponseWriter, r *http.Request, _ []byte) bool {
			first := 1
			if last := r.Header.Get("Last-Event-Id"); last != "" {
				_, _ = fmt.Sscan(last, &first)
				first++
			}
			rw.Header().Set("Content-Type", "text/event-stream")
			rw.WriteHeader(200)
			for i := first; i <= w.events; i++ {
				_, _ = fmt.Fprintf(rw, "id: %d\ndata: %d-%08x\n\n", i, i, rand.Uint32())
				if http.NewResponseController(rw).Flush() != nil {
					return true
				}
				if rand.IntN(40) == 0 {
					panic(http.ErrAbortHandler)
				}
				time.Sleep(time.Duration(rand.IntN(2 * int(w.pause))))
			}
			return true
		}
	}
	b.putConfig(1, func(routes []map[string]any) {
		for _, r := range routes {
			if r["name"] == "draft" {
				r["resumable"], r["attempts"] = true, 2
			}
		}
	})
	for range 3 {
		if _, err := b.addGateway(); err != nil {
			return err
		}
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	stop := time.Now().Add(90 * time.Second)
	var mu sync.Mutex
	expected := map[string]string{} // Body that the worker should get, by request id.
	stats := map[string]int{}
	var group sync.WaitGroup
	for i := range 24 {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; time.Now().Before(stop); n++ {
				program, history, prev := fmt.Sprintf("p%d-%d", i, n), "", ""
				for t := 0; t < 6 && time.Now().Before(stop); t++ {
					input := fmt.Sprintf("input %s %d;", program, t)
					var got [][2]string
					firstID, done := "", ""
					for try := 0; try < 6 && done == ""; try++ {
						q := turn(pathDraft, program, prev, input, 5*time.Second)
						if len(got) > 0 {
							q.header = append(q.header, "Last-Event-Id: "+got[len(got)-1][0], "Resumes: "+firstID)
						}
						mu.Lock()
						expected[q.id] = history + input
						mu.Unlock()
						cut := 0
						if rand.IntN(4) == 0 {
							cut = 1 + rand.IntN(6)
						}
						events, a := readStream(b.gateways[rand.IntN(3)].callers, q, cut)
						if len(events) > 0 && len(got) == 0 {
							firstID = q.id
						}
						took := len(got) > 0
						got = append(got, events...)
						mu.Lock()
						stats[fmt.Sprintf("takeup=%v status=%d complete=%v", took, a.status, a.complete)]++
						mu.Unlock()
						if a.complete {
							done = q.id
						} else if took && len(events) == 0 && rand.IntN(2) == 0 {
							got, firstID = nil, "" // Begin anew.
						}
						time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
					}
					if done == "" {
						break
					}
					history += input
					for k, e := range got {
						history += e[1] + "\n"
						if e[0] != fmt.Sprint(k+1) {
							b.record("ORDER %s event %d has id %s", done, k, e[0])
						}
					}
					prev = done
				}
			}
		}()
	}
	if b.trouble {
		for n := 0; time.Now().Before(stop.Add(-5 * time.Second)); n++ {
			g := b.gateways[n%3]
			switch rand.IntN(3) {
			case 0:
				g.kill()
				time.Sleep(200 * time.Millisecond)
				if err := g.start(); err != nil {
					return err
				}
			case 1:
				g.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
				g.signal(syscall.SIGCONT)
			case 2:
				b.store.setLoss(func(txn) loss { return loss(rand.IntN(6) / 4) })
				time.Sleep(1500 * time.Millisecond)
				b.store.setLoss(nil)
			}
			time.Sleep(time.Duration(500+rand.IntN(2000)) * time.Millisecond)
		}
	}
	group.Wait()
	wrong := 0
	for _, w := range b.workers {
		for _, r := range w.ran() {
			if want, ok := expected[r.id]; !ok || want != r.body {
				wrong++
				b.record("WRONG %s at %s: got %q want %q", r.id, w.id, r.body, want)
			}
		}
	}
	b.record("%v wrong=%d", stats, wrong)
	fmt.Println(stats, "wrong", wrong)
	if wrong > 0 {
		return errBroken
	}
	return nil
}
