package sidecar

import (
	"strings"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/backend"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// bytesPerToken is the assumed average size of a token in bytes, for estimating the number of tokens of a text.
const bytesPerToken = 4

// admit starts the requested call or joins an existing execution of it, and returns a reader of its events. The code of
// an error proves that the request did not run.
func (s *Sidecar) admit(req *api.CallRequest) (*backend.Reader, *api.Error) {
	if err := s.validate(req); err != nil {
		return nil, err
	}
	if err := s.fences.Admit(req.Fence); err != nil {
		return nil, err
	}
	if req.Incarnation != "" && req.Incarnation != s.incarnation {
		return nil, api.Errorf(api.CodeUnavailable, "call %s is for incarnation %s of sidecar %s, but the current one is %s",
			req.CallID, req.Incarnation, s.settings.Name, s.incarnation)
	}
	started, err := s.ledger.Start(req, func() *api.Error { return s.checkNewCall(req) })
	if err != nil {
		return nil, err
	}
	if !started.New {
		return s.join(started.Call, req)
	}
	if started.Superseded != nil {
		s.cancelCall(started.Superseded)
	}
	s.metrics.calls.Inc()
	s.enqueue(started.Call, req)
	return started.Call.Attach(0, ""), nil
}

// join returns a reader of an existing execution. An execution may have been started to continue a longer text than the
// request's ResumeText; the reader then gets the missing part of that text first.
func (s *Sidecar) join(call *backend.Call, req *api.CallRequest) (*backend.Reader, *api.Error) {
	s.metrics.joins.Inc()
	if call.Request.Model == nil || req.Model == nil {
		return call.Attach(req.Offset, ""), nil
	}
	prefix, ok := strings.CutPrefix(call.Request.Model.ResumeText, req.Model.ResumeText)
	if !ok {
		return nil, api.Errorf(api.CodeCancelled, "the execution of attempt %d of call %s continues another text than the request's resume_text",
			req.Attempt, req.CallID)
	}
	return call.Attach(req.Offset, prefix), nil
}

// validate checks that the request is complete and that the backend server serves its kind of call.
func (s *Sidecar) validate(req *api.CallRequest) *api.Error {
	switch {
	case req.CallID == "" || req.Program == "":
		return api.Errorf(api.CodeBadRequest, "a call needs a call_id and a program")
	case req.Kind == api.KindModel && req.Model == nil, req.Kind == api.KindService && req.HTTP == nil:
		return api.Errorf(api.CodeBadRequest, "call %s has no request body for its kind %q", req.CallID, req.Kind)
	case req.Kind == api.KindModel && s.engine == nil, req.Kind == api.KindService && s.service == nil:
		return api.Errorf(api.CodeBadRequest, "sidecar %s accepts no calls of kind %q", s.settings.Name, req.Kind)
	case req.Kind != api.KindModel && req.Kind != api.KindService:
		return api.Errorf(api.CodeBadRequest, "call %s has the unknown kind %q", req.CallID, req.Kind)
	}
	return nil
}

// checkNewCall returns an error if no new execution may start for the request.
func (s *Sidecar) checkNewCall(req *api.CallRequest) *api.Error {
	if s.isDraining() {
		return api.Errorf(api.CodeDraining, "sidecar %s is draining", s.settings.Name)
	}
	if s.health.isUnresponsive() {
		return s.unresponsiveError()
	}
	if err := s.checkServing(req); err != nil {
		return err
	}
	if s.suspects.Mode(req.Fingerprint) == schedule.RunModeRefused {
		return api.Errorf(api.CodeCrashSuspect, "the body of call %s was running during %d crashes of backend servers",
			req.CallID, schedule.MaxCrashes)
	}
	return nil
}

// enqueue queues a new call, or ends it when its prompt cannot be assembled.
func (s *Sidecar) enqueue(call *backend.Call, req *api.CallRequest) {
	j := &job{call: call, request: req, queuedAt: time.Now()}
	j.alone = req.Alone || s.suspects.Mode(req.Fingerprint) == schedule.RunModeAlone
	if req.Kind == api.KindModel {
		s.holds.Pin(req.Program, req.Fence.Journal)
		if err := s.resolvePrompt(j); err != nil {
			call.Fail(err)
			s.finish(j)
			return
		}
	}
	prefill, _ := s.rates.get()
	s.dispatcher.Add(j, prefill)
}

// cancelCall ends a queued call and interrupts a running model call; a running service call continues. It returns the
// state of the call before the cancellation.
func (s *Sidecar) cancelCall(call *backend.Call) backend.State {
	previous := call.Cancel()
	if previous != backend.Queued {
		return previous
	}
	if j, ok := s.dispatcher.Remove(engineRequestID(call.Request)); ok {
		s.finish(j)
	}
	return previous
}

// resolvePrompt sets the job's prompt to the history followed by the new messages. The history is the one in the request,
// or the stored one that the request refers to by its hash.
func (s *Sidecar) resolvePrompt(j *job) *api.Error {
	model := j.request.Model
	history := model.History
	uncached := len(history) // Messages of the history that are not cached on the engine.
	j.historyHash = model.PrefixHash
	switch {
	case len(history) > 0:
		hash := api.HistoryHashOf(history)
		if model.PrefixHash != "" && model.PrefixHash != hash {
			return api.Errorf(api.CodeBadRequest, "the history of call %s has hash %s, but its prefix_hash is %s",
				j.request.CallID, hash, model.PrefixHash)
		}
		j.historyHash = hash
	case model.PrefixHash != "":
		found, ok := s.histories.Find(j.request.Program, model.PrefixHash)
		if !ok {
			return api.Errorf(api.CodeHistoryMissing, "this sidecar does not store the history with hash %s of program %s",
				model.PrefixHash, j.request.Program)
		}
		history, uncached = found, 0
	}
	j.prompt = append(history[:len(history):len(history)], model.Messages...)
	j.tokens = estimateTokens(history[:uncached]) + estimateTokens(model.Messages)
	return nil
}

// estimateTokens estimates the number of tokens of messages.
func estimateTokens(messages []api.Message) int {
	tokens := 0
	for _, m := range messages {
		tokens += len(m.Content)/bytesPerToken + 1
	}
	return tokens
}
