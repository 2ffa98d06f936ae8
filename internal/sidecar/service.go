package sidecar

import (
	"strings"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Headers that name a call to a service.
const (
	headerCallID         = "X-Call-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// serviceSilence bounds the silence of a service; the limit of a call is the deadline of its context.
const serviceSilence = 24 * time.Hour

// service speaks plain HTTP with a service.
type service struct {
	address string
	shared  *transport.Client // For idempotent calls.
	single  *transport.Client // For non-idempotent calls: each connection carries one request.
}

func newService(address string) *service {
	options := transport.ClientOptions{IdleTimeout: serviceSilence}
	return &service{address: address, shared: transport.NewClient(options), single: transport.NewClient(options)}
}

// runService executes a service call and ends it. The call is sent once, whatever happens.
func (s *Sidecar) runService(j *job) {
	req := j.request
	if !j.call.Begin(s.fences, nil) {
		return
	}
	ctx, cancel := callContext(s.ctx, req.TimeoutMS, s.settings.ServiceTimeout)
	defer cancel()
	client := s.service.single
	if req.Idempotent {
		client = s.service.shared
	}
	answer, err := client.Raw(ctx, req.HTTP.Method, s.service.address, "/"+strings.TrimPrefix(req.HTTP.Path, "/"),
		req.HTTP.Body, !req.Idempotent, serviceHeaders(req)...)
	if err != nil {
		s.noteFailure(j, err)
		j.call.Fail(s.classifyService(req, err))
		return
	}
	result := &api.Result{
		Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, Incarnation: s.incarnation,
	}
	code := api.CodeOK
	if answer.Status >= 400 {
		code = api.CodeBackendError
	}
	j.call.Done(result, code)
}

// serviceHeaders returns the headers that accompany the caller's body.
func serviceHeaders(req *api.CallRequest) []transport.Header {
	headers := []transport.Header{
		{Name: headerCallID, Value: req.CallID},
		{Name: headerIdempotencyKey, Value: req.CallID},
	}
	if req.HTTP.ContentType != "" {
		headers = append(headers, transport.Header{Name: "Content-Type", Value: req.HTTP.ContentType})
	}
	return headers
}

// classifyService returns the result code of a failed execution. Only a connection that was never made proves that a
// call did not run.
func (s *Sidecar) classifyService(req *api.CallRequest, err error) *api.Error {
	switch {
	case transport.IsNotSent(err):
		return api.Errorf(api.CodeBackendLost, "the service of %s does not accept connections: %v", s.settings.Name, err)
	case !req.Idempotent:
		return api.Errorf(api.CodeOutcomeUnknown, "call %s was sent to the service of %s, which gave no whole answer: %v",
			req.CallID, s.settings.Name, err)
	case isTimeout(err):
		return api.Errorf(api.CodeTimeout, "the service of %s did not answer call %s in time", s.settings.Name, req.CallID)
	default:
		return api.Errorf(api.CodeInterrupted, "the service of %s broke off call %s: %v", s.settings.Name, req.CallID, err)
	}
}
