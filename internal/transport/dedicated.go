package transport

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// DedicatedStream is like Stream, but opens a connection for this request alone and closes it when ctx ends, even during
// a read. idleTimeout is the longest time that a read may wait for data from the peer.
func (c *Client) DedicatedStream(ctx context.Context, method, address, path string, in any, idleTimeout time.Duration) (*Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s := &Stream{req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), maxBodyBytes: c.maxBodyBytes}
	if err := c.buildRequest(s.req, method, address, path, in, nil); err != nil {
		s.release()
		return nil, err
	}
	s.resp.StreamBody = true
	s.req.SetConnectionClose()
	dial := newDial(c.connectTimeout, idleTimeout, c.onBrokenAnswer)
	host := &fasthttp.HostClient{
		Addr:                      address,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		ReadBufferSize:            clientReadBufferBytes,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := dial(addr)
			if err == nil {
				s.stopContextWatch = closeOnDone(ctx, conn)
			}
			return conn, err
		},
	}
	if err := host.Do(s.req, s.resp); err != nil {
		s.release()
		return nil, fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	return s.checkStatus()
}
