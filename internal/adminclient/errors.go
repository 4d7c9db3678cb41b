package adminclient

import (
	"fmt"
	"net/http"
	"strings"

	"lynxgate.dev/lynxgate/internal/admin"
)

// APIError is a definite refusal by a control server.
type APIError struct {
	// Status is the HTTP status.
	Status int
	// Server that answered.
	Server string
	Body   admin.ErrorBody
}

// Error includes the reason and every problem.
func (e *APIError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Server, e.Body.Error)
	if e.Body.Error == "" {
		text = fmt.Sprintf("%s: %s", e.Server, http.StatusText(e.Status))
	}
	if len(e.Body.Problems) > 0 {
		text += "\n  " + strings.Join(e.Body.Problems, "\n  ")
	}
	return text
}

// UnreachableError means that no control server with a quorum answered in time.
// Nothing was changed.
type UnreachableError struct {
	// Last is the error of the last attempt.
	Last error
}

// Error includes the error of the last attempt.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no control server with a quorum in reach: %v", e.Last)
}

// Unwrap returns the error of the last attempt.
func (e *UnreachableError) Unwrap() error { return e.Last }

// UnknownError means that a change was sent and no answer gave its result.
type UnknownError struct {
	// OperationID to resend with; empty for changes of consensus members,
	// which are idempotent by themselves.
	OperationID string
	Last        error
}

// Error says how to obtain the result.
func (e *UnknownError) Error() string {
	if e.OperationID == "" {
		return fmt.Sprintf("the result is not known; sending the same again is safe: %v", e.Last)
	}
	return fmt.Sprintf("the result is not known; resend with operation id %s to find out: %v", e.OperationID, e.Last)
}

// Unwrap returns the error of the last attempt.
func (e *UnknownError) Unwrap() error { return e.Last }

func noDefiniteAnswer(call call, mayHaveRun bool, last error) error {
	if mayHaveRun {
		return &UnknownError{OperationID: call.operationID, Last: last}
	}
	return &UnreachableError{Last: last}
}
