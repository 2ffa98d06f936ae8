package membership

import "context"

// Transport sends packets to other entries. A lost packet is no error: the protocol repeats what matters.
type Transport interface {
	Send(ctx context.Context, p Packet)
}
