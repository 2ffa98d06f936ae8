package integration

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/standin/engine"
)

// longAnswer is a question that the stand-in engines answer with 150 tokens.
const longAnswer = "[[tokens=150]]"

// stream makes a streamed model call and returns its text and whether the stream was whole.
func (k *caller) stream(entry, seq int, text string, maxTokens int, onLine func(n int)) (answer string, whole bool) {
	address := k.c.entries[entry%len(k.c.entries)].callers.address()
	response, err := k.http.Post("http://"+address+k.callPath(seq, "chat/completions"), "application/json",
		strings.NewReader(string(chatBody(k.t, text, maxTokens, true))))
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	for n := 0; ; n++ {
		line, err := lines.ReadString('\n')
		if err != nil {
			return answer, false
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return answer, true
		}
		answer += deltaText(k.t, data)
		if onLine != nil {
			onLine(n)
		}
	}
}

// streamUntilWhole resends the seq until a stream was whole.
func (k *caller) streamUntilWhole(entry, seq int, text string, maxTokens int) string {
	k.t.Helper()
	for try := range 200 {
		if answer, whole := k.stream(entry+try, seq, text, maxTokens, nil); whole && answer != "" {
			return answer
		}
		time.Sleep(50 * time.Millisecond)
	}
	k.t.Fatalf("seq %d of program %s was never whole", seq, k.program)
	return ""
}

// An OpenAI client works with a call's path as its base.
func TestOpenAIClientStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{})
	k := c.newProgram("")
	client := openai.NewClient(
		option.WithBaseURL("http://"+c.entries[0].callers.address()+"/v1/programs/"+k.program+"/calls/1"),
		option.WithAPIKey("none"),
	)
	stream := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model:     testModel,
		MaxTokens: openai.Int(30),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	})
	text := ""
	for stream.Next() {
		if chunk := stream.Current(); len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	is.NoErr(stream.Err())
	is.Equal(k.history(), []string{"hello", text})
}

// The caller's connection is cut in mid-answer. It resends the seq and gets the whole answer, which is the one in the
// history.
func TestWholeAnswerAfterCallerIsCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{})
	k := c.newProgram("")
	cut := c.entries[0].callers
	partial, whole := k.stream(0, 1, longAnswer, 200, func(n int) {
		if n == 20 {
			cut.cut()
		}
	})
	is.True(!whole)
	is.True(partial != "")
	answer := k.streamUntilWhole(1, 1, longAnswer, 200)
	is.True(strings.HasPrefix(answer, partial))
	is.Equal(k.history(), []string{longAnswer, answer})
}

// The connection between entry and sidecar is cut in mid-answer, again and again, and answers come late.
func TestWholeAnswerAfterSidecarLinkIsCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{engines: 1, engineArgs: []string{"-decode-rate", "100"}})
	k := c.newProgram("")
	link := c.engines[0].inbound
	link.delay(20 * time.Millisecond)
	answer, whole := k.stream(0, 1, longAnswer, 150, func(n int) {
		if n == 10 || n == 40 || n == 70 {
			link.cut()
			time.Sleep(50 * time.Millisecond)
			link.mend()
		}
	})
	is.True(whole)
	is.Equal(k.history(), []string{longAnswer, answer})
}

// The engine is killed in mid-answer. Another one continues from the part that the caller has read.
func TestWholeAnswerAfterEngineDies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{engines: 2, engineArgs: []string{"-decode-rate", "100"}})
	k := c.newProgram("")
	var once sync.Once
	answer, whole := k.stream(0, 1, longAnswer, 150, func(n int) {
		if n == 20 {
			once.Do(func() { c.busyEngine().backend.kill() })
		}
	})
	is.True(whole)
	is.Equal(answer, expectedAnswer(t, nil, longAnswer, 150)) // nothing was repeated or left out
	is.Equal(k.history(), []string{longAnswer, answer})
}

// expectedAnswer is what the stand-in engines answer to a question after a history of questions and answers. It depends
// on every message, so that it tells whether the right history reached the engine.
func expectedAnswer(t *testing.T, history []string, question string, maxTokens int) string {
	t.Helper()
	var messages []api.Message
	for i, text := range append(slices.Clone(history), question) {
		role := "user"
		if i%2 == 1 {
			role = "assistant"
		}
		messages = append(messages, api.Message{Role: role, Content: mustJSON(t, text)})
	}
	return engine.AnswerText(messages, maxTokens)
}

// busyEngine returns the engine that is running a call.
func (c *cluster) busyEngine() *backendNode {
	for range 200 {
		for _, e := range c.engines {
			var load struct {
				Running int `json:"running"`
			}
			c.post("GET", e.address, "/v1/load", nil, &load)
			if load.Running > 0 {
				return e
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Error("no engine is running a call")
	return c.engines[0]
}

// Answers of many programs at once, over delayed links, reach their own callers.
func TestAnswersReachTheirOwnCallers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, shape{entries: 2, engines: 2})
	for i, e := range c.engines {
		e.inbound.delay(time.Duration(10+20*i) * time.Millisecond)
	}
	c.entries[0].internal.delay(30 * time.Millisecond)
	var group sync.WaitGroup
	for p := range 30 {
		group.Go(func() {
			k := c.newProgram("")
			var want []string
			for seq := 1; seq <= 3; seq++ {
				question := fmt.Sprintf("program %d question %d", p, seq)
				want = append(want, question, k.streamUntilWhole(p, seq, question, 20))
			}
			is.New(t).Equal(k.history(), want)
		})
	}
	group.Wait()
}

// Entries and sidecars that are told to stop under load finish what they have.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, shape{entries: 3, engines: 3, engineArgs: []string{"-decode-rate", "60"}})
	var group sync.WaitGroup
	begun := make(chan struct{}, 100)
	for p := range 24 {
		k := c.newProgram("")
		group.Go(func() {
			sent := false
			answer, whole := k.stream(p, 1, longAnswer, 150, func(int) {
				if !sent {
					begun <- struct{}{}
					sent = true
				}
			})
			if !whole {
				t.Errorf("program %s: cut after %q", k.program, answer)
				return
			}
			is.Equal(k.history(), []string{longAnswer, answer})
		})
	}
	for range 24 {
		<-begun
	}
	group.Go(func() { is.Equal(c.engines[0].sidecar.terminate(time.Minute), 0) })
	group.Go(func() { is.Equal(c.entries[0].terminate(time.Minute), 0) })
	group.Wait()
}

// deltaText returns the text of one chunk of a stream.
func deltaText(t testing.TB, data string) string {
	t.Helper()
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	decodeInto(t, data, &chunk)
	text := ""
	for _, choice := range chunk.Choices {
		text += choice.Delta.Content
	}
	return text
}

// metric returns the sum of the metric's series at the address.
func metric(t testing.TB, address, name string) float64 {
	t.Helper()
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for line := range strings.Lines(string(body)) {
		var value float64
		series, rest, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || !strings.HasPrefix(series, name) {
			continue
		}
		if _, err := fmt.Sscan(rest, &value); err == nil {
			sum += value
		}
	}
	return sum
}
