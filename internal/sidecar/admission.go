package sidecar

import (
	"strings"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/backend"
	"github.com/redwinggauge/redwinggauge/internal/schedule"
)

// bytesPerToken estimates the tokens of a text.
const bytesPerToken = 4

// admit returns a reader of the call that answers the request, new or joined. An error proves that the request did not
// run.
func (s *Sidecar) admit(req *api.CallRequest) (*backend.Reader, *api.Error) {
	if err := s.check(req); err != nil {
		return nil, err
	}
	if err := s.fences.Admit(req.Fence); err != nil {
		return nil, err
	}
	if req.Incarnation != "" && req.Incarnation != s.incarnation {
		return nil, api.Errorf(api.CodeUnavailable, "call %s names incarnation %s of sidecar %s, which now runs as %s",
			req.CallID, req.Incarnation, s.settings.Name, s.incarnation)
	}
	started, err := s.ledger.Start(req, func() *api.Error { return s.refuseNew(req) })
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

// join returns a reader of a call that is held already. An execution that continues more text than the request names
// answers with the difference first.
func (s *Sidecar) join(call *backend.Call, req *api.CallRequest) (*backend.Reader, *api.Error) {
	s.metrics.joins.Inc()
	if call.Request.Model == nil || req.Model == nil {
		return call.Attach(req.Offset, ""), nil
	}
	lead, ok := strings.CutPrefix(call.Request.Model.ResumeText, req.Model.ResumeText)
	if !ok {
		return nil, api.Errorf(api.CodeCancelled, "attempt %d of call %s runs, but not after the text that the request names",
			req.Attempt, req.CallID)
	}
	return call.Attach(req.Offset, lead), nil
}

// check validates the request.
func (s *Sidecar) check(req *api.CallRequest) *api.Error {
	switch {
	case req.CallID == "" || req.Program == "":
		return api.Errorf(api.CodeBadRequest, "a call needs a call_id and a program")
	case req.Kind == api.KindModel && req.Model == nil, req.Kind == api.KindService && req.HTTP == nil:
		return api.Errorf(api.CodeBadRequest, "call %s lacks the part of its kind %q", req.CallID, req.Kind)
	case req.Kind == api.KindModel && s.engine == nil, req.Kind == api.KindService && s.service == nil:
		return api.Errorf(api.CodeBadRequest, "sidecar %s takes no calls of kind %q", s.settings.Name, req.Kind)
	case req.Kind != api.KindModel && req.Kind != api.KindService:
		return api.Errorf(api.CodeBadRequest, "call %s has the unknown kind %q", req.CallID, req.Kind)
	}
	return nil
}

// refuseNew refuses a request that would start an execution while none may start.
func (s *Sidecar) refuseNew(req *api.CallRequest) *api.Error {
	if s.isDraining() {
		return api.Errorf(api.CodeDraining, "sidecar %s is draining", s.settings.Name)
	}
	if s.health.isSilent() {
		return s.silentError()
	}
	if err := s.refuseModel(req); err != nil {
		return err
	}
	if s.suspects.Verdict(req.Fingerprint) == schedule.RunModeRefused {
		return api.Errorf(api.CodeCrashSuspect, "the body of call %s was running when %d backend servers died",
			req.CallID, schedule.MaxCrashes)
	}
	return nil
}

// enqueue queues a new call, or ends it when its history is missing.
func (s *Sidecar) enqueue(call *backend.Call, req *api.CallRequest) {
	j := &job{call: call, request: req, queued: time.Now()}
	j.alone = req.Alone || s.suspects.Verdict(req.Fingerprint) == schedule.RunModeAlone
	if req.Kind == api.KindModel {
		s.holds.Begin(req.Program, req.Fence.Journal)
		if err := s.resolve(j); err != nil {
			call.Fail(err)
			s.finish(j)
			return
		}
	}
	prefill, _ := s.rates.get()
	s.dispatcher.Add(j, prefill)
}

// cancelCall ends a call unless it runs and may not be repeated. It returns the stage that it found.
func (s *Sidecar) cancelCall(call *backend.Call) backend.State {
	found := call.Cancel()
	if found != backend.Queued {
		return found
	}
	if j, ok := s.dispatcher.Remove(engineRequestID(call.Request)); ok {
		s.finish(j)
	}
	return found
}

// resolve sets the job's prompt: the history, sent along or held here, followed by the new messages.
func (s *Sidecar) resolve(j *job) *api.Error {
	model := j.request.Model
	history := model.History
	computed := len(history) // Messages of the history that the engine has to compute.
	j.baseHash = model.PrefixHash
	switch {
	case len(history) > 0:
		hash := api.HistoryHashOf(history)
		if model.PrefixHash != "" && model.PrefixHash != hash {
			return api.Errorf(api.CodeBadRequest, "the history of call %s has the hash %s, not %s",
				j.request.CallID, hash, model.PrefixHash)
		}
		j.baseHash = hash
	case model.PrefixHash != "":
		found, ok := s.histories.Find(j.request.Program, model.PrefixHash)
		if !ok {
			return api.Errorf(api.CodeHistoryMissing, "the history %s of program %s is not held here",
				model.PrefixHash, j.request.Program)
		}
		history, computed = found, 0
	}
	j.prompt = append(history[:len(history):len(history)], model.Messages...)
	j.tokens = promptTokens(history[:computed]) + promptTokens(model.Messages)
	return nil
}

// promptTokens estimates the tokens of messages.
func promptTokens(messages []api.Message) int {
	tokens := 0
	for _, m := range messages {
		tokens += len(m.Content)/bytesPerToken + 1
	}
	return tokens
}
