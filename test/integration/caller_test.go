package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// caller is the client of an agent program. It resends calls like a real client.
type caller struct {
	t       testing.TB
	c       *cluster
	http    *http.Client
	program string // ID of the program.
}

// answer is the outcome of one request of a caller.
type answer struct {
	code   api.Code
	status int
	body   []byte
	err    error // Set if the connection failed before the response was complete.
}

// callerTimeout limits a request of a caller, including its response.
const callerTimeout = 2 * time.Minute

// newCaller returns a caller without a program.
func newCaller(t testing.TB, c *cluster) *caller {
	return &caller{t: t, c: c, http: &http.Client{Timeout: callerTimeout}}
}

// newProgram creates a program and returns its caller. parent is the ID of the parent program; it is empty for a root
// program.
func (c *cluster) newProgram(parent string) *caller {
	c.t.Helper()
	k := newCaller(c.t, c)
	k.create(parent)
	return k
}

// create creates the program and resends the request until it succeeds.
func (k *caller) create(parent string) {
	k.t.Helper()
	body := mustJSON(k.t, api.CreateRequest{Organisation: "demo", Class: "interactive", Parent: parent})
	key := fmt.Sprintf("%s-%d", k.t.Name(), time.Now().UnixNano())
	for try := 0; ; try++ {
		a := k.send(try, "POST", "/v1/programs", body, "Idempotency-Key", key)
		if a.err == nil && a.status == http.StatusCreated {
			var info api.ProgramInfo
			if err := json.Unmarshal(a.body, &info); err != nil {
				k.t.Fatal(err)
			}
			k.program = info.ID
			return
		}
		if try > 100 {
			k.t.Fatalf("program could not be created: %+v", a)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// mustJSON encodes v as JSON or fails the test.
func mustJSON(t testing.TB, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// send sends one request to the entry with the index, modulo the number of entries. headers are pairs of name and
// value.
func (k *caller) send(index int, method, path string, body []byte, headers ...string) answer {
	entry := k.c.entries[index%len(k.c.entries)]
	request, err := http.NewRequest(method, "http://"+entry.callerLink.address()+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := k.http.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	code, _ := strconv.Atoi(response.Header.Get(api.HeaderCode))
	return answer{code: api.Code(code), status: response.StatusCode, body: data}
}

// callPath returns the path for call seq of the program.
func (k *caller) callPath(seq int, rest string) string {
	return fmt.Sprintf("/v1/programs/%s/calls/%d/%s", k.program, seq, rest)
}

// chatBody returns the request body for a chat completion with one user message.
func chatBody(t testing.TB, text string, maxTokens int, stream bool) []byte {
	return mustJSON(t, map[string]any{
		"model": testModel, "max_tokens": maxTokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
}

// chat makes a model call through the entry. seq is the number of the call in its program.
func (k *caller) chat(entry, seq int, text string, maxTokens int) answer {
	return k.send(entry, "POST", k.callPath(seq, "chat/completions"), chatBody(k.t, text, maxTokens, false))
}

// chatUntilDone makes a model call and resends it, through one entry after another, until it succeeds. It returns the text
// of the answer.
func (k *caller) chatUntilDone(entry, seq int, text string, maxTokens int) string {
	k.t.Helper()
	var last answer
	for try := range 400 {
		last = k.chat(entry+try, seq, text, maxTokens)
		if last.err == nil && last.code == api.CodeOK {
			return answerText(k.t, last.body)
		}
		time.Sleep(50 * time.Millisecond)
	}
	k.t.Fatalf("call %d of program %s never succeeded: code %d, body %s, error %v", seq, k.program, last.code, last.body, last.err)
	return ""
}

// answerText returns the text of a completion.
func answerText(t testing.TB, body []byte) string {
	t.Helper()
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(body, &completion); err != nil || len(completion.Choices) != 1 {
		t.Fatalf("response is not a completion with one choice: %s", body)
	}
	return completion.Choices[0].Message.Content
}

// service makes a call of the stand-in service through the entry. seq is the number of the call in its program.
func (k *caller) service(entry, seq int, path, body string) answer {
	return k.send(entry, "POST", k.callPath(seq, "services/"+testService+"/"+path), []byte(body))
}

// history returns the texts of the messages in the history of the program.
func (k *caller) history() []string {
	k.t.Helper()
	var a answer
	for try := range 200 {
		a = k.send(try, "GET", "/v1/programs/"+k.program+"/history", nil)
		if a.err == nil && a.code == api.CodeOK {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	var history struct {
		Messages []api.Message `json:"messages"`
	}
	if err := json.Unmarshal(a.body, &history); err != nil {
		k.t.Fatalf("history of program %s: %v: %s %v", k.program, err, a.body, a.err)
	}
	texts := make([]string, len(history.Messages))
	for i, m := range history.Messages {
		texts[i] = api.MessageText(m)
	}
	return texts
}

// decodeInto decodes JSON or fails the test.
func decodeInto(t testing.TB, data string, out any) {
	t.Helper()
	if err := json.Unmarshal([]byte(data), out); err != nil {
		t.Fatalf("invalid JSON: %v: %s", err, data)
	}
}
