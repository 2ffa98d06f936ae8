package integration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/redwinggauge/redwinggauge/test/addresses"
)

// link is one proxied connection between two processes.
type link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

// newLink starts a proxy in front of upstream.
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

// address is what the other side connects to.
func (l *link) address() string { return l.proxy.Listen }

// cut ends every connection and refuses new ones.
func (l *link) cut() { l.proxy.Stop() }

// mend accepts connections again at the same address.
func (l *link) mend() {
	l.t.Helper()
	if err := l.proxy.Start(); err != nil {
		l.t.Fatal(err)
	}
}

// toxic adds a fault under a name. stream is "upstream" (requests) or "downstream" (answers).
func (l *link) toxic(name, kind, stream, attributes string) {
	l.t.Helper()
	body := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, stream, attributes)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
		l.t.Fatal(err)
	}
}

// dropAnswers lets requests through and holds every answer back until heal.
func (l *link) dropAnswers() { l.toxic("drop", "timeout", "downstream", `{"timeout":0}`) }

// dropRequests holds every request back until heal.
func (l *link) dropRequests() { l.toxic("hold", "timeout", "upstream", `{"timeout":0}`) }

// delay delays both directions.
func (l *link) delay(d time.Duration) {
	attributes := fmt.Sprintf(`{"latency":%d}`, d.Milliseconds())
	l.toxic("delay-up", "latency", "upstream", attributes)
	l.toxic("delay-down", "latency", "downstream", attributes)
}

// heal removes every fault.
func (l *link) heal() { l.proxy.Toxics.ResetToxics(context.Background()) }
