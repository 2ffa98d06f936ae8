package transport_test

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/transport"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

// Guards against an upload that its client cut short and that is handled as a whole one.
func TestUploadThatIsCutIsNotHandled(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int64
	server, err := transport.Listen("127.0.0.1:0", func(*fasthttp.RequestCtx) { handled.Add(1) }, transport.ServerOptions{})
	is.NoErr(err)
	for _, upload := range rawanswers.CutUploads() {
		conn, err := net.Dial("tcp", server.Address())
		is.NoErr(err)
		defer conn.Close()
		upload.Send(conn.(*net.TCPConn), "POST / HTTP/1.1\r\nHost: h\r\n")
	}
	is.NoErr(transport.NewClient(transport.ClientOptions{}).JSON(t.Context(), "POST", server.Address(), "/", struct{}{}, nil))
	is.NoErr(server.Shutdown(t.Context())) // All requests that have arrived are over.
	is.Equal(handled.Load(), int64(1))
}
