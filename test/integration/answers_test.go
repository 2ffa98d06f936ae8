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

// longAnswerPrompt is a prompt that the stand-in engines answer with 150 tokens.
const longAnswerPrompt = "[[tokens=150]]"

// streamChat makes a streamed model call, calls onLine after each chunk, and returns the text and whether the stream was
// complete. seq is the number of the call in its program.
func (k *caller) streamChat(entry, seq int, text string, maxTokens int, onLine func(n int)) (answer string, complete bool) {
	address := k.c.entries[entry%len(k.c.entries)].callerLink.address()
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

// streamUntilComplete makes a streamed model call and resends it until a stream is complete.
func (k *caller) streamUntilComplete(entry, seq int, text string, maxTokens int) string {
	k.t.Helper()
	for try := range 200 {
		if answer, complete := k.streamChat(entry+try, seq, text, maxTokens, nil); complete && answer != "" {
			return answer
		}
		time.Sleep(50 * time.Millisecond)
	}
	k.t.Fatalf("call %d of program %s never got a complete stream", seq, k.program)
	return ""
}

// An OpenAI client works with the path of a call as its base URL.
func TestOpenAIClientStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{})
	k := c.newProgram("")
	client := openai.NewClient(
		option.WithBaseURL("http://"+c.entries[0].callerLink.address()+"/v1/programs/"+k.program+"/calls/1"),
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

// Guards against a different or truncated answer after a caller loses its connection during a stream: the resent call gets
// the complete answer, and the history contains the same.
func TestCompleteAnswerAfterCallerDisconnects(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{})
	k := c.newProgram("")
	callerLink := c.entries[0].callerLink
	partial, complete := k.streamChat(0, 1, longAnswerPrompt, 200, func(n int) {
		if n == 20 {
			callerLink.disconnect()
		}
	})
	is.True(!complete)
	is.True(partial != "")
	answer := k.streamUntilComplete(1, 1, longAnswerPrompt, 200)
	is.True(strings.HasPrefix(answer, partial))
	is.Equal(k.history(), []string{longAnswerPrompt, answer})
}

// Guards against a truncated answer when the delayed connection between entry and sidecar breaks several times during a
// stream.
func TestCompleteAnswerAfterSidecarLinkBreaks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{engines: 1, engineArgs: []string{"-decode-rate", "100"}})
	k := c.newProgram("")
	link := c.engines[0].sidecarLink
	link.delay(20 * time.Millisecond)
	answer, complete := k.streamChat(0, 1, longAnswerPrompt, 150, func(n int) {
		if n == 10 || n == 40 || n == 70 {
			link.disconnect()
			time.Sleep(50 * time.Millisecond)
			link.reconnect()
		}
	})
	is.True(complete)
	is.Equal(k.history(), []string{longAnswerPrompt, answer})
}

// Guards against repeated or missing text when the engine is killed during a stream: another engine continues after the
// text that was already delivered.
func TestCompleteAnswerAfterEngineIsKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{engines: 2, engineArgs: []string{"-decode-rate", "100"}})
	k := c.newProgram("")
	var once sync.Once
	answer, complete := k.streamChat(0, 1, longAnswerPrompt, 150, func(n int) {
		if n == 20 {
			once.Do(func() { c.busyEngine().backend.kill() })
		}
	})
	is.True(complete)
	is.Equal(answer, expectedAnswer(t, nil, longAnswerPrompt, 150)) // nothing is repeated or missing
	is.Equal(k.history(), []string{longAnswerPrompt, answer})
}

// Guards against a history that lacks the beginning of an answer: its engine is killed, then the owner of the journal while another
// engine continues, so that the next owner takes over an execution that began in the middle.
func TestHistoryIsWholeAfterTakeoverOfAContinuedAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{engines: 2, engineArgs: []string{"-decode-rate", "100"}})
	k := c.newProgram("")
	owner := c.journalOwner(k)
	other := c.otherEntry(owner)
	answer, complete := k.streamChat(other, 1, longAnswerPrompt, 150, func(n int) {
		switch n {
		case 20:
			c.busyEngine().backend.kill()
		case 80:
			owner.kill()
		}
	})
	is.True(complete)
	is.Equal(answer, expectedAnswer(t, nil, longAnswerPrompt, 150))
	is.Equal(k.history(), []string{longAnswerPrompt, answer})
}

// expectedAnswer returns the answer of the stand-in engines to a question after a history of alternating questions and
// answers. It depends on every message, so a comparison shows whether the engine received the right history.
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

// busyEngine waits until an engine is running a call and returns that engine. After about a second it fails the test and
// returns the first engine.
func (c *cluster) busyEngine() *backendNode {
	for range 200 {
		for _, e := range c.engines {
			var load struct {
				Running int `json:"running"`
			}
			c.requestJSON("GET", e.address, "/v1/load", nil, &load)
			if load.Running > 0 {
				return e
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Error("no engine is running a call")
	return c.engines[0]
}

// Guards against mixed-up answers: many concurrent programs over delayed links each get their own answers.
func TestAnswersReachTheirOwnCallers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2, engines: 2})
	for i, e := range c.engines {
		e.sidecarLink.delay(time.Duration(10+20*i) * time.Millisecond)
	}
	c.entries[0].internalLink.delay(30 * time.Millisecond)
	var group sync.WaitGroup
	for p := range 30 {
		group.Go(func() {
			k := c.newProgram("")
			var want []string
			for seq := 1; seq <= 3; seq++ {
				question := fmt.Sprintf("program %d question %d", p, seq)
				want = append(want, question, k.streamUntilComplete(p, seq, question, 20))
			}
			is.New(t).Equal(k.history(), want)
		})
	}
	group.Wait()
}

// Guards against truncated streams at a graceful shutdown: an entry and a sidecar that are terminated under load finish
// their calls first.
func TestGracefulShutdownCompletesCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{entries: 3, engines: 3, engineArgs: []string{"-decode-rate", "60"}})
	var group sync.WaitGroup
	started := make(chan struct{}, 100)
	for p := range 24 {
		k := c.newProgram("")
		group.Go(func() {
			sent := false
			answer, complete := k.streamChat(p, 1, longAnswerPrompt, 150, func(int) {
				if !sent {
					started <- struct{}{}
					sent = true
				}
			})
			if !complete {
				t.Errorf("program %s: stream truncated after %q", k.program, answer)
				return
			}
			is.Equal(k.history(), []string{longAnswerPrompt, answer})
		})
	}
	for range 24 {
		<-started
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

// sumMetric returns the sum of all series that begin with name on the metrics page at the address.
func sumMetric(t testing.TB, address, name string) float64 {
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
