// Package entry implements the entry process. An entry serves callers and operators. Each journal has one entry as its
// owner, which runs the calls of the programs recorded in it.
package entry

import (
	"time"

	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
	"github.com/redwinggauge/redwinggauge/internal/settings"
)

// Settings are the settings of an entry process, read from its settings file. Times are in milliseconds.
type Settings struct {
	ID               string             `yaml:"id" validate:"required"`
	Region           string             `yaml:"region" validate:"required"`
	FailureDomain    string             `yaml:"failure_domain" validate:"required"`
	Listen           string             `yaml:"listen" validate:"required,hostname_port"`          // Port for callers.
	OperatorListen   string             `yaml:"operator_listen" validate:"required,hostname_port"` // Port for operators.
	InternalListen   string             `yaml:"internal_listen" validate:"required,hostname_port"` // Port for other processes of the system.
	Advertise        string             `yaml:"advertise"`                                         // Internal address announced to other processes; empty: the address bound for InternalListen.
	Token            string             `yaml:"token"`
	KV               []string           `yaml:"kv" validate:"required,min=1,dive,hostname_port"`
	Membership       string             `yaml:"membership" validate:"required,hostname_port"`
	Journals         int                `yaml:"journals" validate:"min=1,max=4096"`
	RingSlots        int                `yaml:"ring_slots" validate:"min=8,max=65536"`
	KVWritesPerSec   float64            `yaml:"kv_writes_per_second" validate:"gt=0"` // Write rate of all entries together; each entry uses a share proportional to the journals it owns.
	KVWriteTimeoutMS int64              `yaml:"kv_write_timeout_ms" validate:"min=10"`
	CommitWaitMS     int64              `yaml:"commit_wait_ms" validate:"min=100"` // Longest wait for a commit before a call is refused.
	OrderWaitMS      int64              `yaml:"order_wait_ms" validate:"min=100"`  // Longest wait for earlier calls of a program, or for a journal to get an owner.
	CallTimeoutMS    int64              `yaml:"call_timeout_ms" validate:"min=1000"`
	HeartbeatMS      int64              `yaml:"heartbeat_ms" validate:"min=10"`
	DeadAfterMS      int64              `yaml:"dead_after_ms" validate:"min=100"`
	DrainMS          int64              `yaml:"drain_ms" validate:"min=0"`
	HoldMS           int64              `yaml:"hold_ms" validate:"min=0"`          // Default time for which a program's cached prefix is held between calls.
	Holds            string             `yaml:"holds" validate:"oneof=fixed cost"` // How the hold time between two calls is decided.
	HistoryBytes     int                `yaml:"history_bytes" validate:"min=0"`    // Memory for program histories; evicted parts are read from the journal again when needed.
	MaxBodyBytes     int                `yaml:"max_body_bytes" validate:"min=1024,max=786432"`
	MaxConns         int                `yaml:"max_conns" validate:"min=16"`
	Operators        []httpapi.Operator `yaml:"operators" validate:"dive"`                                  // Who may use the operators' port; empty: no one.
	Policy           string             `yaml:"policy" validate:"oneof=cache-aware least-load round-robin"` // Routing policy.
	Log              settings.Log       `yaml:"log"`
}

// DefaultSettings returns the defaults of the settings that a settings file may omit.
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

// Values of Settings.Holds: ways to choose how long a program's cached prefix is held between two calls.
const (
	holdsFixed  = "fixed" // Always HoldMS.
	holdsByCost = "cost"  // Weighs the cost of recomputing the prefix against the observed pauses of the tool that the program waits for.
)

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
