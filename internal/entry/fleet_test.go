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

// An entry that has lost a program's journal must neither renew nor release the program's hold, even when a call that was
// in progress ends afterwards. The hold belongs to the new owner, which may still need the prefix.
func TestLostOwnershipLeavesHoldsUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFleet(transport.NewClient(transport.ClientOptions{}), slog.New(slog.NewTextHandler(io.Discard, nil)), time.Hour)
	f.protocol = newProtocol()
	s := newSidecar()
	s.member = ports.Member{ID: "engine-1", Role: ports.RoleBackend, Address: "127.0.0.1:1"}
	f.sidecars["engine-1"] = s
	nextRequest := func() (renewed, ended []string) {
		var r api.ExchangeRequest
		s.fillRequest(&r)
		return r.Renew, r.Ended
	}
	s.beginCall("p1")(time.Minute)
	s.beginCall("p2")(0)
	renewed, ended := nextRequest()
	is.Equal(renewed, []string{"p1"})
	is.Equal(ended, []string{"p2"})
	f.forgetPrograms([]string{"p1", "p2"})
	s.beginCall("p1")(keepHold)
	renewed, ended = nextRequest()
	is.Equal(len(renewed)+len(ended), 0)
}
