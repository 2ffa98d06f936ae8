package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// call is a request of a requester.
type call struct {
	ID, Path, Body     string
	Previous           string
	LastEvent, Resumes string
	Program            string
	MaxOutput          int
	DeadlineMS         int
}

// event is one event of a stream.
type event struct{ ID, Data string }

// answer is what a requester got.
type answer struct {
	Call     string
	Status   int
	Events   []event
	Body     string
	Complete bool // The body came to its end.
	Leaving  bool // The answer says that the worker leaves.
	Err      error
	After    time.Duration
}

// ids numbers the requests of the case.
var ids int

// newID returns the id of a further request.
func newID() string {
	ids++
	return fmt.Sprintf("%016x", 0x2c41d07b00000000+ids)
}

// send sends the call on a channel of its own and reads the answer. onEvent is called after each event.
func send(record *recorder, address string, c call, onEvent func(n int)) (a answer) {
	began := time.Now()
	a.Call = c.ID
	defer func() {
		a.After = time.Since(began)
		record.add("requester", "got", "request", c.ID, "status", a.Status, "events", len(a.Events), "complete", a.Complete,
			"after_ms", a.After.Milliseconds(), "error", fmt.Sprint(a.Err))
	}()
	if c.DeadlineMS == 0 {
		c.DeadlineMS = 5000
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.DeadlineMS)*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = "ficu95.example"
	req.Header.Set("Request-Id", c.ID)
	req.Header.Set("Deadline-Ms", fmt.Sprint(c.DeadlineMS))
	if c.Program != "" {
		req.Header.Set("Program-Id", c.Program)
		req.Header.Set("Session-Id", c.Program)
		req.Header.Set("Finish-Ms", "20000")
	}
	if c.MaxOutput > 0 {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Count", fmt.Sprintf("100,%d", c.MaxOutput))
		req.Header.Set("Prompt-Prefix", "5c1e07a2:60,91bd3f06:40")
		if c.Program != "" {
			req.Header.Set("Token-Budget", "100000")
		}
	}
	if c.Previous != "" {
		req.Header.Set("Previous-Turn", c.Previous)
	}
	if c.LastEvent != "" {
		req.Header.Set("Last-Event-Id", c.LastEvent)
		req.Header.Set("Resumes", c.Resumes)
	}
	record.add("requester", "sends", "request", c.ID, "to", address, "path", c.Path, "previous", c.Previous, "last_event", c.LastEvent,
		"resumes", c.Resumes, "body_bytes", len(c.Body), "body", shorten(c.Body))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Leaving = resp.StatusCode, resp.Header.Get("Server-Leaving") == "1"
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(resp.Body)
		a.Body, a.Err, a.Complete = string(body), err, err == nil
		return a
	}
	reader := bufio.NewReader(resp.Body)
	var current event
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			a.Complete = errors.Is(err, io.EOF) && line == "" && current == event{}
			if !a.Complete {
				a.Err = err
			}
			return a
		}
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch name {
		case "id":
			current.ID = value
		case "data":
			current.Data = value
		case "":
			a.Events = append(a.Events, current)
			current = event{}
			if onEvent != nil {
				onEvent(len(a.Events))
			}
		}
	}
}
