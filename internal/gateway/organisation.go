package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/organisation"
	"github.com/redwinggauge/redwinggauge/internal/pause"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// keyChecks holds what the process needs to decide on callers' keys. It is used only where the configuration requires keys, except
// that the configuration is confirmed by what the process reads anyway.
type keyChecks struct {
	policy    organisation.Policy
	knowledge *organisation.Knowledge
	reads     *organisation.Recheck // Reads the configuration from the key-value service.
	asks      *organisation.Recheck // Asks the hub, and reads the configuration if the hub does not confirm it.
	followed  atomic.Int64          // Version that the follower read last; unknownVersion if it cannot be decoded or was deleted.
	calls     *organisation.Counters
	waits     *vm.Histogram

	mu   sync.Mutex
	item ports.KeyValue // Guarded by mu. Key, value and revision of the configuration in force.
}

const (
	unknownVersion = -1 // Of a configuration that cannot be in force.
	// configurationReadInterval is the shortest time between two reads of the configuration by a process, however many calls
	// with unknown keys arrive.
	configurationReadInterval = 250 * time.Millisecond
	// configurationReadTimeout is for a read by this process. A read that ends early counts as a failure of a service that is only
	// slow, and a longer one leaves no time for reading through another gateway.
	configurationReadTimeout = 800 * time.Millisecond
	confirmPollInterval      = 100 * time.Millisecond
	// digestDelay is how much older the knowledge of a gateway that follows the hub usually is than the hub's, at most: an answer
	// that the hub delays, and as much for sending and busy processes. A check that begins then has failed before calls wait for
	// it, so that an outage delays none: confirmInterval, digestDelay and attemptTime of package organisation together are below
	// its MaxAge.
	digestDelay = 2 * reportHoldTime
)

func (g *Gateway) newKeyChecks(ctx context.Context) *keyChecks {
	k := &keyChecks{
		policy: organisation.Policy{
			Strict: g.settings.StrictRevocation, Revocation: time.Duration(g.settings.RevocationMS) * time.Millisecond,
		},
		knowledge: organisation.NewKnowledge(time.Now()),
		calls:     organisation.NewCounters(g.metrics.set, "redwinggauge_organisation_calls_total"),
		waits:     g.metrics.set.NewHistogram("redwinggauge_configuration_check_seconds"),
	}
	k.followed.Store(unknownVersion)
	k.reads = organisation.NewRecheck(ctx, g.log.With("check", "store"), k.knowledge, configurationReadInterval, g.readConfiguration)
	k.asks = organisation.NewRecheck(ctx, g.log.With("check", "hub"), k.knowledge, 0, g.askConfiguration)
	g.metrics.set.NewGauge("redwinggauge_configuration_age_seconds", func() float64 { return k.knowledge.Age(time.Now()).Seconds() })
	return k
}

// configure puts a configuration in force if it is newer than the current one. item is what it was decoded from.
func (g *Gateway) configure(config *fleet.Config, item ports.KeyValue) {
	g.keys.mu.Lock()
	defer g.keys.mu.Unlock()
	if g.directory.Configure(config) {
		g.keys.item = item
		g.log.Info("configuration in force", "version", config.Version, "revision", item.Revision, "routes", len(config.Routes),
			"organisations", len(config.Organisations))
	}
}

// inForce returns the version of the configuration in force with its key and value. The version is unknownVersion if there is none.
func (g *Gateway) inForce() (int64, ports.KeyValue) {
	g.keys.mu.Lock()
	defer g.keys.mu.Unlock()
	config := g.directory.View().Config
	if config == nil {
		return unknownVersion, ports.KeyValue{}
	}
	return config.Version, g.keys.item
}

// confirmFollowed records that the follower has read all changes of the configuration up to the given time.
func (g *Gateway) confirmFollowed(at time.Time) {
	version, _ := g.inForce()
	if followed := g.keys.followed.Load(); followed != unknownVersion {
		g.keys.knowledge.Confirm(followed, version, at)
	}
}

// confirmation returns what the process tells another gateway whose request it got at received; nil if no keys are in use or the
// configuration is not confirmed.
func (g *Gateway) confirmation(received time.Time) *peers.Confirmation {
	at := g.keys.knowledge.ConfirmedAt() // Read first, see organisation.Knowledge.
	config := g.directory.View().Config
	if at.IsZero() || config == nil || !config.RequiresKeys() {
		return nil
	}
	c := peers.NewConfirmation(config.Version, at, received)
	return &c
}

// acceptConfirmation records how recent the configuration is according to the answer to a request that was sent at sentAt.
func (g *Gateway) acceptConfirmation(c *peers.Confirmation, sentAt time.Time) {
	if c == nil {
		return
	}
	version, _ := g.inForce()
	g.keys.knowledge.Confirm(c.Version, version, c.At(sentAt))
}

// learnConfiguration puts the configuration that was read or received in force if it is newer, and returns its version. Gateways
// that follow this one get it too.
func (g *Gateway) learnConfiguration(item ports.KeyValue) (int64, error) {
	if item.Revision == 0 {
		return unknownVersion, errors.New("there is no configuration in the key-value service")
	}
	version, current := g.inForce()
	if item.Revision == current.Revision && bytes.Equal(item.Value, current.Value) {
		return version, nil
	}
	f := g.followers[configFollowerIndex]
	if revision := f.feed.Revision(); revision != 0 && revision < item.Revision {
		f.applyUpdate(peers.Update{Revision: item.Revision, Events: []ports.WatchEvent{{KeyValue: item}}})
	}
	config, err := g.catalogue.DecodeConfig(item.Value)
	if err != nil {
		return unknownVersion, fmt.Errorf("configuration of revision %d: %w", item.Revision, err)
	}
	g.configure(config, item)
	return config.Version, nil
}

// readConfiguration confirms the configuration by a read that begins now.
func (g *Gateway) readConfiguration(ctx context.Context, began time.Time) error {
	item, err := g.readConfigurationItem(ctx)
	if err == nil {
		var read int64
		read, err = g.learnConfiguration(item)
		if version, _ := g.inForce(); err == nil && !g.keys.knowledge.Confirm(read, version, began) {
			err = organisation.Unconfirmed(read, version)
		}
	}
	g.countCheck("store", err)
	return err
}

// readConfigurationItem reads the configuration from the key-value service, or through other gateways if the service does not
// answer this one.
func (g *Gateway) readConfigurationItem(ctx context.Context) (ports.KeyValue, error) {
	err := errStoreUnavailable
	if g.store.outage() == nil {
		limited, cancel := context.WithTimeout(ctx, configurationReadTimeout)
		defer cancel()
		var item ports.KeyValue
		if item, err = g.store.Read(limited, g.catalogue.ConfigKey, ports.Linearizable); err == nil {
			return item, nil
		}
	}
	for _, m := range g.group.Relays(maxRelays) {
		item, relayErr := g.client.Read(ctx, m, g.catalogue.ConfigKey, ports.Linearizable)
		if relayErr == nil {
			return item, nil
		}
		if errors.Is(relayErr, peers.ErrNoAnswer) {
			g.group.MarkFailed(m.ID)
		}
		err = errors.Join(err, relayErr)
	}
	return ports.KeyValue{}, err
}

// askConfiguration has the hub confirm the configuration. If the process is the hub, or the hub does not confirm it, it reads the
// configuration.
func (g *Gateway) askConfiguration(ctx context.Context, began time.Time) error {
	hub := g.group.Hub()
	if hub.ID == g.settings.ID {
		return g.keys.reads.Await(ctx, began)
	}
	version, _ := g.inForce()
	result, err := g.client.Configuration(ctx, hub, peers.ConfigurationRequest{Version: version})
	if err == nil && result.Item != nil {
		_, err = g.learnConfiguration(*result.Item)
	}
	if err == nil {
		g.acceptConfirmation(result.Confirmed, began)
		if !g.keys.knowledge.IsConfirmedSince(began) {
			err = errors.Join(organisation.ErrUnconfirmed, errors.New("gateway "+hub.ID+" does not confirm it: "+result.Failure))
		}
	}
	g.countCheck("hub", err)
	if err == nil {
		return nil
	}
	if readErr := g.keys.reads.Await(ctx, began); readErr != nil {
		return errors.Join(err, readErr)
	}
	return nil
}

// countCheck counts an attempt to confirm the configuration.
func (g *Gateway) countCheck(by string, err error) {
	outcome := "confirmed"
	if err != nil {
		outcome = "failed"
	}
	g.metrics.set.GetOrCreateCounter(`redwinggauge_configuration_checks_total{by="` + by + `",outcome="` + outcome + `"}`).Inc()
}

// Configuration implements peers.Service. It reads the configuration itself and asks no other gateway, as that could be one that
// waits for this answer.
func (s peerService) Configuration(ctx context.Context, r peers.ConfigurationRequest) peers.ConfigurationResult {
	received := time.Now()
	if err := s.g.keys.reads.Await(ctx, received); err != nil {
		return peers.ConfigurationResult{Failure: err.Error()}
	}
	result := peers.ConfigurationResult{Confirmed: s.g.confirmation(received)}
	if version, item := s.g.inForce(); version > r.Version {
		result.Item = &item
	}
	return result
}

// confirmLoop confirms the configuration at intervals where it requires keys, until ctx ends. A watch that no longer delivers
// changes goes unnoticed for longer than a removed key may stay valid.
func (g *Gateway) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, confirmPollInterval)
		config := g.directory.View().Config
		if config == nil || !config.RequiresKeys() {
			continue
		}
		limit := g.keys.policy.ConfirmInterval()
		if !g.isHub() {
			limit += digestDelay
		}
		now := time.Now()
		if g.keys.knowledge.IsConfirmedSince(now.Add(-limit)) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, time.Second)
		_ = g.keys.asks.Await(limited, now) // The Recheck logs when it begins to fail. It is tried again at once.
		cancel()
	}
}

// acceptsKeys reports whether the process can tell whether a key is valid. After a start it accepts none before the configuration
// is confirmed.
func (g *Gateway) acceptsKeys(config *fleet.Config) bool {
	return !config.RequiresKeys() || !g.keys.knowledge.ConfirmedAt().IsZero()
}

// checkShare is the fraction of a caller's wait that a call may spend waiting for the configuration to be confirmed.
const checkShare = 0.5

// resolve finds the route of the call and the organisation of the caller's key in the configuration in force. Where keys are
// required, it refuses a call without a route or a known key only if the configuration is known to be as recent as the call. The
// exchange then has the configuration by which this was decided.
func (x *exchange) resolve(ctx context.Context) error {
	for checked := false; ; checked = true {
		confirmedAt := x.g.keys.knowledge.ConfirmedAt() // Read first, see organisation.Knowledge.
		config := x.g.directory.View().Config
		x.config = config
		if config == nil {
			return api.Errorf(api.CodeStaleConfig, "no configuration has been loaded yet")
		}
		path, _, _ := strings.Cut(x.call.Target, "?")
		x.route = config.Match(x.call.Host, path)
		if !config.RequiresKeys() && x.route != nil {
			x.organisation = nil
			return nil
		}
		x.organisation = config.OrganisationOfKey(x.call.Key)
		now := time.Now()
		x.configurationAge = x.g.keys.knowledge.Age(now)
		if x.route != nil && x.route.Public {
			return nil
		}
		decision := organisation.Reject
		if config.RequiresKeys() {
			decision = x.g.keys.policy.Decide(organisation.Situation{
				Known: x.route != nil && x.organisation != nil, Arrived: x.call.Arrived, Now: now, ConfirmedAt: confirmedAt,
				FailedAt: x.g.keys.asks.FailedAt(), Checked: checked,
			})
		}
		switch decision {
		case organisation.Accept:
			return nil
		case organisation.Reject:
			if x.route == nil {
				return api.Errorf(api.CodeNotFound, "no route of host %q matches path %q in configuration %d", x.call.Host, path, config.Version)
			}
			return api.Errorf(api.CodeUnauthorized, "the key is missing or not in configuration %d", config.Version)
		case organisation.Unsure:
			return api.Errorf(api.CodeStaleConfig, "configuration %d may be outdated and could not be checked", config.Version)
		case organisation.Confirm:
			if err := x.awaitConfirmation(ctx); err != nil {
				return err
			}
		}
	}
}

// confirmOrganisation returns nil if the configuration at the arrival of the call or later gives the caller's key to the same
// organisation. The name of an organisation may change, and then what it has stored under the new name seems to be another one's.
func (x *exchange) confirmOrganisation(ctx context.Context) error {
	if err := x.awaitConfirmation(ctx); err != nil {
		return err
	}
	confirmed := x.g.keys.knowledge.IsConfirmedSince(x.call.Arrived)
	config := x.g.directory.View().Config
	current := config.OrganisationOfKey(x.call.Key)
	if same := (current == nil) == (x.organisation == nil) && (current == nil || current.Name == x.organisation.Name); !confirmed || !same {
		return api.Errorf(api.CodeStaleConfig, "configuration %d may give the key to another organisation", x.config.Version)
	}
	return nil
}

// awaitConfirmation waits until the configuration is confirmed for the arrival of the call, or cannot be confirmed in time. The
// error means that the caller disconnected.
func (x *exchange) awaitConfirmation(ctx context.Context) error {
	limit := time.Duration(float64(time.Until(x.call.Deadline(0))) * checkShare)
	err := x.g.keys.asks.AwaitCall(ctx, x.call.Arrived, limit)
	waited := time.Since(x.call.Arrived)
	x.g.keys.waits.Update(waited.Seconds())
	if err != nil && ctx.Err() != nil {
		return &callerGoneError{ctx.Err()}
	}
	if err != nil {
		x.g.log.Debug("configuration not confirmed for a call", "request", x.call.ID, "waited_ms", waited.Milliseconds(), "error", err)
	}
	return nil
}

// countByOrganisation counts the outcome of the call for its organisation, where keys are in use.
func (x *exchange) countByOrganisation(result string) {
	if config := x.config; config != nil && config.RequiresKeys() {
		x.g.keys.calls.Inc(x.organisationName(), result)
	}
}

// organisationName returns the name of the caller's organisation, or an empty string if there is none.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}
