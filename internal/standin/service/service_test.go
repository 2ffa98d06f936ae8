package service_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/standin/service"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

func TestEffectsAreCountedByKey(t *testing.T) {
	is := is.New(t)
	server, err := service.Start(service.Options{Listen: "127.0.0.1:0"})
	is.NoErr(err)
	defer server.Close()
	client := transport.NewClient(transport.ClientOptions{})
	file := func(key string) (service.Echo, error) {
		var out service.Echo
		err := client.JSON(context.Background(), "POST", server.Address(), "/revisions/7", map[string]int{"n": 1}, &out,
			transport.Header{Name: "X-Call-Id", Value: key})
		return out, err
	}

	got, err := file("p/1")
	is.NoErr(err)
	is.Equal(got, service.Echo{Effect: 1, Path: "/revisions/7", Body: json.RawMessage(`{"n":1}`)})
	server.SetFaults(service.Faults{LoseAnswers: 1})
	_, err = file("p/2")
	is.True(err != nil)
	is.True(!transport.IsNotSent(err))
	got, err = file("p/2")
	is.NoErr(err)
	is.Equal(got.Effect, 2) // the request without a response took effect
	server.SetFaults(service.Faults{FailNext: 1})
	_, err = file("p/3")
	is.True(err != nil)

	var stats service.Stats
	is.NoErr(client.JSON(context.Background(), "GET", server.Address(), "/stats", nil, &stats))
	is.Equal(stats.Requests, 4)
	is.Equal(stats.Effects, map[string]int{"p/1": 1, "p/2": 2})
	is.Equal(len(stats.Bodies), 1)
}

// Each request has a connection of its own: the server closes those that are idle, at a time of its choice.
func TestHangingPathAndClosedIdleConnections(t *testing.T) {
	is := is.New(t)
	server, err := service.Start(service.Options{Listen: "127.0.0.1:0"})
	is.NoErr(err)
	defer server.Close()
	server.SetFaults(service.Faults{HangMS: 60000, HangPaths: []string{"/slow"}, CloseIdle: true})

	conn, err := net.Dial("tcp", server.Address())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /fast HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.True(!response.Close) // the server does not announce that it closes the connection
	_, err = reader.ReadByte()
	is.True(err != nil) // the idle connection is closed

	hung := make(chan error, 1)
	client := transport.NewClient(transport.ClientOptions{})
	go func() { hung <- client.JSON(context.Background(), "POST", server.Address(), "/slow", nil, nil) }()
	for server.Stats().Effects["/slow"] == 0 {
		select {
		case err := <-hung:
			t.Fatalf("request to the hanging path returned: %v", err)
		default:
		}
	}
	is.NoErr(server.Close())
	is.True(<-hung != nil)
}
