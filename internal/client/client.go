// Package client is the operators' client of the entries, shared by the subcommands.
package client

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/policy"
	"github.com/redwinggauge/redwinggauge/internal/policy/httpapi"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

const (
	answerTimeout = 20 * time.Second // Longest silence of an entry.
	firstPause    = 100 * time.Millisecond
	maxPause      = 2 * time.Second
)

// Client sends operators' requests to the first entry that answers. Every request may be sent more than once: reading
// changes nothing, a submission carries an idempotency key, and ending or draining what has ended or drains succeeds.
type Client struct {
	entries []string // Addresses of the entries' operator ports.
	http    *transport.Client
}

// New returns a Client of the entries at the addresses.
func New(entries []string, token string) *Client {
	options := transport.ClientOptions{Token: token, IdleTimeout: answerTimeout, RequestTimeout: answerTimeout}
	return &Client{entries: entries, http: transport.NewClient(options)}
}

// UnreachableError says that no entry answered.
type UnreachableError struct {
	Entries []string
	Err     error // Of the last entry.
	NotSent bool  // The request reached none of them.
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("none of the entries %v answered: %v", e.Entries, e.Err)
}

// Unwrap returns the last entry's error.
func (e *UnreachableError) Unwrap() error { return e.Err }

// call sends the request to each entry in turn until one answers.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	failed := &UnreachableError{Entries: c.entries, NotSent: true, Err: errors.New("no address is given")}
	for _, entry := range c.entries {
		err := c.ask(ctx, entry, method, path, in, out)
		var answered *api.Error
		if err == nil || errors.As(err, &answered) && answered.Code != api.CodeDraining {
			return err
		}
		failed.Err = err
		failed.NotSent = failed.NotSent && (transport.IsNotSent(err) || answered != nil)
	}
	return failed
}

func (c *Client) ask(ctx context.Context, entry, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return c.http.JSON(ctx, method, entry, path, in, out)
}

// Config returns the newest revision, or the given one when revision is above 0.
func (c *Client) Config(ctx context.Context, revision uint64) (httpapi.ConfigResponse, error) {
	path := api.PathAdminConfig
	if revision > 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	var out httpapi.ConfigResponse
	err := c.call(ctx, "GET", path, nil, &out)
	return out, err
}

// Submit sends the submission until it is settled or ctx ends. Its error has CodeConfigUncertain when it may have been
// accepted; sending the same submission again settles it.
func (c *Client) Submit(ctx context.Context, s httpapi.SubmitRequest) (policy.Entry, error) {
	sent := false
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		var out httpapi.SubmitResponse
		err := c.call(ctx, "POST", api.PathAdminConfig, s, &out)
		var unreachable *UnreachableError
		if errors.As(err, &unreachable) {
			sent = sent || !unreachable.NotSent
		} else if !isUncertain(err) {
			return out.Entry, err
		} else {
			sent = true
		}
		if wait(ctx, pause) {
			continue
		}
		if !sent {
			return policy.Entry{}, err
		}
		return policy.Entry{}, api.Errorf(api.CodeConfigUncertain,
			"it is not known whether the submission was accepted; run the same command again to learn it (%v)", err)
	}
}

func isUncertain(err error) bool {
	var e *api.Error
	return errors.As(err, &e) && e.Code == api.CodeConfigUncertain
}

// wait waits for d; false when ctx ends before.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// History returns the newest revisions, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]policy.Entry, error) {
	var out httpapi.HistoryResponse
	err := c.call(ctx, "GET", fmt.Sprintf("%s?limit=%d", api.PathAdminHistory, limit), nil, &out)
	return list(out.Entries), err
}

// Diff returns what changed between two revisions.
func (c *Client) Diff(ctx context.Context, from, to uint64) ([]policy.Change, error) {
	var out httpapi.DiffResponse
	err := c.call(ctx, "GET", fmt.Sprintf("%s?from=%d&to=%d", api.PathAdminDiff, from, to), nil, &out)
	return list(out.Changes), err
}

// Audit returns the newest audit events, newest first.
func (c *Client) Audit(ctx context.Context, limit int) ([]policy.Event, error) {
	var out httpapi.AuditResponse
	err := c.call(ctx, "GET", fmt.Sprintf("%s?limit=%d", api.PathAdminAudit, limit), nil, &out)
	return list(out.Events), err
}

// Programs returns programs in order of their ids, beginning after the given one.
func (c *Client) Programs(ctx context.Context, limit int, after string) ([]api.ProgramInfo, error) {
	var out api.ProgramList
	query := url.Values{"limit": {strconv.Itoa(limit)}, "after": {after}}
	err := c.call(ctx, "GET", api.PathAdminPrograms+"?"+query.Encode(), nil, &out)
	return list(out.Programs), err
}

// Program returns one program.
func (c *Client) Program(ctx context.Context, id string) (api.ProgramInfo, error) {
	var out api.ProgramInfo
	err := c.call(ctx, "GET", api.PathAdminPrograms+"/"+url.PathEscape(id), nil, &out)
	return out, err
}

// EndProgram ends a program with its descendants.
func (c *Client) EndProgram(ctx context.Context, id, reason string) error {
	return c.call(ctx, "DELETE", api.PathAdminPrograms+"/"+url.PathEscape(id)+reasonQuery(reason), nil, nil)
}

// Backends returns the backend servers in order of their ids.
func (c *Client) Backends(ctx context.Context) ([]api.BackendInfo, error) {
	var out api.BackendList
	err := c.call(ctx, "GET", api.PathAdminBackends, nil, &out)
	return list(out.Backends), err
}

// Drain tells a backend server to take no more work and to finish what it has.
func (c *Client) Drain(ctx context.Context, id, reason string) error {
	return c.call(ctx, "POST", api.PathAdminBackends+"/"+url.PathEscape(id)+"/drain"+reasonQuery(reason), nil, nil)
}

func reasonQuery(reason string) string { return "?" + url.Values{"reason": {reason}}.Encode() }

// list returns items, empty rather than nil, so that it is an array in JSON.
func list[T any](items []T) []T { return append([]T{}, items...) }
