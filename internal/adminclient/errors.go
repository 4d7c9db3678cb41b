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

// Error names the cause and every problem.
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

// UnreachableError says that no control server with a quorum answered in
// time; nothing was changed.
type UnreachableError struct {
	// Last is what the last attempt ended with.
	Last error
}

// Error names the last failure.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no control server with a quorum in reach: %v", e.Last)
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error { return e.Last }

// UnknownError says that a change was sent and no answer told what became of it.
type UnknownError struct {
	// OperationID to resend with; empty for changes of consensus members,
	// which are idempotent by themselves.
	OperationID string
	Last        error
}

// Error says how to find out.
func (e *UnknownError) Error() string {
	if e.OperationID == "" {
		return fmt.Sprintf("the result is not known; sending the same again is safe: %v", e.Last)
	}
	return fmt.Sprintf("the result is not known; resend with operation id %s to find out: %v", e.OperationID, e.Last)
}

// Unwrap returns the last failure.
func (e *UnknownError) Unwrap() error { return e.Last }

func noDefiniteAnswer(call call, mayHaveRun bool, last error) error {
	if mayHaveRun {
		return &UnknownError{OperationID: call.operationID, Last: last}
	}
	return &UnreachableError{Last: last}
}
