package membership

import "context"

// Transport sends packets to other entries. Packets may be lost: the protocol sends again what was not received.
type Transport interface {
	Send(ctx context.Context, p Packet)
}
