package admin

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
)

// retryAfterSeconds is the Retry-After of 503 and 504: about the duration of an
// election.
const retryAfterSeconds = 1

// apiError is an error that is sent to the client with its status and body.
type apiError struct {
	status int
	body   ErrorBody
}

// Error returns the human-readable text.
func (e *apiError) Error() string { return e.body.Error }

func failure(status int, code, text string) *apiError {
	return &apiError{status: status, body: ErrorBody{Code: code, Error: text}}
}

func badRequest(text string) *apiError {
	return failure(http.StatusBadRequest, CodeBadRequest, text)
}

// backendFailure converts an error of the backend to an API error.
func backendFailure(err error) error {
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return leaderHint(notLeader)
	case errors.Is(err, ErrNoQuorum):
		return failure(http.StatusServiceUnavailable, CodeNoQuorum, err.Error())
	case errors.Is(err, ErrInvalid):
		return failure(http.StatusUnprocessableEntity, CodeInvalid, err.Error())
	default:
		return failure(http.StatusInternalServerError, CodeInternal, err.Error())
	}
}

// changeFailure is backendFailure for requests that change something: unless
// the change is known to have failed, its result is reported as unknown.
func changeFailure(err error, operationID string) error {
	known := errors.As(err, new(*NotLeaderError)) || errors.Is(err, ErrNoQuorum) || errors.Is(err, ErrInvalid)
	if known && !errors.Is(err, ErrResultUnknown) {
		return backendFailure(err)
	}
	text := "the result is not known; the change may be accepted yet: resend it with the same operation id"
	if !errors.Is(err, ErrResultUnknown) && !errors.Is(err, context.DeadlineExceeded) {
		text += " (" + err.Error() + ")"
	}
	unknown := failure(http.StatusGatewayTimeout, CodeResultUnknown, text)
	unknown.body.OperationID = operationID
	return unknown
}

func leaderHint(err *NotLeaderError) error {
	if err.AdminAddr == "" {
		return failure(http.StatusServiceUnavailable, CodeNoQuorum, err.Error())
	}
	hint := failure(http.StatusMisdirectedRequest, CodeNotLeader, err.Error())
	hint.body.Leader = err.Leader
	hint.body.LeaderAdminAddr = err.AdminAddr
	return hint
}

// writeError sends any error as JSON.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	answer := toAPIError(err)
	switch answer.status {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		c.Response().Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	case http.StatusUnauthorized:
		c.Response().Header().Set("WWW-Authenticate", `Bearer realm="lynxgate operators"`)
	}
	// A write fails only when the client has disconnected, so the error is ignored.
	_ = c.JSON(answer.status, answer.body)
}

func toAPIError(err error) *apiError {
	var own *apiError
	if errors.As(err, &own) {
		return own
	}
	var framework *echo.HTTPError
	if !errors.As(err, &framework) {
		return failure(http.StatusInternalServerError, CodeInternal, err.Error())
	}
	switch framework.Code {
	case http.StatusNotFound:
		return failure(framework.Code, CodeNotFound, "no such path")
	case http.StatusMethodNotAllowed:
		return failure(framework.Code, CodeMethod, "this path doesn't take this method")
	case http.StatusInternalServerError:
		return failure(framework.Code, CodeInternal, framework.Error())
	default:
		return failure(framework.Code, CodeBadRequest, framework.Error())
	}
}
