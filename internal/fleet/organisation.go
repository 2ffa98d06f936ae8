package fleet

import "crypto/sha256"

// Organisation is a customer whose callers present one of its keys.
type Organisation struct {
	Name          string
	Priority      int     // 0 is the highest. It goes before the route's priority.
	RatePerSecond float64 // Quota of calls; 0 means that there is none.
	Burst         float64 // Calls beyond RatePerSecond that may be sent at once.
}

// HasQuota reports whether the number of the organisation's calls is limited.
func (o *Organisation) HasQuota() bool { return o.RatePerSecond > 0 }

// keyDigest is the SHA-256 of a key. Keys are compared by their digests, so that the time of a lookup tells nothing about them.
type keyDigest [sha256.Size]byte

// AddOrganisations adds organisations with their keys to a configuration that is not in use yet. keys has the keys of each
// organisation in the same order. A configuration to which an empty list is added still requires keys.
func (c *Config) AddOrganisations(organisations []Organisation, keys [][]string) {
	c.Organisations = organisations
	c.byKey = make(map[keyDigest]*Organisation)
	for i := range organisations {
		for _, key := range keys[i] {
			c.byKey[sha256.Sum256([]byte(key))] = &organisations[i]
		}
	}
}

// OrganisationRates returns the rate of each organisation's quota, 0 if it has none. It returns nil if no keys are in use.
func (c *Config) OrganisationRates() map[string]float64 {
	if !c.RequiresKeys() {
		return nil
	}
	rates := make(map[string]float64, len(c.Organisations))
	for i := range c.Organisations {
		rates[c.Organisations[i].Name] = c.Organisations[i].RatePerSecond
	}
	return rates
}

// TargetsOf returns the targets of the route with the name, or nil.
func (c *Config) TargetsOf(route string) []Target {
	for i := range c.Routes {
		if c.Routes[i].Name == route {
			return c.Routes[i].Targets
		}
	}
	return nil
}

// RequiresKeys reports whether calls must carry a key, except on public routes.
func (c *Config) RequiresKeys() bool { return c.byKey != nil }

// OrganisationOfKey returns the organisation that holds the key, or nil.
func (c *Config) OrganisationOfKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return c.byKey[sha256.Sum256([]byte(key))]
}
