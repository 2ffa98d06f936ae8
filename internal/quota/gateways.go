package quota

// GatewayCount keeps the number of gateways among which a quota is divided while there is no hub. The zero value has counted none.
type GatewayCount struct{ counted int }

// Update returns the number of gateways. known is the number that the process knows now; connected says that the process follows
// the hub, or that most gateways follow it as the hub. A process that is cut off forgets the other gateways after a time although
// they still run: without the hub the number therefore never falls, or the parts of all gateways would add up to more than the
// quota.
func (c *GatewayCount) Update(known int, connected bool) int {
	if connected || known > c.counted {
		c.counted = known
	}
	return c.counted
}
