package peers_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/peers"
	"github.com/redwinggauge/redwinggauge/internal/ports"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

// Guards against a permit, a place, a write or a configuration that is taken from an answer of another gateway that is none.
func TestBrokenAnswerOfAGatewayIsNone(t *testing.T) {
	const body = `{"permits":[{"g":true}],"revision":7,"item":{"Key":"k","Revision":7},"page":{"Revision":7},"server":"s","tokens":5}`
	var answer rawanswers.Answer
	address := rawanswers.Serve(t, func() string { return answer.Bytes("Connection: close\r\n", body) })
	to := peers.Member{ID: "other", Address: address}
	broken := 0
	c := peers.NewClient(func(string, *http1.MalformedError) { broken++ })
	ask := map[string]func(ctx context.Context) error{
		"report": func(ctx context.Context) error {
			_, err := c.Report(ctx, to, peers.Report{}, time.Millisecond)
			return err
		},
		"write": func(ctx context.Context) error {
			_, _, err := c.Write(ctx, to, peers.Operation{Key: "k"})
			if err != nil && !errors.Is(err, ports.ErrAmbiguous) {
				return nil // It may have taken effect.
			}
			return err
		},
		"read": func(ctx context.Context) error { _, err := c.Read(ctx, to, "k", ports.Linearizable); return err },
		"list": func(ctx context.Context) error {
			_, err := c.ReadRange(ctx, to, "k", "", ports.Linearizable)
			return err
		},
		"place":    func(ctx context.Context) error { _, err := c.Place(ctx, to, peers.PlaceRequest{}); return err },
		"progress": func(ctx context.Context) error { return c.Progress(ctx, to, "self", nil) },
		"recall":   func(ctx context.Context) error { _, err := c.Recall(ctx, to, "p"); return err },
		"permits":  func(ctx context.Context) error { _, err := c.Permits(ctx, to, peers.PermitRequest{}); return err },
		"configuration": func(ctx context.Context) error {
			_, err := c.Configuration(ctx, to, peers.ConfigurationRequest{})
			return err
		},
	}
	for _, answer = range append(rawanswers.Broken(), rawanswers.Valid...) {
		for name, f := range ask {
			t.Run(name+"/"+answer.Name, func(t *testing.T) {
				is := is.New(t)
				broken = 0
				err := f(t.Context())
				if (err != nil) != (answer.Reason != "") {
					t.Fatal(err)
				}
				is.Equal(broken > 0, answer.Reason != "")
			})
		}
	}
}
