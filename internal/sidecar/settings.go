package sidecar

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/schedule"
	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// Kinds of backend servers.
const (
	KindEngine  = "engine"  // A model engine.
	KindService = "service" // A plain service.
)

// Settings configures a sidecar.
type Settings struct {
	Name          string `yaml:"name" validate:"required"`            // Unique name, which entries know it by.
	Listen        string `yaml:"listen" validate:"required,tcp_addr"` // Address for entries, host:port; port 0 picks one.
	FailureDomain string `yaml:"failure_domain"`
	Kind          string `yaml:"kind" validate:"required,oneof=engine service"`
	Backend       string `yaml:"backend" validate:"required,hostname_port"` // Address of the backend server.
	Slots         int    `yaml:"slots" validate:"min=1,max=4096"`           // Calls handed to the backend server at a time.
	Queue         int    `yaml:"queue" validate:"min=1,max=100000"`         // Calls that may wait for a slot.
	QueuePolicy   string `yaml:"queue_policy" validate:"oneof=least-attained fifo priority"`
	RefuseEarly   bool   `yaml:"refuse_early"` // Whether an engine's calls are refused when they would wait too long.
	Token         string `yaml:"token"`        // Token of the internal interface; empty admits all.

	ProbeInterval  time.Duration `yaml:"probe_interval" validate:"min=10ms"`
	EngineSilence  time.Duration `yaml:"engine_silence" validate:"min=100ms"`  // Longest silence of the engine within an answer.
	ServiceTimeout time.Duration `yaml:"service_timeout" validate:"min=100ms"` // Limit on service calls that name none.
	DrainTimeout   time.Duration `yaml:"drain_timeout" validate:"min=0"`       // Limit on finishing calls under way.
	LingerTimeout  time.Duration `yaml:"linger_timeout" validate:"min=0"`      // Limit on waiting until every answer was read.
	OrphanGrace    time.Duration `yaml:"orphan_grace" validate:"min=0"`        // Lease of cached programs found after a restart.

	LedgerCalls  int           `yaml:"ledger_calls" validate:"min=100"`
	LedgerBytes  int64         `yaml:"ledger_bytes" validate:"min=65536"`
	HistoryBytes int64         `yaml:"history_bytes" validate:"min=0"`  // Texts of the programs whose prefix is held.
	KeepCalls    time.Duration `yaml:"keep_calls" validate:"min=1s"`    // Ended idempotent calls.
	KeepOutcomes time.Duration `yaml:"keep_outcomes" validate:"min=1s"` // Outcomes of non-idempotent calls.
	MaxBodyBytes int           `yaml:"max_body_bytes" validate:"min=1024"`
	Log          settings.Log  `yaml:"log"`
}

// Default returns the settings that a file need not name.
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
