// Package streams records which software version of a service began a stream. What two versions write does not fit together, and
// servers do not check it, so a stream goes on only at servers of the version that began it.
package streams

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
)

// Origin is what began a stream.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"`            // Of the server's software.
	Server  string `json:"server,omitempty"`   // Id of the server.
	Born    int64  `json:"born,omitempty"`     // Start of its run in Unix milliseconds, as it was listed then.
	FirstMS int64  `json:"first_ms,omitempty"` // Time of the first event in Unix milliseconds, however often the stream was taken up since.
}

// OriginOf returns the origin of a stream whose first event has just come from the server.
func OriginOf(s *fleet.BackendServer) *Origin {
	return &Origin{Service: s.Service, Version: s.Version, Server: s.ID, Born: s.Born, FirstMS: time.Now().UnixMilli()}
}

// clockMargin is more than the clocks of servers and gateways differ.
const clockMargin = 5 * time.Second

// IsDoubtful reports whether the version may be wrong: the server is now listed with a later run of another version, which may have sent
// the first event, unknown to the gateway that recorded the origin.
func (o *Origin) IsDoubtful(view *fleet.View) bool {
	now := view.Server(o.Server)
	return now != nil && now.Born > o.Born && now.Version != o.Version && now.Born <= o.FirstMS+clockMargin.Milliseconds()
}

// MayGoOnAt reports whether a stream with the origin may go on at the server. A stream without an origin has not begun.
func (o *Origin) MayGoOnAt(s *fleet.BackendServer) bool { return o == nil || o.Version == s.Version }

// Services returns those of the services at which a stream with the origin may go on: its own one, or all if its own one is no
// longer among them.
func (o *Origin) Services(services []string) []string {
	if o == nil {
		return services
	}
	for _, name := range services {
		if name == o.Service {
			return []string{name}
		}
	}
	return services
}
