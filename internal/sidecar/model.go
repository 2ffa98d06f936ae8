package sidecar

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// runModel executes a model call and ends it.
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
	begun := time.Now()
	var answer completion
	err = s.stream(ctx, j, body, &answer)
	if err != nil {
		s.failModel(j, err, cancelled.Load())
		return
	}
	answer.result.ToolCalls = answer.tools.encode()
	answer.result.Incarnation = s.incarnation
	s.rates.observe(begun, time.Now(), &answer)
	s.remember(j, &answer)
	j.call.Done(&answer.result, api.CodeOK)
}

// stream sends the request and follows the answer.
func (s *Sidecar) stream(ctx context.Context, j *job, body []byte, answer *completion) error {
	stream, err := s.engine.Complete(ctx, body)
	if err != nil {
		return err
	}
	defer stream.Close()
	j.call.Started()
	return answer.Read(stream, j.call.Delta)
}

// remember keeps the program's history as it stands after the answer.
func (s *Sidecar) remember(j *job, answer *completion) {
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
	s.histories.Store(req.Program, j.baseHash, base, added)
}

// failModel ends a model call whose execution failed.
func (s *Sidecar) failModel(j *job, err error, cancelled bool) {
	req := j.request
	failure := s.classifyModel(req, err)
	if cancelled {
		return
	}
	if failure.Code == api.CodeTimeout {
		go s.cancelOnEngine(req)
	}
	s.noteFailure(j, err)
	j.call.Fail(failure)
}

// classifyModel returns the result code of a failed execution.
func (s *Sidecar) classifyModel(req *api.CallRequest, err error) *api.Error {
	var status *transport.StatusError
	var coded *api.Error
	var answered *errEngineAnswer
	switch {
	case transport.IsNotSent(err):
		return api.Errorf(api.CodeBackendLost, "the engine of %s does not accept connections: %v", s.settings.Name, err)
	case errors.As(err, &status) && (status.Status == 429 || status.Status == 503):
		return api.Errorf(api.CodeUnavailable, "the engine of %s refused call %s: %v", s.settings.Name, req.CallID, err)
	case errors.As(err, &status), errors.As(err, &coded), errors.As(err, &answered):
		return api.Errorf(api.CodeBackendError, "the engine of %s answered call %s with an error: %v", s.settings.Name, req.CallID, err)
	case isTimeout(err):
		return api.Errorf(api.CodeTimeout, "the engine of %s did not finish call %s in time: %v", s.settings.Name, req.CallID, err)
	default:
		return api.Errorf(api.CodeInterrupted, "the engine of %s broke off call %s: %v", s.settings.Name, req.CallID, err)
	}
}

// cancelOnEngine ends a request on the engine.
func (s *Sidecar) cancelOnEngine(req *api.CallRequest) {
	if err := s.engine.Cancel(engineRequestID(req)); err != nil {
		s.callLog(req).Warn("engine did not take the cancellation", "error", err)
	}
}

// callContext bounds an execution by the call's limit, or by fallback when it names none; 0 means no limit.
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
