package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"

	"github.com/valyala/fasthttp"

	"github.com/redwinggauge/redwinggauge/internal/api"
)

// Operator is a person, team or automated job with access to the operators' port.
type Operator struct {
	Name  string `yaml:"name" validate:"required,max=40"`
	Token string `yaml:"token" validate:"required,min=16"`
}

// Operators lists who has access to the operators' port. With an empty list, no one has access.
type Operators []Operator

// Authenticate returns the name of the operator whose token the request contains. To prevent timing attacks, its
// running time depends neither on the token's content nor on which operator it belongs to.
func (o Operators) Authenticate(ctx *fasthttp.RequestCtx) (string, *api.Error) {
	requestHash := sha256.Sum256(ctx.Request.Header.Peek(api.HeaderToken))
	found := -1
	for i := range o {
		operatorHash := sha256.Sum256([]byte(o[i].Token))
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(requestHash[:], operatorHash[:]), i, found)
	}
	if found < 0 || o[found].Token == "" {
		return "", api.Errorf(api.CodeUnauthorized, "the operator's token is missing or wrong")
	}
	return o[found].Name, nil
}
