package ports

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
	"github.com/redwinggauge/redwinggauge/internal/transport"
)

// Values of the label outcome of the counter of calls.
const (
	outcomeOK          = "ok"
	outcomeUnavailable = "unavailable"
	outcomeAmbiguous   = "ambiguous"
	outcomeTooLarge    = "too_large"
)

// count counts one request to an endpoint by kind and outcome.
func (k *EtcdKV) count(kind, outcome string) {
	name := fmt.Sprintf(`redwinggauge_kv_calls_total{kind=%q,outcome=%q}`, kind, outcome)
	k.metrics.GetOrCreateCounter(name).Inc()
}

// endpoint returns the address and the index of the endpoint for the i-th attempt.
func (k *EtcdKV) endpoint(i int) (string, uint32) {
	index := (k.preferred.Load() + uint32(i)) % uint32(len(k.endpoints))
	return k.endpoints[index], index
}

// post sends one request to one endpoint, with the request timeout.
func (k *EtcdKV) post(ctx context.Context, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	return k.client.JSON(ctx, http.MethodPost, address, path, in, out)
}

// read sends the request to each endpoint in turn until one answers. Its error wraps ErrUnavailable.
func (k *EtcdKV) read(ctx context.Context, kind, path string, in, out any) error {
	return k.tryEndpoints(ctx, kind, path, in, out, func(error) bool { return true })
}

// write sends the request to only one endpoint, because it must not take effect twice. It tries another endpoint only if the
// request was provably not sent.
func (k *EtcdKV) write(ctx context.Context, kind, path string, in, out any) error {
	return k.tryEndpoints(ctx, kind, path, in, out, transport.IsNotSent)
}

// tryEndpoints sends the request to each endpoint in turn until one answers, or fails with an error for which mayRetry returns
// false.
func (k *EtcdKV) tryEndpoints(ctx context.Context, kind, path string, in, out any, mayRetry func(error) bool) error {
	var lastErr error
	for i := range k.endpoints {
		if err := ctx.Err(); err != nil {
			return errors.Join(ErrUnavailable, err, lastErr)
		}
		address, index := k.endpoint(i)
		lastErr = k.post(ctx, address, path, in, out)
		if lastErr == nil {
			k.preferred.Store(index)
			k.count(kind, outcomeOK)
			return nil
		}
		if !mayRetry(lastErr) {
			k.preferred.Store((index + 1) % uint32(len(k.endpoints)))
			return k.classify(kind, lastErr)
		}
		k.count(kind, outcomeUnavailable)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, lastErr)
}

// classify counts the failure of a write that was sent, and wraps its error according to the effect. An answer that proves that
// the write had no effect gives ErrUnavailable, ErrTooLarge or ErrLeaseExpired. Everything else gives ErrAmbiguous.
func (k *EtcdKV) classify(kind string, err error) error {
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
		return fmt.Errorf("%w: %w", errors.Join(ErrUnavailable, ErrLeaseExpired), err)
	case ok && hadNoEffect(refusal):
		k.count(kind, outcomeUnavailable)
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	k.count(kind, outcomeAmbiguous)
	return fmt.Errorf("%w: %w", ErrAmbiguous, err)
}

// hadNoEffect reports whether the error answer proves that the write was not applied. The codes "resource exhausted" and
// "unavailable" alone do not prove it: they also occur for an answer that is too large, and for a proposal that timed out.
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
