package platform

import (
	"testing"

	"github.com/matryer/is"

	"github.com/redwinggauge/redwinggauge/internal/platform/gateway"
)

func TestOnlyKnownRefusalsProveThatAWriteHadNoEffect(t *testing.T) {
	is := is.New(t)
	is.True(hadNoEffect(gateway.Error{Code: gateway.CodeResourceExhausted, Message: gateway.MessageTooManyRequests}))
	is.True(hadNoEffect(gateway.Error{Code: gateway.CodeUnavailable, Message: gateway.MessageNoLeader}))
	is.True(!hadNoEffect(gateway.Error{Code: gateway.CodeUnavailable, Message: gateway.MessageTimedOut}))
	is.True(!hadNoEffect(gateway.Error{Code: gateway.CodeResourceExhausted, Message: "grpc: received message larger than max"}))
	is.True(!hadNoEffect(gateway.Error{Code: 2, Message: "unknown"}))
}
