package gateway

import (
	"sync"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/fleet"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// The hub counts the calls of plain services that all gateways have sent: those that ran and those that servers rejected for lack of
// capacity. While a service is short of capacity, organisations that have had their share of its calls get permits only for started
// programs.

// serviceShares divides the calls of plain services between organisations. It is safe for concurrent use.
type serviceShares struct {
	mu     sync.Mutex
	shares schedule.ServiceShares // Guarded by mu.
	config *fleet.Config          // Guarded by mu. The configuration whose organisations shares knows.
}

// addOutcomes counts the calls at servers of plain services that a gateway has reported. It does nothing if no keys are in use.
func (s *serviceShares) addOutcomes(view *fleet.View, list []peers.ServerOutcomes) {
	if view.Config == nil || !view.Config.RequiresKeys() || len(list) == 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range list {
		server := view.Server(o.Server)
		if server == nil {
			continue
		}
		if service, known := view.Config.Services[server.Service]; known && service.Engine == nil {
			s.shares.AddOutcomes(now, service.Name, o.Served+o.Failed, o.Rejected)
		}
	}
}

// ask decides whether a call of the organisation may use the service.
func (s *serviceShares) ask(config *fleet.Config, organisation, service string, started bool) schedule.ShareDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure(config)
	return s.shares.Ask(time.Now(), organisation, service, started)
}

// askProgram decides whether a new program of the organisation may begin, and returns the service for which it may not.
func (s *serviceShares) askProgram(config *fleet.Config, organisation string) (service string, d schedule.ShareDecision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure(config)
	return s.shares.AskProgram(time.Now(), organisation)
}

// configure makes the shares those of the configuration. The caller holds mu.
func (s *serviceShares) configure(config *fleet.Config) {
	if s.config != config {
		s.shares.Configure(config.OrganisationRates())
		s.config = config
	}
}

// mayUseRoute decides at the hub whether a call of the organisation may use the plain services of the route, which may be short of
// capacity. started means that the call's program has started; a program that begins at an engine may need any plain service later.
// If the call may not go on, it is to be refused with api.CodeShare and may return after retryAfter. It counts the call, so it must
// be asked once for each call that asks for a permit.
func (g *Gateway) mayUseRoute(program, organisation, route string, started bool) (granted bool, retryAfter time.Duration) {
	config := g.directory.View().Config
	if config == nil || !config.RequiresKeys() {
		return true, 0
	}
	granted, plain := false, false
	for _, target := range config.TargetsOf(route) {
		service, known := config.Services[target.Service]
		if !known || service.Engine != nil || target.Weight <= 0 {
			continue
		}
		plain = true
		d := g.serviceShares.ask(config, organisation, target.Service, started)
		if d.Changed {
			g.log.Info("shortage of service", "service", target.Service, "short", d.Short, "rejected_share", d.Rejected)
		}
		granted = granted || d.Granted
		if !d.Granted {
			retryAfter = max(retryAfter, d.RetryAfter)
			g.logBeyondShare(program, organisation, route, target.Service, d)
		}
	}
	if !plain && !started {
		service, d := g.serviceShares.askProgram(config, organisation)
		if granted = d.Granted; !granted {
			retryAfter = d.RetryAfter
			g.logBeyondShare(program, organisation, route, service, d)
		}
	}
	if granted || !plain && started {
		return true, 0
	}
	g.metrics.shareRefusals.Inc()
	return false, retryAfter
}

// logBeyondShare logs the refusal of a call whose organisation has had its share of a plain service.
func (g *Gateway) logBeyondShare(program, organisation, route, service string, d schedule.ShareDecision) {
	g.log.Info("call beyond share of service", "program", program, "organisation", organisation, "route", route, "service", service,
		"calls", d.Calls, "allowed", d.Allowed, "rejected_share", d.Rejected, "retry_after_ms", d.RetryAfter.Milliseconds())
}
