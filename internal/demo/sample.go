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

// step is one call of the sample program.
type step struct {
	name   string
	method string
	path   string
	body   any
	want   api.Code
}

// sample runs one program and prints each call.
type sample struct {
	ctx     context.Context
	out     io.Writer
	started time.Time
	entries []string // Addresses; calls go to them in turn.
	calls   int
}

// RunSample runs a sample program against the cluster: a model call, a tool call, a sub-agent, a non-idempotent filing
// that is sent twice, and the end. It prints each call and fails unless every outcome is the right one.
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
	if _, err := s.do(step{"search attestations", "POST", callPath(root, 2, "services/"+Service+"/search"), map[string]string{"headword": "fuinneog"}, api.CodeOK}); err != nil {
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
	if err := s.file(root, c.Services); err != nil {
		return err
	}
	if err := s.checkHistory(root); err != nil {
		return err
	}
	if _, err := s.do(step{"end program", "DELETE", "/v1/programs/" + root, nil, api.CodeOK}); err != nil {
		return err
	}
	_, err = s.do(step{"call after the end", "POST", callPath(root, 5, "chat/completions"), chatBody("Hello?"), api.CodeProgramEnded})
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

// create creates the program or a sub-agent of parent.
func (s *sample) create(parent string) (string, error) {
	name := "create program"
	if parent != "" {
		name = "create sub-agent"
	}
	body := api.CreateRequest{Organisation: "demo", Class: "interactive", Parent: parent}
	answer, err := s.do(step{name, "POST", "/v1/programs", body, api.CodeOK})
	if err != nil {
		return "", err
	}
	var info api.ProgramInfo
	if err := json.Unmarshal(answer, &info); err != nil {
		return "", fmt.Errorf("decode created program: %w", err)
	}
	return info.ID, nil
}

// chat makes a model call and checks that it has an answer.
func (s *sample) chat(program string, seq int, text string) error {
	answer, err := s.do(step{"model call", "POST", callPath(program, seq, "chat/completions"), chatBody(text), api.CodeOK})
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
	if err := json.Unmarshal(answer, &completion); err != nil {
		return fmt.Errorf("decode completion: %w", err)
	}
	if len(completion.Choices) != 1 || completion.Choices[0].Message.Content == "" {
		return fmt.Errorf("seq %d of program %s has no answer: %s", seq, program, answer)
	}
	return nil
}

// file sends the non-idempotent filing twice under one seq and counts its effects at the services.
func (s *sample) file(program string, services []string) error {
	filing := step{"file revision", "POST", callPath(program, 4, "services/"+Service+"/slips/42/verify"), map[string]string{"by": "demo"}, api.CodeOK}
	first, err := s.do(filing)
	if err != nil {
		return err
	}
	filing.name = "file revision, resent"
	second, err := s.do(filing)
	if err != nil {
		return err
	}
	if !bytes.Equal(first, second) {
		return fmt.Errorf("the resent filing got another answer: %s, then %s", first, second)
	}
	effects := 0
	for _, address := range services {
		n, err := s.effects(address, program+"/4/")
		if err != nil {
			return err
		}
		effects += n
	}
	if effects != 1 {
		return fmt.Errorf("the filing took effect %d times", effects)
	}
	return nil
}

// effects counts the effects that a stand-in service saw under keys with the prefix.
func (s *sample) effects(address, prefix string) (int, error) {
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

// checkHistory checks that the history holds both model calls.
func (s *sample) checkHistory(program string) error {
	answer, err := s.do(step{"read history", "GET", "/v1/programs/" + program + "/history", nil, api.CodeOK})
	if err != nil {
		return err
	}
	var history struct {
		Messages []api.Message `json:"messages"`
	}
	if err := json.Unmarshal(answer, &history); err != nil {
		return fmt.Errorf("decode history: %w", err)
	}
	const wantMessages = 4
	if len(history.Messages) != wantMessages {
		return fmt.Errorf("the history of program %s has %d messages, not %d", program, len(history.Messages), wantMessages)
	}
	return nil
}

// do makes one call, prints it and checks its code.
func (s *sample) do(st step) ([]byte, error) {
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
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", st.name, err)
	}
	code := response.Header.Get(api.HeaderCode)
	fmt.Fprintf(s.out, "%8.3fs  %-22s %-6s %-62s code %s  %s\n", began.Sub(s.started).Seconds(), st.name, st.method, st.path, code, time.Since(began).Round(time.Millisecond))
	if code != fmt.Sprint(int(st.want)) {
		return nil, fmt.Errorf("%s got code %s, not %d: %s", st.name, code, st.want, answer)
	}
	return answer, nil
}
