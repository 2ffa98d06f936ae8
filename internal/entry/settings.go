// Package entry is the process that serves callers and operators, owns journals and through them programs.
package entry

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// Settings of an entry. Times are in milliseconds.
type Settings struct {
	ID               string             `yaml:"id" validate:"required"`
	Region           string             `yaml:"region" validate:"required"`
	FailureDomain    string             `yaml:"failure_domain" validate:"required"`
	Listen           string             `yaml:"listen" validate:"required,hostname_port"`          // Callers.
	OperatorListen   string             `yaml:"operator_listen" validate:"required,hostname_port"` // Operators.
	InternalListen   string             `yaml:"internal_listen" validate:"required,hostname_port"` // Other processes.
	Advertise        string             `yaml:"advertise"`                                         // Internal address told to others; empty: InternalListen.
	Token            string             `yaml:"token"`
	KV               []string           `yaml:"kv" validate:"required,min=1,dive,hostname_port"`
	Membership       string             `yaml:"membership" validate:"required,hostname_port"`
	Journals         int                `yaml:"journals" validate:"min=1,max=4096"`
	RingSlots        int                `yaml:"ring_slots" validate:"min=8,max=65536"`
	KVWritesPerSec   float64            `yaml:"kv_writes_per_second" validate:"gt=0"` // Of all entries together; each takes the share of the journals that it owns.
	KVWriteTimeoutMS int64              `yaml:"kv_write_timeout_ms" validate:"min=10"`
	CommitWaitMS     int64              `yaml:"commit_wait_ms" validate:"min=100"` // Longest wait for a commit before a call is refused.
	OrderWaitMS      int64              `yaml:"order_wait_ms" validate:"min=100"`  // Longest wait for earlier calls of a program.
	CallTimeoutMS    int64              `yaml:"call_timeout_ms" validate:"min=1000"`
	HeartbeatMS      int64              `yaml:"heartbeat_ms" validate:"min=10"`
	DeadAfterMS      int64              `yaml:"dead_after_ms" validate:"min=100"`
	DrainMS          int64              `yaml:"drain_ms" validate:"min=0"`
	HoldMS           int64              `yaml:"hold_ms" validate:"min=0"`          // Default hold of a program's prefix between calls.
	Holds            string             `yaml:"holds" validate:"oneof=fixed cost"` // How the hold between two calls is decided.
	HistoryBytes     int                `yaml:"history_bytes" validate:"min=0"`    // Histories kept in memory; older parts are read back when needed.
	MaxBodyBytes     int                `yaml:"max_body_bytes" validate:"min=1024,max=786432"`
	MaxConns         int                `yaml:"max_conns" validate:"min=16"`
	Operators        []httpapi.Operator `yaml:"operators" validate:"dive"`                                  // Who may use the operators\' port; empty admits nobody.
	Policy           string             `yaml:"policy" validate:"oneof=cache-aware least-load round-robin"` // Routing policy.
	Log              settings.Log       `yaml:"log"`
}

// DefaultSettings returns the values of fields that a settings file may leave out.
func DefaultSettings() Settings {
	return Settings{
		Journals:         4,
		RingSlots:        256,
		KVWritesPerSec:   150,
		KVWriteTimeoutMS: 500,
		CommitWaitMS:     10_000,
		OrderWaitMS:      30_000,
		CallTimeoutMS:    900_000,
		HeartbeatMS:      500,
		DeadAfterMS:      2_000,
		DrainMS:          30_000,
		HoldMS:           30_000,
		Holds:            holdsFixed,
		HistoryBytes:     256 << 20,
		MaxBodyBytes:     512 << 10,
		MaxConns:         16 << 10,
		Policy:           "cache-aware",
	}
}

// Ways to decide how long a program's prefix is held between two calls.
const (
	holdsFixed  = "fixed" // For HoldMS.
	holdsByCost = "cost"  // By the cost of computing it again against the observed pauses of the tool.
)

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
