package sidecar_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/sidecar"
	"github.com/redwinggauge/redwinggauge/test/rawanswers"
)

// startBroken starts a backend server that answers the path with the answer. It returns its address.
func startBroken(t *testing.T, path string, answer rawanswers.Answer, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			_, _ = io.WriteString(w, `{"boot_id":"b1","cache_capacity":1000}`)
			return
		}
		rawanswers.Send(w, r, answer.Bytes("Content-Type: text/event-stream\r\n", body))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// scrape returns the metrics of a sidecar.
func scrape(t *testing.T, s *sidecar.Sidecar) string {
	resp, err := http.Get("http://" + s.Address() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against answers of backend servers that are none of the protocol and count as complete, and against a report of an engine in such
// an answer that makes it healthy.
func TestBrokenAnswersOfBackendServers(t *testing.T) {
	const events = "data: {\"choices\":[{\"delta\":{\"content\":\"all\"},\"finish_reason\":\"stop\"}]}\n\n"
	for _, answer := range append(rawanswers.Broken(), rawanswers.Valid...) {
		t.Run(answer.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			isBroken := answer.Reason != ""

			s := startSidecar(t, sidecar.KindEngine, startBroken(t, "/v1/chat/completions", answer, events), nil)
			got := runCall(t, s, modelCall("p1/1"))
			if isBroken {
				is.Equal(got.code, api.CodeInterrupted)
			} else {
				is.Equal(got.code, api.CodeOK)
				is.Equal(got.text, "all")
			}
			is.Equal(strings.Contains(scrape(t, s), "redwinggauge_broken_answers_total"), isBroken)

			for _, idempotent := range []bool{false, true} {
				s = startSidecar(t, sidecar.KindService, startBroken(t, "/stamp", answer, "the body"), nil)
				got = runCall(t, s, serviceCall("p1/1", idempotent))
				switch {
				case !isBroken:
					is.Equal(got.code, api.CodeOK)
					is.Equal(string(got.result.Body), "the body")
				case idempotent:
					is.Equal(got.code, api.CodeInterrupted)
				default:
					is.Equal(got.code, api.CodeOutcomeUnknown)
				}
			}

			s = startSidecar(t, sidecar.KindEngine, startBroken(t, "/v1/load", answer, `{"boot_id":"b1","cache_capacity":1000}`), nil)
			if !isBroken {
				eventually(t, "the engine is healthy", func() bool { return strings.Contains(scrape(t, s), "redwinggauge_sidecar_healthy 1") })
				return
			}
			eventually(t, "a broken report", func() bool { return strings.Contains(scrape(t, s), "redwinggauge_broken_answers_total") })
			is.True(strings.Contains(scrape(t, s), "redwinggauge_sidecar_healthy 0"))
		})
	}
}
