package sidecar

import (
	"strings"
	"time"

	"github.com/redwinggauge/redwinggauge/internal/api"
	"github.com/redwinggauge/redwinggauge/internal/http1"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Headers that identify a call to a service.
const (
	headerCallID         = "X-Call-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// serviceIdleTimeout is the maximum time without data from a service within an answer. It is long because the context of
// the call bounds its execution.
const serviceIdleTimeout = 24 * time.Hour

// maxServiceAnswerBytes limits the answer of a service. Between processes it is a line of JSON, a third longer.
const maxServiceAnswerBytes = 8 << 20

// maxAnswersBytes limits the answers of all calls that run, so that the process stays small beside its backend server.
const maxAnswersBytes = 12 << 20

// service is an HTTP client of a plain service.
type service struct {
	address string
	client  *transport.Client
}

func newService(address string, onBrokenAnswer func(string, *http1.MalformedError)) *service {
	options := transport.ClientOptions{IdleTimeout: serviceIdleTimeout, MaxBodyBytes: maxServiceAnswerBytes, OnBrokenAnswer: onBrokenAnswer}
	return &service{address: address, client: transport.NewClient(options)}
}

// runService executes a service call. The request is sent at most once and never retried, on a connection of its own: a late
// second copy of an earlier answer cannot be told from the answer of the next request on its connection. The call has ended
// when runService returns.
func (s *Sidecar) runService(j *job) {
	req := j.request
	if !j.call.Begin(s.fences, nil) {
		return
	}
	ctx, cancel := callContext(s.ctx, req.TimeoutMS, s.settings.ServiceTimeout)
	defer cancel()
	account := s.answers.NewAccount()
	defer account.Release()
	answer, err := s.service.client.Raw(ctx, account, req.HTTP.Method, s.service.address, "/"+strings.TrimPrefix(req.HTTP.Path, "/"),
		req.HTTP.Body, true, serviceHeaders(req)...)
	if err != nil {
		s.recordFailure(j, err)
		j.call.Fail(s.serviceError(req, err))
		return
	}
	result := &api.Result{
		Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, Incarnation: s.incarnation,
	}
	code := api.CodeOK
	if answer.Status >= 400 {
		code = api.CodeBackendError
	}
	j.call.Complete(result, code)
}

// serviceHeaders returns the headers of the request to the service.
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

// serviceError maps the error of a failed service execution to a result code. Only the failure to open a connection
// proves that the call did not run.
func (s *Sidecar) serviceError(req *api.CallRequest, err error) *api.Error {
	switch {
	case transport.IsNotSent(err):
		return api.Errorf(api.CodeBackendLost, "the service of %s does not accept connections: %v", s.settings.Name, err)
	case !req.Idempotent:
		return api.Errorf(api.CodeOutcomeUnknown, "call %s was sent to the service of %s, which gave no complete answer: %v",
			req.CallID, s.settings.Name, err)
	case isTimeout(err):
		return api.Errorf(api.CodeTimeout, "the service of %s did not answer call %s in time", s.settings.Name, req.CallID)
	default:
		return api.Errorf(api.CodeInterrupted, "the service of %s interrupted call %s: %v", s.settings.Name, req.CallID, err)
	}
}
