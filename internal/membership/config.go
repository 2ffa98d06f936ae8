package membership

import (
	"fmt"
	"time"
)

// Config holds the parameters of a Node. All nodes of a fleet use the same.
type Config struct {
	Interval       time.Duration // Time between two rounds of probes.
	ProbeTimeout   time.Duration // Wait for an answer before relays are asked.
	RelayTimeout   time.Duration // Further wait for an answer through relays.
	SuspicionTime  time.Duration // Silence after the first failed probe before death is asserted.
	StallTime      time.Duration // A longer gap between two ticks means that this process was paused.
	ConfirmEvery   time.Duration // Time between two confirmations of the watched backend servers.
	LoadEvery      time.Duration // Least time between two loads published of one backend server.
	CrossEvery     time.Duration // Mean time between two probes of other regions by one entry.
	RetryDeadEvery time.Duration // Mean time between two probes of dead entries by one entry.
	SilentAfter    time.Duration // A region not heard of for this long is unreachable.
	StartGrace     time.Duration // After its start an entry takes listed entries for alive that it has not heard yet.
	ForgetAfter    time.Duration // Dead or unlisted entries are dropped after this long.

	FullMesh  int // Up to this many entries in the region every entry probes every other and watches every backend server.
	Fanout    int // Entries probed in a round beyond FullMesh.
	Relays    int // Entries asked to repeat a failed probe.
	Asserters int // Entries that must assert a death, when that many are alive.
	Watchers  int // Entries that watch one backend server beyond FullMesh.
	MaxPacket int // Bound on a packet, in bytes.
}

// minMaxPacket is the least Config.MaxPacket: room for a header and the largest fact.
const minMaxPacket = 512

// DefaultConfig returns the parameters for a fleet of any size.
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

// Validate reports the first parameter out of its range.
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
			return fmt.Errorf("%s is %s, it must be above 0", d.name, d.value)
		}
	}
	if c.Fanout < 1 || c.Relays < 0 || c.Asserters < 1 || c.Watchers < 1 {
		return fmt.Errorf("fanout %d, asserters %d and watchers %d must be at least 1, relays %d at least 0",
			c.Fanout, c.Asserters, c.Watchers, c.Relays)
	}
	if c.MaxPacket < minMaxPacket {
		return fmt.Errorf("packets of %d bytes are too small, at least %d are needed", c.MaxPacket, minMaxPacket)
	}
	return nil
}
