package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/standin/service"
)

// step is one request of the sample program and the result code that it must have.
type step struct {
	name     string
	method   string
	path     string
	body     any
	wantCode api.Code
}

// sample runs one program and prints each request.
type sample struct {
	ctx     context.Context
	out     io.Writer
	started time.Time
	entries []string // Addresses of the entries; requests go to them in turn.
	calls   int
}

// RunSample runs a sample program against the cluster: model calls, a tool call, a sub-agent, a non-idempotent service call
// (a filing) that is sent twice, and the end of the program. It prints each request and returns an error if one does not
// have the expected result.
func (c *Cluster) RunSample(ctx context.Context, out io.Writer) error {
	s := &sample{ctx: ctx, out: out, started: time.Now()}
	for _, e := range c.Entries {
		s.entries = append(s.entries, e.Address())
	}
	root, err := s.create("")
	if err != nil {
		return err
	}
	if err := s.chat(root, 1, "Draft a sense definition for the headword \"fuinneog\"."); err != nil {
		return err
	}
	if _, err := s.runStep(step{"search attestations", "POST", callPath(root, 2, "services/"+Service+"/search"), map[string]string{"headword": "fuinneog"}, api.CodeOK}); err != nil {
		return err
	}
	child, err := s.create(root)
	if err != nil {
		return err
	}
	if err := s.chat(child, 1, "Compare the attestations by century."); err != nil {
		return err
	}
	if err := s.chat(root, 3, "Revise the draft with the comparison."); err != nil {
		return err
	}
	if err := s.checkResentFiling(root, c.Services); err != nil {
		return err
	}
	if err := s.checkHistory(root); err != nil {
		return err
	}
	if _, err := s.runStep(step{"end program", "DELETE", "/v1/programs/" + root, nil, api.CodeOK}); err != nil {
		return err
	}
	_, err = s.runStep(step{"call after the end", "POST", callPath(root, 5, "chat/completions"), chatBody("Hello?"), api.CodeProgramEnded})
	return err
}

func callPath(program string, seq int, rest string) string {
	return fmt.Sprintf("/v1/programs/%s/calls/%d/%s", program, seq, rest)
}

func chatBody(text string) any {
	return map[string]any{
		"model":      Model,
		"max_tokens": 48,
		"messages":   []map[string]string{{"role": "user", "content": text}},
	}
}

// create creates a program and returns its id. With a parent, the program is a sub-agent of the parent.
func (s *sample) create(parent string) (string, error) {
	name := "create program"
	if parent != "" {
		name = "create sub-agent"
	}
	body := api.CreateRequest{Organisation: "demo", Class: "interactive", Parent: parent}
	respBody, err := s.runStep(step{name, "POST", "/v1/programs", body, api.CodeOK})
	if err != nil {
		return "", err
	}
	var info api.ProgramInfo
	if err := json.Unmarshal(respBody, &info); err != nil {
		return "", fmt.Errorf("decode created program: %w", err)
	}
	return info.ID, nil
}

// chat makes a model call and checks that the answer is not empty.
func (s *sample) chat(program string, seq int, text string) error {
	respBody, err := s.runStep(step{"model call", "POST", callPath(program, seq, "chat/completions"), chatBody(text), api.CodeOK})
	if err != nil {
		return err
	}
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(respBody, &completion); err != nil {
		return fmt.Errorf("decode completion: %w", err)
	}
	if len(completion.Choices) != 1 || completion.Choices[0].Message.Content == "" {
		return fmt.Errorf("call %d of program %s has an empty answer: %s", seq, program, respBody)
	}
	return nil
}

// checkResentFiling sends a non-idempotent service call twice with the same seq. It checks that both responses are the same
// and that the call took effect only once at the stand-in services.
func (s *sample) checkResentFiling(program string, services []string) error {
	filing := step{"file revision", "POST", callPath(program, 4, "services/"+Service+"/slips/42/verify"), map[string]string{"by": "demo"}, api.CodeOK}
	first, err := s.runStep(filing)
	if err != nil {
		return err
	}
	filing.name = "file revision, resent"
	second, err := s.runStep(filing)
	if err != nil {
		return err
	}
	if !bytes.Equal(first, second) {
		return fmt.Errorf("the resent filing got a different response: first %s, then %s", first, second)
	}
	effects := 0
	for _, address := range services {
		n, err := s.countEffects(address, program+"/4/")
		if err != nil {
			return err
		}
		effects += n
	}
	if effects != 1 {
		return fmt.Errorf("the filing took effect %d times instead of once", effects)
	}
	return nil
}

// countEffects returns how often a stand-in service executed calls whose idempotency key has the prefix.
func (s *sample) countEffects(address, prefix string) (int, error) {
	response, err := http.Get("http://" + address + "/stats")
	if err != nil {
		return 0, fmt.Errorf("read the service's effects: %w", err)
	}
	defer response.Body.Close()
	var stats service.Stats
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		return 0, fmt.Errorf("decode the service's effects: %w", err)
	}
	total := 0
	for key, n := range stats.Effects {
		if strings.HasPrefix(key, prefix) {
			total += n
		}
	}
	return total, nil
}

// checkHistory checks that the program's history contains both of its model calls, with a prompt and an answer each.
func (s *sample) checkHistory(program string) error {
	respBody, err := s.runStep(step{"read history", "GET", "/v1/programs/" + program + "/history", nil, api.CodeOK})
	if err != nil {
		return err
	}
	var history struct {
		Messages []api.Message `json:"messages"`
	}
	if err := json.Unmarshal(respBody, &history); err != nil {
		return fmt.Errorf("decode history: %w", err)
	}
	const wantMessages = 4
	if len(history.Messages) != wantMessages {
		return fmt.Errorf("the history of program %s has %d messages instead of %d", program, len(history.Messages), wantMessages)
	}
	return nil
}

// runStep sends one request, prints it, checks its result code and returns the body of the response.
func (s *sample) runStep(st step) ([]byte, error) {
	var body io.Reader
	if st.body != nil {
		data, err := json.Marshal(st.body)
		if err != nil {
			return nil, fmt.Errorf("encode body of %s: %w", st.name, err)
		}
		body = bytes.NewReader(data)
	}
	address := s.entries[s.calls%len(s.entries)]
	s.calls++
	request, err := http.NewRequestWithContext(s.ctx, st.method, "http://"+address+st.path, body)
	if err != nil {
		return nil, fmt.Errorf("build %s: %w", st.name, err)
	}
	request.Header.Set("Content-Type", "application/json")
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", st.name, err)
	}
	defer response.Body.Close()
	respBody, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read response of %s: %w", st.name, err)
	}
	code := response.Header.Get(api.HeaderCode)
	fmt.Fprintf(s.out, "%8.3fs  %-22s %-6s %-62s code %s  %s\n", began.Sub(s.started).Seconds(), st.name, st.method, st.path, code, time.Since(began).Round(time.Millisecond))
	if code != fmt.Sprint(int(st.wantCode)) {
		return nil, fmt.Errorf("%s got result code %s instead of %d: %s", st.name, code, st.wantCode, respBody)
	}
	return respBody, nil
}
