package ports

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Outcomes under which calls are counted.
const (
	outcomeOK          = "ok"
	outcomeUnavailable = "unavailable"
	outcomeAmbiguous   = "ambiguous"
	outcomeTooLarge    = "too_large"
)

// count adds one exchange with an endpoint to the counter of its kind and outcome.
func (k *GatewayKV) count(kind, outcome string) {
	name := fmt.Sprintf(`redwinggauge_kv_calls_total{kind=%q,outcome=%q}`, kind, outcome)
	k.metrics.GetOrCreateCounter(name).Inc()
}

// endpoint returns the endpoint of the i-th attempt.
func (k *GatewayKV) endpoint(i int) (string, uint32) {
	index := (k.preferred.Load() + uint32(i)) % uint32(len(k.endpoints))
	return k.endpoints[index], index
}

// post sends one request to one endpoint within the adapter's timeout.
func (k *GatewayKV) post(ctx context.Context, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	return k.client.JSON(ctx, http.MethodPost, address, path, in, out)
}

// read asks the endpoints in turn until one answers. Its error wraps ErrUnavailable.
func (k *GatewayKV) read(ctx context.Context, kind, path string, in, out any) error {
	return k.ask(ctx, kind, path, in, out, func(error) bool { return true })
}

// write sends the request to the first endpoint that takes a connection, and to no other after that.
func (k *GatewayKV) write(ctx context.Context, kind, path string, in, out any) error {
	return k.ask(ctx, kind, path, in, out, transport.IsNotSent)
}

// ask sends the request to one endpoint after another until one answers or fails in a way after which mayGoOn says that
// no other may get it.
func (k *GatewayKV) ask(ctx context.Context, kind, path string, in, out any, mayGoOn func(error) bool) error {
	var last error
	for i := range k.endpoints {
		if err := ctx.Err(); err != nil {
			return errors.Join(ErrUnavailable, err, last)
		}
		address, index := k.endpoint(i)
		last = k.post(ctx, address, path, in, out)
		if last == nil {
			k.preferred.Store(index)
			k.count(kind, outcomeOK)
			return nil
		}
		if !mayGoOn(last) {
			k.preferred.Store((index + 1) % uint32(len(k.endpoints)))
			return k.classify(kind, last)
		}
		k.count(kind, outcomeUnavailable)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, last)
}

// classify maps the error of a write that was sent. Only an answer that proves that the write had no effect becomes
// ErrUnavailable, ErrTooLarge or ErrLeaseLapsed; everything else is ErrAmbiguous.
func (k *GatewayKV) classify(kind string, err error) error {
	var status *transport.StatusError
	if !errors.As(err, &status) {
		k.count(kind, outcomeAmbiguous)
		return fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	refusal, ok := gateway.DecodeError([]byte(status.Body))
	switch {
	case ok && refusal.Message == gateway.MessageTooLarge:
		k.count(kind, outcomeTooLarge)
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	case ok && refusal.Code == gateway.CodeNotFound && refusal.Message == gateway.MessageLeaseNotFound:
		k.count(kind, outcomeUnavailable)
		return fmt.Errorf("%w: %w", errors.Join(ErrUnavailable, ErrLeaseLapsed), err)
	case ok && hadNoEffect(refusal):
		k.count(kind, outcomeUnavailable)
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	k.count(kind, outcomeAmbiguous)
	return fmt.Errorf("%w: %w", ErrAmbiguous, err)
}

// hadNoEffect reports whether the refusal proves that the write was not applied. The codes "resource exhausted" and
// "unavailable" alone do not: an answer that is too large and a proposal that timed out carry them too.
func hadNoEffect(e gateway.Error) bool {
	switch e.Code {
	case gateway.CodeInvalidArgument:
		return true
	case gateway.CodeResourceExhausted:
		return e.Message == gateway.MessageTooManyRequests || e.Message == gateway.MessageNoSpace
	case gateway.CodeUnavailable:
		return e.Message == gateway.MessageNoLeader
	}
	return false
}
