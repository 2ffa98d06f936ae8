package sidecar

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// Kinds of backend servers.
const (
	KindEngine  = "engine"  // A model engine.
	KindService = "service" // A plain HTTP service.
)

// Settings configures a sidecar.
type Settings struct {
	Name          string `yaml:"name" validate:"required"`            // Unique name under which entries know the sidecar.
	Listen        string `yaml:"listen" validate:"required,tcp_addr"` // Address to listen on for entries, host:port; port 0 selects a free one.
	FailureDomain string `yaml:"failure_domain"`
	Kind          string `yaml:"kind" validate:"required,oneof=engine service"`
	Backend       string `yaml:"backend" validate:"required,hostname_port"` // Address of the backend server, host:port.
	Slots         int    `yaml:"slots" validate:"min=1,max=4096"`           // Maximum number of calls running on the backend server.
	Queue         int    `yaml:"queue" validate:"min=1,max=100000"`         // Maximum number of calls that wait for a slot.
	QueuePolicy   string `yaml:"queue_policy" validate:"oneof=least-attained fifo priority"`
	RefuseEarly   bool   `yaml:"refuse_early"` // Refuse a call to an engine if its estimated wait is too long.
	Token         string `yaml:"token"`        // Token required on the internal interface; empty for none.

	ProbeInterval  time.Duration `yaml:"probe_interval" validate:"min=10ms"`
	EngineSilence  time.Duration `yaml:"engine_silence" validate:"min=100ms"`  // Maximum time without data from the engine within an answer.
	ServiceTimeout time.Duration `yaml:"service_timeout" validate:"min=100ms"` // Timeout of service calls that specify none.
	DrainTimeout   time.Duration `yaml:"drain_timeout" validate:"min=0"`       // How long a drain waits for unfinished calls.
	LingerTimeout  time.Duration `yaml:"linger_timeout" validate:"min=0"`      // How long a drain then waits until all answers have been read.
	OrphanGrace    time.Duration `yaml:"orphan_grace" validate:"min=0"`        // Lease of cached programs that are found after a restart.

	LedgerCalls  int           `yaml:"ledger_calls" validate:"min=100"`   // Maximum number of recorded calls.
	LedgerBytes  int64         `yaml:"ledger_bytes" validate:"min=65536"` // Maximum memory of ended calls, in bytes.
	HistoryBytes int64         `yaml:"history_bytes" validate:"min=0"`    // Maximum memory of the programs' histories, in bytes.
	KeepCalls    time.Duration `yaml:"keep_calls" validate:"min=1s"`      // Maximum retention of ended idempotent calls.
	KeepOutcomes time.Duration `yaml:"keep_outcomes" validate:"min=1s"`   // Minimum retention of outcomes of non-idempotent calls.
	MaxBodyBytes int           `yaml:"max_body_bytes" validate:"min=1024"`
	Log          settings.Log  `yaml:"log"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Slots:          32,
		Queue:          512,
		QueuePolicy:    schedule.QueueLeastAttained,
		RefuseEarly:    true,
		ProbeInterval:  500 * time.Millisecond,
		EngineSilence:  15 * time.Second,
		ServiceTimeout: 5 * time.Minute,
		DrainTimeout:   2 * time.Minute,
		LingerTimeout:  5 * time.Second,
		OrphanGrace:    10 * time.Second,
		LedgerCalls:    65536,
		LedgerBytes:    16 << 20,
		HistoryBytes:   16 << 20,
		KeepCalls:      10 * time.Minute,
		KeepOutcomes:   time.Hour,
		MaxBodyBytes:   16 << 20,
	}
}
