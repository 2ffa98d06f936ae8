package ports

import (
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/ports/gateway"
)

func TestOnlyKnownRefusalsProveThatAWriteHadNoEffect(t *testing.T) {
	is := is.New(t)
	is.True(hadNoEffect(gateway.Error{Code: gateway.CodeResourceExhausted, Message: gateway.MessageTooManyRequests}))
	is.True(hadNoEffect(gateway.Error{Code: gateway.CodeUnavailable, Message: gateway.MessageNoLeader}))
	is.True(!hadNoEffect(gateway.Error{Code: gateway.CodeUnavailable, Message: gateway.MessageTimedOut}))
	is.True(!hadNoEffect(gateway.Error{Code: gateway.CodeResourceExhausted, Message: "grpc: received message larger than max"}))
	is.True(!hadNoEffect(gateway.Error{Code: 2, Message: "unknown"}))
}
