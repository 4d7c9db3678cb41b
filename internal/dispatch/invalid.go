package dispatch

import (
	"errors"
	"fmt"
	"io"
	"net"

	"lynxgate.dev/lynxgate/internal/headlimit"
)

// ErrInvalidAnswer means that the bytes received are not an answer to this request: it may have run. An error that matches it is an
// *InvalidAnswerError.
var ErrInvalidAnswer = errors.New("not an answer to the request")

// InvalidCause is why bytes are not an answer, as a metric label.
type InvalidCause string

// Causes of an InvalidAnswerError.
const (
	// CauseMalformed is a head that is not that of an HTTP response.
	CauseMalformed InvalidCause = "malformed-head"
	// CauseIncomplete is a head whose connection ended, was closed or was silent before its end.
	CauseIncomplete InvalidCause = "incomplete-head"
	// CauseTooLarge is a head over headlimit.MaxBytes.
	CauseTooLarge InvalidCause = "head-too-large"
	// CauseSpliced is a head that another response has completed (headlimit.ErrSplicedHead).
	CauseSpliced InvalidCause = "spliced-head"
	// CauseStatus is a head that states none of HTTP's statuses (headlimit.ErrInvalidStatus).
	CauseStatus InvalidCause = "invalid-status"
	// CauseNoMemory is a head that was not read to its end for want of memory (Request.Memory).
	CauseNoMemory InvalidCause = "no-memory"
	// CauseOtherRequest is an answer to another request that could not be skipped, or too many that could.
	CauseOtherRequest InvalidCause = "other-request"
)

// InvalidAnswerError matches ErrInvalidAnswer and the error that it wraps.
type InvalidAnswerError struct {
	Cause InvalidCause
	err   error
}

func invalidAnswer(cause InvalidCause, format string, args ...any) error {
	return &InvalidAnswerError{Cause: cause, err: fmt.Errorf(format, args...)}
}

// invalidHead returns the error for a head that could not be read.
func invalidHead(err error) error {
	cause := CauseMalformed
	var network net.Error
	switch {
	case errors.Is(err, headlimit.ErrTooLarge):
		cause = CauseTooLarge
	case errors.Is(err, headlimit.ErrNoMemory):
		cause = CauseNoMemory
	case errors.Is(err, headlimit.ErrSplicedHead):
		cause = CauseSpliced
	case errors.Is(err, headlimit.ErrInvalidStatus):
		cause = CauseStatus
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		cause = CauseIncomplete
	}
	return &InvalidAnswerError{Cause: cause, err: err}
}

// Error implements error.
func (e *InvalidAnswerError) Error() string { return ErrInvalidAnswer.Error() + ": " + e.err.Error() }

// Is reports whether target is ErrInvalidAnswer.
func (e *InvalidAnswerError) Is(target error) bool { return target == ErrInvalidAnswer }

// Unwrap returns what is wrong with the bytes.
func (e *InvalidAnswerError) Unwrap() error { return e.err }
