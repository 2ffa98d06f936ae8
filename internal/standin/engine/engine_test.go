package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/standin/engine"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

var client = transport.NewClient(transport.ClientOptions{IdleTimeout: 20 * time.Second, RequestTimeout: 20 * time.Second})

// start starts an engine that runs 40 times as fast as real time.
func start(t *testing.T, o engine.Options) *engine.Server {
	t.Helper()
	o.Listen, o.TimeScale = "127.0.0.1:0", 40
	server, err := engine.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server
}

func user(text string) api.Message {
	content, _ := json.Marshal(text)
	return api.Message{Role: "user", Content: content}
}

// chunk contains the fields that the tests read of a completion or of a chunk of a streamed one.
type chunk struct {
	Choices []struct {
		Delta        struct{ Content string }
		Message      struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
	Usage engine.ChatUsage
}

// answer is a completed chat completion.
type answer struct {
	text   string
	finish string
	usage  engine.ChatUsage
}

func post(server *engine.Server, path string, in, out any) error {
	return client.JSON(context.Background(), "POST", server.Address(), path, in, out)
}

// ask requests a completion that is not streamed.
func ask(server *engine.Server, in engine.ChatRequest) (answer, error) {
	var out chunk
	if err := post(server, "/v1/chat/completions", in, &out); err != nil {
		return answer{}, err
	}
	return answer{out.Choices[0].Message.Content, out.Choices[0].FinishReason, out.Usage}, nil
}

// askStreamed requests a streamed completion and reads it to the end.
func askStreamed(server *engine.Server, in engine.ChatRequest) (answer, error) {
	in.Stream, in.StreamOptions.IncludeUsage = true, true
	stream, err := client.Stream(context.Background(), "POST", server.Address(), "/v1/chat/completions", in, false)
	if err != nil {
		return answer{}, err
	}
	defer stream.Close()
	var out answer
	for {
		line, err := stream.ReadLine()
		if err != nil {
			return out, err
		}
		data, ok := strings.CutPrefix(string(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return out, nil
		}
		var piece chunk
		if err := json.Unmarshal([]byte(data), &piece); err != nil {
			return out, err
		}
		for _, choice := range piece.Choices {
			out.text += choice.Delta.Content
			out.finish += choice.FinishReason
		}
		out.usage = piece.Usage
	}
}

// eventually waits until the condition is true and fails the test after 20 seconds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func load(t *testing.T, server *engine.Server) engine.LoadReport {
	t.Helper()
	var out engine.LoadReport
	if err := client.JSON(context.Background(), "GET", server.Address(), "/v1/load", nil, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestAnswerDependsOnTheWholeHistory(t *testing.T) {
	is := is.New(t)
	server := start(t, engine.Options{})
	messages := []api.Message{user("a [[tokens=20]]"), {Role: "assistant", Content: json.RawMessage(`"b"`)}, user("c")}
	whole, err := ask(server, engine.ChatRequest{Model: "m", Messages: messages})
	is.NoErr(err)
	is.Equal(whole.text, engine.AnswerText(messages, 0))
	is.Equal(whole.finish, "stop")
	is.Equal(whole.usage.CompletionTokens, engine.DefaultAnswerTokens) // only the directive in the last user message counts
	streamed, err := askStreamed(server, engine.ChatRequest{Model: "m", Messages: messages})
	is.NoErr(err)
	is.Equal(streamed.text, whole.text)
	is.Equal(streamed.finish, "stop")
	other, err := ask(server, engine.ChatRequest{Model: "m", Messages: messages[1:], MaxTokens: 5})
	is.NoErr(err)
	is.True(!strings.HasPrefix(whole.text, other.text))
	is.Equal(other.finish, "length")
	is.Equal(other.usage.CompletionTokens, 5)
}

func TestToolDirectiveEndsWithToolCalls(t *testing.T) {
	is := is.New(t)
	server := start(t, engine.Options{})
	messages := []api.Message{user("stamp it [[tool=stamp]]")}
	for _, asking := range []func(*engine.Server, engine.ChatRequest) (answer, error){ask, askStreamed} {
		got, err := asking(server, engine.ChatRequest{Model: "m", Messages: messages})
		is.NoErr(err)
		is.Equal(got.finish, "tool_calls")
		is.Equal(got.text, "")
	}
	messages = append(messages, api.Message{Role: "tool", Content: json.RawMessage(`"done"`), ToolCallID: "1"})
	got, err := ask(server, engine.ChatRequest{Model: "m", Messages: messages})
	is.NoErr(err)
	is.Equal(got.finish, "stop")
}

func TestResumedAnswerContinuesExactly(t *testing.T) {
	server := start(t, engine.Options{DecodeTokensPerSecond: 1000})
	messages := []api.Message{user("continue [[tokens=12]]")}
	want := engine.AnswerText(messages, 0)
	rapid.Check(t, func(r *rapid.T) {
		cut := rapid.IntRange(0, len(want)).Draw(r, "cut")
		got, err := askStreamed(server, engine.ChatRequest{Model: "m", Messages: messages, ResumeText: want[:cut]})
		if err != nil {
			r.Fatal(err)
		}
		if want[:cut]+got.text != want || got.finish != "stop" {
			r.Fatalf("resumed at %d: got %q", cut, got.text)
		}
	})
	is := is.New(t)
	_, err := ask(server, engine.ChatRequest{Model: "m", Messages: messages, ResumeText: "of another answer"})
	var status *transport.StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, 400)
}

func TestNextTurnReusesTheCachedPrefix(t *testing.T) {
	is := is.New(t)
	a, b := start(t, engine.Options{}), start(t, engine.Options{})
	messages := []api.Message{user(strings.Repeat("a long first message ", 100))}
	first, err := ask(a, engine.ChatRequest{Model: "m", Messages: messages, Program: "p"})
	is.NoErr(err)
	is.Equal(first.usage.Details.CachedTokens, 0)
	content, _ := json.Marshal(first.text)
	messages = append(messages, api.Message{Role: "assistant", Content: content}, user("next"))
	second, err := ask(a, engine.ChatRequest{Model: "m", Messages: messages, Program: "p"})
	is.NoErr(err)
	cached := second.usage.Details.CachedTokens
	is.True(cached > first.usage.PromptTokens) // the answer is cached as well
	is.True(second.usage.PromptTokens-cached < 32)

	var blob []byte
	stream, err := client.Stream(context.Background(), "POST", a.Address(), "/v1/cache/export", engine.HoldRequest{Program: "p"}, false)
	is.NoErr(err)
	blob, err = stream.ReadAll()
	is.NoErr(err)
	stream.Close()
	is.NoErr(post(b, "/v1/cache/import", blob, nil))
	moved, err := ask(b, engine.ChatRequest{Model: "m", Messages: messages, Program: "p"})
	is.NoErr(err)
	is.True(moved.usage.Details.CachedTokens >= cached)
	is.Equal(moved.text, second.text)
}

func TestCancelFreesTheSlot(t *testing.T) {
	is := is.New(t)
	server := start(t, engine.Options{Slots: 1})
	long := make(chan answer, 1)
	go func() {
		got, _ := askStreamed(server, engine.ChatRequest{
			Model: "m", RequestID: "long", Messages: []api.Message{user("[[tokens=500000]]")},
		})
		long <- got
	}()
	eventually(t, "the long request is running", func() bool { return load(t, server).Running == 1 })
	short := make(chan error, 1)
	go func() {
		_, err := ask(server, engine.ChatRequest{Model: "m", Messages: []api.Message{user("short")}})
		short <- err
	}()
	eventually(t, "the short request is waiting", func() bool { return load(t, server).Waiting == 1 })
	is.NoErr(post(server, "/v1/cancel", map[string]string{"request_id": "long"}, nil))
	is.NoErr(<-short)
	is.Equal((<-long).finish, "abort")
	is.Equal(server.Totals().Cancelled, int64(1))
}

func TestCallerThatLeavesFreesTheSlot(t *testing.T) {
	is := is.New(t)
	server := start(t, engine.Options{Slots: 1})
	in := engine.ChatRequest{Model: "m", Stream: true, Messages: []api.Message{user("[[tokens=500000]]")}}
	stream, err := client.Stream(context.Background(), "POST", server.Address(), "/v1/chat/completions", in, true)
	is.NoErr(err)
	_, err = stream.ReadLine()
	is.NoErr(err)
	stream.Close()
	_, err = ask(server, engine.ChatRequest{Model: "m", Messages: []api.Message{user("next")}})
	is.NoErr(err)
}

func TestHoldsAreReportedAndLapse(t *testing.T) {
	is := is.New(t)
	server := start(t, engine.Options{})
	messages := []api.Message{user(strings.Repeat("x", 640))}
	_, err := ask(server, engine.ChatRequest{Model: "m", Messages: messages, Program: "p"})
	is.NoErr(err)
	var held engine.HoldResponse
	is.NoErr(post(server, "/v1/cache/hold", engine.HoldRequest{Program: "p", TTLMS: 60000}, &held))
	is.True(held.Held && held.Tokens >= 160)
	stats := server.CacheStats()
	is.Equal(stats.Programs, []string{"p"})
	is.Equal(stats.HeldTokens, held.Tokens)
	is.NoErr(post(server, "/v1/cache/release", engine.HoldRequest{Program: "p"}, &held))
	is.True(held.Held)
	stats = server.CacheStats()
	is.Equal(stats.HeldTokens, 0)
	is.True(stats.WastedTokenSeconds > 0) // the prefix was not used after the hold began
	is.NoErr(post(server, "/v1/cache/hold", engine.HoldRequest{Program: "p", TTLMS: 60000}, &held))
	is.True(!held.Held) // the prefix of a released program is not kept

	_, err = ask(server, engine.ChatRequest{Model: "m", Messages: messages, Program: "q"})
	is.NoErr(err)
	is.NoErr(post(server, "/v1/cache/hold", engine.HoldRequest{Program: "q", TTLMS: 10}, &held))
	eventually(t, "the hold expires", func() bool { return server.CacheStats().HeldTokens == 0 })
}

func TestCrashCutsEveryRequest(t *testing.T) {
	is := is.New(t)
	server := start(t, engine.Options{})
	bystander := make(chan error, 1)
	go func() {
		_, err := askStreamed(server, engine.ChatRequest{Model: "m", Messages: []api.Message{user("[[tokens=500000]]")}})
		bystander <- err
	}()
	eventually(t, "the bystander is running", func() bool { return load(t, server).Running == 1 })
	_, err := ask(server, engine.ChatRequest{Model: "m", Messages: []api.Message{user("[[crash]]")}})
	is.True(err != nil)
	is.True(server.Crashed())
	err = <-bystander
	is.True(err != nil && !errors.Is(err, io.EOF)) // the stream was aborted, not completed
	_, err = ask(server, engine.ChatRequest{Model: "m", Messages: []api.Message{user("hello")}})
	is.True(transport.IsNotSent(err))
}

func TestOrdersWithAndWithoutAFencingCheck(t *testing.T) {
	is := is.New(t)
	order := func(id string, number uint64) api.OrderRequest {
		return api.OrderRequest{ID: id, Kind: api.OrderLoadModel, Argument: "n", Fence: api.Fence{Number: number}}
	}
	for _, checks := range []bool{true, false} {
		server := start(t, engine.Options{ChecksFence: checks, Models: []string{"m"}})
		_, err := ask(server, engine.ChatRequest{Model: "n", Messages: []api.Message{user("x")}})
		is.True(err != nil) // model n is not loaded
		is.NoErr(post(server, "/v1/orders", order("new", 7), nil))
		_, err = ask(server, engine.ChatRequest{Model: "n", Messages: []api.Message{user("x")}})
		is.NoErr(err)
		err = post(server, "/v1/orders", order("old", 6), nil)
		is.Equal(err != nil, checks)
		is.Equal(len(server.AppliedOrders()) == 1, checks)
	}
}

func TestReportsAndCacheEventsLagAndCacheEventsHaveGaps(t *testing.T) {
	is := is.New(t)
	const lag = 50 * time.Millisecond
	server := start(t, engine.Options{ReportLag: time.Hour, CacheEventLag: lag, CacheEventDropFraction: 0.5, Seed: 1})
	eventually(t, "a load report is published", func() bool { return load(t, server).AtMS > 0 })
	before := load(t, server)
	messages := []api.Message{user(strings.Repeat("y", 64*100))}
	_, err := ask(server, engine.ChatRequest{Model: "m", Messages: messages, Program: "p"})
	is.NoErr(err)
	is.Equal(load(t, server), before) // the new report is published only after an hour
	var got engine.CacheEvents
	events := func(after uint64) []engine.CacheEvent {
		is.NoErr(client.JSON(context.Background(), "GET", server.Address(), fmt.Sprintf("/v1/cache_events?after=%d", after), nil, &got))
		return got.Events
	}
	time.Sleep(lag) // every event of the answer is older then
	is.True(len(events(0)) > 30)
	is.True(len(got.Events) < 100)
	last := got.Events[len(got.Events)-1].Seq
	is.True(last > uint64(len(got.Events))) // dropped events leave gaps in the sequence numbers
	is.Equal(got.BootID, server.BootID())
	is.Equal(len(events(last)), 0)
}

func TestFrozenAndFailingEngine(t *testing.T) {
	is := is.New(t)
	server := start(t, engine.Options{})
	server.SetFaults(engine.Faults{FailNext: 1})
	in := engine.ChatRequest{Model: "m", Messages: []api.Message{user("x")}}
	_, err := ask(server, in)
	is.True(err != nil)
	is.Equal(server.Totals().Requests, int64(0))
	frozen := time.Now()
	server.SetFaults(engine.Faults{FreezeMS: 100})
	_, err = ask(server, in)
	is.NoErr(err)
	is.True(time.Since(frozen) >= 100*time.Millisecond)
}
