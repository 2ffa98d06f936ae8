package entry

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// An entry that has lost a program's journal neither renews nor ends the program's hold: that is its new owner's.
func TestLostOwnershipLeavesHoldsAlone(t *testing.T) {
	is := is.New(t)
	f := newFleet(transport.NewClient(transport.ClientOptions{}), slog.New(slog.NewTextHandler(io.Discard, nil)), time.Hour)
	f.group = newGroup()
	s := newSidecar()
	s.member = ports.Member{ID: "engine-1", Role: ports.RoleBackend, Address: "127.0.0.1:1"}
	f.sidecars["engine-1"] = s
	told := func() (renewed, ended []string) {
		var r api.ExchangeRequest
		s.fillRequest(&r)
		return r.Renew, r.Ended
	}
	s.begin("p1")(time.Minute)
	s.begin("p2")(0)
	renewed, ended := told()
	is.Equal(renewed, []string{"p1"})
	is.Equal(ended, []string{"p2"})
	f.forget([]string{"p1", "p2"})
	s.begin("p1")(keepHold)
	renewed, ended = told()
	is.Equal(len(renewed)+len(ended), 0)
}
