package integration

import (
	"context"
	"fmt"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/ports"
)

// submitAndWait submits a change of the current configuration and waits until every entry uses the result. It returns the
// new revision.
func (c *cluster) submitAndWait(change func(*policy.Config)) uint64 {
	c.t.Helper()
	revision := c.submitConfig(change)
	c.waitRevision(revision)
	return revision
}

// submitConfig submits a change of the current configuration, or of the default one if there is none, and returns the new
// revision.
func (c *cluster) submitConfig(change func(*policy.Config)) uint64 {
	c.t.Helper()
	kv, err := ports.NewKV([]string{c.kvAddress}, ports.KVOptions{})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	store := policy.NewStore(kv, time.Now)
	head, err := store.Head(ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	config := policy.Default()
	if head.Revision > 0 {
		snapshot, err := store.Get(ctx, head.Revision)
		if err != nil {
			c.t.Fatal(err)
		}
		config = snapshot.Config
	}
	change(config)
	entry, err := store.Submit(ctx, policy.Submission{
		Config: config, Base: head.Revision, Author: "test", Reason: c.t.Name(), IdempotencyKey: fmt.Sprintf("submission-%d", time.Now().UnixNano()),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return entry.Revision
}

// waitRevision waits until every entry uses the revision or a later one.
func (c *cluster) waitRevision(revision uint64) {
	c.t.Helper()
	for _, e := range c.entries {
		eventually(c.t, 17*time.Second, e.id+" uses the revision", func() bool {
			return sumMetric(c.t, e.operatorAddress, "redwinggauge_config_revision") >= float64(revision)
		})
	}
}

// changeClass changes the class with the name in the configuration.
func changeClass(config *policy.Config, name string, change func(*policy.Class)) {
	for i := range config.Classes {
		if config.Classes[i].Name == name {
			change(&config.Classes[i])
		}
	}
}
