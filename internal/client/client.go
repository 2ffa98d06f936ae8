// Package client sends operators' requests to the entries and prints the results. The operators' commands share it.
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
	responseTimeout = 20 * time.Second // Longest time to wait for the response of one entry.
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// Client sends operators' requests to the entries, one after the other, until one responds. All requests are idempotent,
// so a request may be sent more than once: queries change nothing, a submission carries an idempotency key, and ending a
// program that has ended or draining a backend server that is draining succeeds.
type Client struct {
	entries []string // Addresses of the entries' operator ports.
	http    *transport.Client
}

// New returns a Client of the entries whose operator ports have the given addresses, host:port.
func New(entries []string, token string) *Client {
	options := transport.ClientOptions{Token: token, IdleTimeout: responseTimeout, RequestTimeout: responseTimeout}
	return &Client{entries: entries, http: transport.NewClient(options)}
}

// UnreachableError reports that no entry responded.
type UnreachableError struct {
	Entries []string
	Err     error // Error of the last entry that was tried.
	NotSent bool  // Whether it is certain that no entry has processed the request.
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no entry responded, tried %v: %v", e.Entries, e.Err)
}

// Unwrap returns the error of the last entry that was tried.
func (e *UnreachableError) Unwrap() error { return e.Err }

// call sends the request to one entry after the other until one responds. An entry that is draining counts as one that has
// not responded.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	unreachable := &UnreachableError{Entries: c.entries, NotSent: true, Err: errors.New("no entry address is given")}
	for _, entry := range c.entries {
		err := c.callEntry(ctx, entry, method, path, in, out)
		var apiErr *api.Error
		if err == nil || errors.As(err, &apiErr) && apiErr.Code != api.CodeDraining {
			return err
		}
		unreachable.Err = err
		unreachable.NotSent = unreachable.NotSent && (transport.IsNotSent(err) || apiErr != nil)
	}
	return unreachable
}

func (c *Client) callEntry(ctx context.Context, entry, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	return c.http.JSON(ctx, method, entry, path, in, out)
}

// Config returns the given configuration revision, or the newest one if revision is 0.
func (c *Client) Config(ctx context.Context, revision uint64) (httpapi.ConfigResponse, error) {
	path := api.PathAdminConfig
	if revision > 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	var out httpapi.ConfigResponse
	err := c.call(ctx, "GET", path, nil, &out)
	return out, err
}

// Submit sends the submission, again and again if necessary, until it is certain whether it was accepted or ctx ends. An
// error with CodeConfigUncertain means that it may have been accepted. Sending the same submission again finds out.
func (c *Client) Submit(ctx context.Context, s httpapi.SubmitRequest) (policy.Entry, error) {
	sent := false
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
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
		if waitBackoff(ctx, backoff) {
			continue
		}
		if !sent {
			return policy.Entry{}, err
		}
		return policy.Entry{}, api.Errorf(api.CodeConfigUncertain,
			"it is unknown whether the submission was accepted; run the same command again to find out (%v)", err)
	}
}

func isUncertain(err error) bool {
	var e *api.Error
	return errors.As(err, &e) && e.Code == api.CodeConfigUncertain
}

// waitBackoff waits for d. It returns false if ctx ends before.
func waitBackoff(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// History returns at most limit configuration revisions, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]policy.Entry, error) {
	var out httpapi.HistoryResponse
	err := c.call(ctx, "GET", fmt.Sprintf("%s?limit=%d", api.PathAdminHistory, limit), nil, &out)
	return nonNil(out.Entries), err
}

// Diff returns the changes between two configuration revisions.
func (c *Client) Diff(ctx context.Context, from, to uint64) ([]policy.Change, error) {
	var out httpapi.DiffResponse
	err := c.call(ctx, "GET", fmt.Sprintf("%s?from=%d&to=%d", api.PathAdminDiff, from, to), nil, &out)
	return nonNil(out.Changes), err
}

// Audit returns at most limit audit events, newest first.
func (c *Client) Audit(ctx context.Context, limit int) ([]policy.Event, error) {
	var out httpapi.AuditResponse
	err := c.call(ctx, "GET", fmt.Sprintf("%s?limit=%d", api.PathAdminAudit, limit), nil, &out)
	return nonNil(out.Events), err
}

// Programs returns at most limit programs, sorted by id, beginning after the given id.
func (c *Client) Programs(ctx context.Context, limit int, after string) ([]api.ProgramInfo, error) {
	var out api.ProgramList
	query := url.Values{"limit": {strconv.Itoa(limit)}, "after": {after}}
	err := c.call(ctx, "GET", api.PathAdminPrograms+"?"+query.Encode(), nil, &out)
	return nonNil(out.Programs), err
}

// Program returns one program.
func (c *Client) Program(ctx context.Context, id string) (api.ProgramInfo, error) {
	var out api.ProgramInfo
	err := c.call(ctx, "GET", api.PathAdminPrograms+"/"+url.PathEscape(id), nil, &out)
	return out, err
}

// EndProgram ends a program and its descendants. The reason is recorded in the audit trail.
func (c *Client) EndProgram(ctx context.Context, id, reason string) error {
	return c.call(ctx, "DELETE", api.PathAdminPrograms+"/"+url.PathEscape(id)+reasonQuery(reason), nil, nil)
}

// Backends returns the backend servers, sorted by id.
func (c *Client) Backends(ctx context.Context) ([]api.BackendInfo, error) {
	var out api.BackendList
	err := c.call(ctx, "GET", api.PathAdminBackends, nil, &out)
	return nonNil(out.Backends), err
}

// Drain instructs a backend server to refuse new work and to finish the work in progress. The reason is recorded in the
// audit trail.
func (c *Client) Drain(ctx context.Context, id, reason string) error {
	return c.call(ctx, "POST", api.PathAdminBackends+"/"+url.PathEscape(id)+"/drain"+reasonQuery(reason), nil, nil)
}

func reasonQuery(reason string) string { return "?" + url.Values{"reason": {reason}}.Encode() }

// nonNil returns a copy of items that is never nil, so that an empty list is encoded in JSON as [] and not as null.
func nonNil[T any](items []T) []T { return append([]T{}, items...) }
