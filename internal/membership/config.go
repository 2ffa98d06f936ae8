package membership

import (
	"fmt"
	"time"
)

// Config holds the parameters of a Node. All nodes of a fleet must use the same values.
type Config struct {
	Interval       time.Duration // Time between two rounds of probes.
	ProbeTimeout   time.Duration // Time to wait for an answer before relays are asked to ping the target.
	RelayTimeout   time.Duration // Additional time to wait for an answer through relays.
	SuspicionTime  time.Duration // Time from the start of a suspicion until this entry asserts the death.
	StallTime      time.Duration // A longer interval between two calls of Tick means that this process was paused.
	ConfirmEvery   time.Duration // Time between two publications of which watched backend servers have answered.
	LoadEvery      time.Duration // Minimum time between two publications of the load of one backend server.
	CrossEvery     time.Duration // Mean time between two probes that one entry sends to other regions.
	RetryDeadEvery time.Duration // Mean time between two probes that one entry sends to dead entries.
	SilentAfter    time.Duration // A region counts as unreachable after this time without contact.
	StartGrace     time.Duration // Time after the start during which listed entries without known facts may be watchers.
	ForgetAfter    time.Duration // Unlisted entries that are dead or have no known run are removed after this time.

	// FullMesh is the largest number of live entries in a region with which each entry probes all others in every round
	// and watches every backend server. Package entry compares it with the number of listed entries of all regions: up to
	// FullMesh, entries exchange their states directly and do not need the protocol.
	FullMesh  int
	Fanout    int // Entries probed in a round if the region has more than FullMesh.
	Relays    int // Entries asked to ping the target of an unanswered probe.
	Asserters int // Live entries that must assert a death. All unaccused entries of the region suffice if they are fewer.
	Watchers  int // Entries that watch one backend server if the region has more than FullMesh.
	MaxPacket int // Maximum size of a packet in bytes.
}

// minMaxPacket is the minimum of Config.MaxPacket. It has space for a header and the largest fact.
const minMaxPacket = 512

// DefaultConfig returns parameters that suit fleets of any size.
func DefaultConfig() Config {
	return Config{
		Interval:       500 * time.Millisecond,
		ProbeTimeout:   200 * time.Millisecond,
		RelayTimeout:   300 * time.Millisecond,
		SuspicionTime:  time.Second,
		StallTime:      time.Second,
		ConfirmEvery:   time.Second,
		LoadEvery:      2 * time.Second,
		CrossEvery:     8 * time.Second,
		RetryDeadEvery: 4 * time.Second,
		SilentAfter:    15 * time.Second,
		StartGrace:     3 * time.Second,
		ForgetAfter:    2 * time.Minute,
		FullMesh:       10,
		Fanout:         2,
		Relays:         3,
		Asserters:      2,
		Watchers:       2,
		MaxPacket:      1400,
	}
}

// Validate returns an error for the first parameter that is out of range.
func (c *Config) Validate() error {
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"Interval", c.Interval},
		{"ProbeTimeout", c.ProbeTimeout},
		{"RelayTimeout", c.RelayTimeout},
		{"SuspicionTime", c.SuspicionTime},
		{"StallTime", c.StallTime},
		{"ConfirmEvery", c.ConfirmEvery},
		{"LoadEvery", c.LoadEvery},
		{"CrossEvery", c.CrossEvery},
		{"RetryDeadEvery", c.RetryDeadEvery},
		{"SilentAfter", c.SilentAfter},
		{"StartGrace", c.StartGrace},
		{"ForgetAfter", c.ForgetAfter},
	} {
		if d.value <= 0 {
			return fmt.Errorf("%s is %s, but must be greater than 0", d.name, d.value)
		}
	}
	if c.Fanout < 1 || c.Relays < 0 || c.Asserters < 1 || c.Watchers < 1 {
		return fmt.Errorf("fanout %d, asserters %d and watchers %d must be at least 1, and relays %d at least 0",
			c.Fanout, c.Asserters, c.Watchers, c.Relays)
	}
	if c.MaxPacket < minMaxPacket {
		return fmt.Errorf("MaxPacket is %d bytes, but must be at least %d", c.MaxPacket, minMaxPacket)
	}
	return nil
}
