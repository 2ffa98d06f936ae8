// Package api defines the messages that processes exchange and the numbered result code that every response carries.
package api

import (
	"errors"
	"fmt"
)

// Code is a numbered result code. Its hundreds digit is its Family. docs/ERRORS.md lists every code, and a test compares
// that page with the comments of the constants below.
type Code int

// Family groups codes by what they tell the caller about the execution of its request.
type Family int

// Families of result codes.
const (
	FamilyRan      Family = 1 // The request ran, and its outcome is known.
	FamilyNotRun   Family = 2 // The request did not run. Resending it is safe.
	FamilyUnknown  Family = 3 // It is unknown whether the request ran. The system never resends a non-idempotent request itself.
	FamilyCaller   Family = 4 // The request is invalid or not allowed. It did not run.
	FamilyOverload Family = 5 // The system is overloaded or a budget is spent. The request did not run.
	FamilyOperator Family = 6 // The outcome of an operator's request or of an order to an engine.
)

// Result codes.
const (
	CodeOK           Code = 100 // The request ran and succeeded.
	CodeBackendError Code = 101 // The request ran and the backend server answered with an error.

	CodeUnavailable      Code = 200 // No backend server could take the request.
	CodeNotOwner         Code = 201 // This entry does not own the program's journal.
	CodeStaleFence       Code = 202 // The request carried a fencing number below the highest one seen.
	CodeDraining         Code = 203 // The process is shutting down.
	CodeStoreUnavailable Code = 204 // The key-value service did not accept the commit in time.
	CodeOrderTimeout     Code = 205 // Earlier calls of the program did not arrive in time.
	CodeStaleConfig      Code = 206 // The entry cannot learn the configuration in force.
	CodeCancelled        Code = 207 // The request was cancelled before it started.
	CodeHistoryMissing   Code = 208 // The sidecar does not hold the history named by its hash.
	CodeBackendLost      Code = 209 // The backend server died before it started the request.
	CodeStreamUnknown    Code = 210 // It is not known what began the stream, or which of its events the caller has.

	CodeOutcomeUnknown Code = 300 // A non-idempotent request may have run.
	CodeInterrupted    Code = 301 // A repeatable request was interrupted: resend the same seq.
	CodeTimeout        Code = 302 // The backend server did not answer within the timeout of the action.
	CodeHistoryGap     Code = 303 // A call that the caller has issued is missing from the program's history.

	CodeBadRequest       Code = 400 // The request is malformed.
	CodeUnknownProgram   Code = 401 // The program does not exist or has ended and is forgotten.
	CodeProgramEnded     Code = 402 // The program has ended.
	CodeBodyMismatch     Code = 403 // The same seq was used with another body.
	CodeSeqOutOfRange    Code = 404 // The seq is zero or too far ahead.
	CodeUnknownService   Code = 405 // No such service, model, class or organisation.
	CodeMethodNotAllowed Code = 406 // The path does not accept the method.
	CodeBodyTooLarge     Code = 407 // The body exceeds the limit.
	CodeUnauthorized     Code = 408 // The token is missing or wrong.
	CodeNotFound         Code = 409 // The path does not exist.
	CodeCrashSuspect     Code = 410 // The request body has crashed two backend servers and is refused.
	CodeUnknownTurn      Code = 411 // No turn with the id that the call continues is kept.

	CodeOverloaded     Code = 500 // Queues are full: resend later.
	CodeBudgetCalls    Code = 501 // The program's budget of calls is spent.
	CodeBudgetTokens   Code = 502 // The program's budget of tokens is spent.
	CodeBudgetTime     Code = 503 // The program's budget of time is spent.
	CodeBudgetOrg      Code = 504 // The organisation's limit on programs under way is reached.
	CodeRetryExhausted Code = 505 // The retry budget is spent.
	CodeQuota          Code = 506 // The organisation's quota of calls is used up.
	CodeShare          Code = 507 // Capacity is short, and the organisation has used its share.

	CodeConfigConflict  Code = 600 // Another configuration revision won.
	CodeConfigInvalid   Code = 601 // The configuration is invalid.
	CodeConfigAccepted  Code = 602 // The configuration is accepted.
	CodeConfigUncertain Code = 603 // The key-value service could not be asked whether the configuration was accepted.
	CodeOrderStale      Code = 604 // The engine order is outdated: its sender no longer owns journal 0, or a newer order has started.
	CodeOrderBusy       Code = 605 // Another order is under way on the engine.
	CodeOrderRunning    Code = 606 // The order is under way on the engine: ask again for its outcome.
)

// Family returns the family of the code.
func (c Code) Family() Family { return Family(c / 100) }

// SafeToResend reports whether the code proves that the request did not run.
func (c Code) SafeToResend() bool {
	f := c.Family()
	return f == FamilyNotRun || f == FamilyOverload || f == FamilyCaller
}

// HTTPStatus returns the HTTP status of a response with the code.
func (c Code) HTTPStatus() int {
	switch c {
	case CodeOK, CodeConfigAccepted:
		return 200
	case CodeUnauthorized:
		return 401
	case CodeUnknownProgram, CodeNotFound, CodeUnknownService, CodeUnknownTurn:
		return 404
	case CodeMethodNotAllowed:
		return 405
	case CodeProgramEnded:
		return 410
	case CodeBodyTooLarge:
		return 413
	case CodeBodyMismatch, CodeStaleFence, CodeConfigConflict, CodeOrderStale, CodeOrderBusy, CodeOrderRunning:
		return 409
	case CodeTimeout:
		return 504
	case CodeOutcomeUnknown, CodeInterrupted, CodeHistoryGap, CodeBackendError:
		return 502
	case CodeOverloaded, CodeBudgetOrg, CodeRetryExhausted, CodeQuota, CodeShare, CodeBudgetCalls, CodeBudgetTokens, CodeBudgetTime:
		return 429
	}
	switch c.Family() {
	case FamilyCaller, FamilyOperator:
		return 400
	case FamilyNotRun:
		return 503
	default:
		return 500
	}
}

// Error is an error with a result code, as every process returns it to its callers.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Code, e.Message) }

// Errorf returns an Error with a formatted message.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// AsError returns the *Error in err's chain. If there is none, it returns a new one with the fallback code and err's text.
func AsError(err error, fallback Code) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: fallback, Message: err.Error()}
}

// ErrorBody is the JSON body of an error response. It has the structure that OpenAI clients parse.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the object in ErrorBody that describes the error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
	// Ran says whether the request ran: "yes", "no" or "unknown".
	Ran string `json:"ran"`
}

// Body returns the error as an ErrorBody.
func (e *Error) Body() ErrorBody {
	return ErrorBody{Error: ErrorDetail{Message: e.Message, Type: e.Code.Family().String(), Code: e.Code, Ran: e.Code.Ran()}}
}

// Ran says whether the request ran: "yes", "no" or "unknown".
func (c Code) Ran() string {
	switch c.Family() {
	case FamilyRan:
		return "yes"
	case FamilyUnknown:
		return "unknown"
	default:
		return "no"
	}
}

// String returns the family's name, which error responses carry in their type field.
func (f Family) String() string {
	switch f {
	case FamilyRan:
		return "ran"
	case FamilyNotRun:
		return "not_run"
	case FamilyUnknown:
		return "outcome_unknown"
	case FamilyCaller:
		return "caller_mistake"
	case FamilyOverload:
		return "overload_or_budget"
	case FamilyOperator:
		return "operator"
	default:
		return "unclassified"
	}
}
