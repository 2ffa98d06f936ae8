package sidecar

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/limits"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// runModel executes a model call. The call has ended when runModel returns.
func (s *Sidecar) runModel(j *job) {
	req := j.request
	var cancelled atomic.Bool
	interrupt := func() {
		cancelled.Store(true)
		j.call.Fail(api.Errorf(api.CodeInterrupted, "call %s was cancelled while it ran", req.CallID))
		go s.cancelOnEngine(req)
	}
	if !j.call.Begin(s.fences, interrupt) {
		return
	}
	body, err := encodeCompletion(req, j.prompt)
	if err != nil {
		j.call.Fail(api.Errorf(api.CodeBadRequest, "%v", err))
		return
	}
	ctx, cancel := callContext(s.ctx, req.TimeoutMS, 0)
	defer cancel()
	startedAt := time.Now()
	account := s.answers.NewAccount()
	defer account.Release()
	answer := completion{limit: limits.NewAnswer(req.Model.MaxTokens), account: account}
	err = s.stream(ctx, j, body, &answer)
	if err != nil {
		s.failModel(j, err, cancelled.Load())
		return
	}
	answer.result.ToolCalls = answer.toolCalls.encode()
	answer.result.Incarnation = s.incarnation
	s.rates.observe(startedAt, time.Now(), &answer)
	s.storeHistory(j, &answer)
	j.call.Complete(&answer.result, api.CodeOK)
}

// stream sends the completion request and reads the answer to its end.
func (s *Sidecar) stream(ctx context.Context, j *job, body []byte, answer *completion) error {
	stream, err := s.engine.Complete(ctx, body)
	if err != nil {
		return err
	}
	defer stream.Close()
	stream.SetAccount(answer.account)
	j.call.AppendStarted()
	return answer.Read(stream, j.call.AppendText)
}

// storeHistory records the size of the program's prefix and stores its history including the answer, so that the next
// call can refer to it by its hash. It removes the history if the call requests no lease.
func (s *Sidecar) storeHistory(j *job, answer *completion) {
	req := j.request
	s.holds.SetTokens(req.Program, answer.result.Usage.Total())
	if req.Model.HoldMS <= 0 {
		s.histories.Remove(req.Program)
		return
	}
	added := make([]api.Message, 0, len(req.Model.Messages)+1)
	added = append(added, req.Model.Messages...)
	text := req.Model.ResumeText + string(answer.text)
	added = append(added, api.AssistantMessage(text, answer.result.ToolCalls))
	base := j.prompt[:len(j.prompt)-len(req.Model.Messages)]
	s.histories.Store(req.Program, j.historyHash, base, added)
}

// failModel ends a model call whose execution failed. A cancelled call has already ended.
func (s *Sidecar) failModel(j *job, err error, cancelled bool) {
	req := j.request
	failure := s.modelError(req, err)
	if cancelled {
		return
	}
	if failure.Code == api.CodeTimeout {
		go s.cancelOnEngine(req)
	}
	s.recordFailure(j, err)
	j.call.Fail(failure)
}

// modelError maps the error of a failed model execution to a result code.
func (s *Sidecar) modelError(req *api.CallRequest, err error) *api.Error {
	var status *transport.StatusError
	var apiErr *api.Error
	var streamErr *engineStreamError
	var tooLarge *limits.TooLargeError
	switch {
	case transport.IsNotSent(err):
		return api.Errorf(api.CodeBackendLost, "the engine of %s does not accept connections: %v", s.settings.Name, err)
	case errors.As(err, &status) && (status.Status == 429 || status.Status == 503):
		return api.Errorf(api.CodeUnavailable, "the engine of %s refused call %s: %v", s.settings.Name, req.CallID, err)
	case errors.As(err, &status), errors.As(err, &apiErr), errors.As(err, &streamErr), errors.As(err, &tooLarge):
		return api.Errorf(api.CodeBackendError, "the engine of %s answered call %s with an error: %v", s.settings.Name, req.CallID, err)
	case isTimeout(err):
		return api.Errorf(api.CodeTimeout, "the engine of %s did not finish call %s in time: %v", s.settings.Name, req.CallID, err)
	default:
		return api.Errorf(api.CodeInterrupted, "the engine of %s interrupted call %s: %v", s.settings.Name, req.CallID, err)
	}
}

// cancelOnEngine asks the engine to cancel the request of a call.
func (s *Sidecar) cancelOnEngine(req *api.CallRequest) {
	if err := s.engine.Cancel(engineRequestID(req)); err != nil {
		s.callLog(req).Warn("cannot cancel request on engine", "error", err)
	}
}

// callContext returns a context with the call's timeout, or with fallback when the call has none. A fallback of 0 means
// no timeout.
func callContext(parent context.Context, timeoutMS int64, fallback time.Duration) (context.Context, context.CancelFunc) {
	limit := time.Duration(timeoutMS) * time.Millisecond
	if limit <= 0 {
		limit = fallback
	}
	if limit <= 0 {
		return context.WithCancel(parent)
	}
	return context.WithTimeout(parent, limit)
}
