package quota

// GatewayCount keeps the number of gateways among which a quota is divided. The zero value has counted none.
type GatewayCount struct{ counted int }

// Update returns the number of gateways. known is the number that the process knows now, following the number of those that follow
// the same hub as the process. A process that is cut off forgets the other gateways after a time although they still run: unless
// most of those counted before follow its hub the number therefore never falls, or the parts of all gateways would add up to more
// than the quota.
func (c *GatewayCount) Update(known, following int) int {
	if known > c.counted || 2*following > c.counted {
		c.counted = known
	}
	return c.counted
}
