package gateway

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// Settings configure a gateway. The suffix of a setting's key is the unit of its value.
type Settings struct {
	ID            string  `yaml:"id" validate:"required"`
	FailureDomain string  `yaml:"failure_domain" validate:"required"`
	Callers       string  `yaml:"callers" validate:"required,hostname_port"`  // Address for callers.
	Ready         string  `yaml:"ready" validate:"required,hostname_port"`    // Address for readiness checks.
	Peers         string  `yaml:"peers" validate:"required,hostname_port"`    // Address for other gateways.
	Capacity      float64 `yaml:"capacity" validate:"min=0"`                  // Share of a CPU core that the process has.
	Metrics       string  `yaml:"metrics" validate:"omitempty,hostname_port"` // Address for metrics; empty: none are served.
	Store         string  `yaml:"store" validate:"required,hostname_port"`    // Address of the key-value service.

	MemoryMB     int     `yaml:"memory_mb" validate:"min=0"`        // Memory limit of the process; 0 means none.
	GraceS       float64 `yaml:"grace_s" validate:"min=0"`          // From SIGTERM to SIGKILL.
	CommitWindow int     `yaml:"commit_window_ms" validate:"min=0"` // Time for which the first write of a batch waits for further ones.

	// DrainMS is the time for which a server that has announced that it leaves may get calls if its service has no other server. A part
	// of it, resumeShare, is the time for which a stream may go on at its server, if that drains by the list.
	DrainMS float64 `yaml:"drain_ms" validate:"min=0"`
	// StrictRevocation refuses all keys while the configuration has not been confirmed for RevocationMS.
	StrictRevocation bool `yaml:"strict_revocation"`
	RevocationMS     int  `yaml:"revocation_ms" validate:"min=0"`
	// How far the calls of an organisation may exceed its quota in a sliding window: by a share of the quota and a number of calls.
	QuotaWindowS float64 `yaml:"quota_window_s" validate:"gt=0"`
	QuotaExcess  float64 `yaml:"quota_excess" validate:"min=0"`
	QuotaExtra   float64 `yaml:"quota_extra" validate:"min=0"`

	// LearnSpeeds makes placing tell servers apart by their speed, and by their failures for callers of one failure domain.
	LearnSpeeds bool `yaml:"learn_speeds"`
	// DomainTrafficPriceMS is the cost of a call between failure domains, as a delay in milliseconds. If it is given, the load
	// decides which calls leave their failure domain; otherwise a constant cost of 1.5 ms applies. More than 1.5 ms count only while
	// the domain has room.
	DomainTrafficPriceMS *float64 `yaml:"domain_traffic_price_ms" validate:"omitempty,gt=0"`

	Log settings.Log `yaml:"log"`
}

// DefaultSettings returns the settings that apply where the settings file gives no value.
func DefaultSettings() Settings {
	return Settings{
		GraceS: 8, CommitWindow: 25, DrainMS: 2000, RevocationMS: 5000, QuotaWindowS: 5, QuotaExcess: 0.1, QuotaExtra: 20,
		Log: settings.Log{Format: "json"},
	}
}

// drainTime returns how long a gateway serves calls after SIGTERM: the time until SIGKILL less a margin for sending the last
// answers.
func (s *Settings) drainTime() time.Duration {
	return time.Duration((s.GraceS - drainMarginS) * float64(time.Second))
}

// drainMarginS is the time, in seconds before SIGKILL, that is left for sending the last answers.
const drainMarginS = 0.4
