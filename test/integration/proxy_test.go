package integration

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/redwinggauge/redwinggauge/test/addresses"
)

// link is a fault-injecting proxy in front of a process, used for the connections of one or more other processes.
type link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

// newLink starts a proxy that forwards connections to upstream.
func newLink(t testing.TB, name, upstream string) *link {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	l := &link{t: t}
	var err error
	for range 10 {
		l.proxy = toxiproxy.NewProxy(server, name, addresses.Free(t), upstream)
		if err = l.proxy.Start(); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.proxy.Stop)
	return l
}

// address returns the address to which clients connect.
func (l *link) address() string { return l.proxy.Listen }

// disconnect closes every connection and refuses new ones.
func (l *link) disconnect() { l.proxy.Stop() }

// releaseTimeout bounds the time that the address of a stopped proxy may stay in use.
const releaseTimeout = 5 * time.Second

// reconnect accepts connections again at the same address. The former listener may exist a little longer than disconnect
// takes: Proxy.Stop returns before the last reference to it is dropped, and a process that is being started has a copy of it
// until it runs its program.
func (l *link) reconnect() {
	l.t.Helper()
	err := l.proxy.Start()
	for giveUp := time.Now().Add(releaseTimeout); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(giveUp); {
		time.Sleep(time.Millisecond)
		err = l.proxy.Start()
	}
	if err != nil {
		l.t.Fatal(err)
	}
}

// addFault adds a toxic of toxiproxy under a name. stream is "upstream" (requests) or "downstream" (responses).
func (l *link) addFault(name, kind, stream, attributes string) {
	l.t.Helper()
	body := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, stream, attributes)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
		l.t.Fatal(err)
	}
}

// dropResponses lets requests through and drops responses. removeFaults then closes the affected connections.
func (l *link) dropResponses() { l.addFault("drop", "timeout", "downstream", `{"timeout":0}`) }

// dropRequests drops requests. removeFaults then closes the affected connections.
func (l *link) dropRequests() { l.addFault("hold", "timeout", "upstream", `{"timeout":0}`) }

// delay delays data in both directions.
func (l *link) delay(d time.Duration) {
	attributes := fmt.Sprintf(`{"latency":%d}`, d.Milliseconds())
	l.addFault("delay-up", "latency", "upstream", attributes)
	l.addFault("delay-down", "latency", "downstream", attributes)
}

// removeFaults removes every fault added to the link.
func (l *link) removeFaults() { l.proxy.Toxics.ResetToxics(context.Background()) }
