package peers

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/ports"
)

const (
	pathConfiguration = "/peers/configuration"
	// configurationTimeout allows for the hub to wait until it may read the configuration again, and for the read. It leaves the
	// member time to read the configuration itself while the caller waits.
	configurationTimeout = 450 * time.Millisecond
)

// Confirmation says how recent the sender's configuration, or its list of backend servers, is known to be.
type Confirmation struct {
	Version int64 `json:"version"` // Version in force at the sender, or revision of the list.
	// AgeMS is the time from the latest moment for which that version is known to be the newest until the sender got the request
	// that this answers, in milliseconds, rounded up. It is negative if the moment is later than the request.
	AgeMS int64 `json:"age_ms"`
}

// NewConfirmation returns what a process says that got a request at received, if its configuration is confirmed for the given time.
func NewConfirmation(version int64, confirmedAt, received time.Time) Confirmation {
	age := float64(received.Sub(confirmedAt)) / float64(time.Millisecond)
	return Confirmation{Version: version, AgeMS: int64(math.Ceil(age))}
}

// At returns the time for which the configuration is confirmed, given when the request was sent. The request arrived later, so the
// sender's configuration is confirmed for this time or a later one.
func (c Confirmation) At(sent time.Time) time.Time {
	return sent.Add(-time.Duration(c.AgeMS) * time.Millisecond)
}

// ConfigurationRequest asks a member to check that its configuration is the newest.
type ConfigurationRequest struct {
	Version int64 `json:"version"` // Version in force at the asking member.
}

// ConfigurationResult answers a ConfigurationRequest.
type ConfigurationResult struct {
	Confirmed *Confirmation   `json:"confirmed,omitempty"` // Missing if the check failed.
	Item      *ports.KeyValue `json:"item,omitempty"`      // The configuration, if it is newer than the asking member's.
	Failure   string          `json:"failure,omitempty"`   // Why the check failed, for the log.
}

// Configuration asks a member to check that its configuration is the newest.
func (c *Client) Configuration(ctx context.Context, to Member, r ConfigurationRequest) (ConfigurationResult, error) {
	var result ConfigurationResult
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	err := c.http.JSON(ctx, http.MethodPost, to.Address, pathConfiguration, r, &result)
	return result, err
}
