package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// errorBody is the JSON of an error answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    Reason `json:"type"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	// RetryAfterMS is 0 when no retry delay is suggested.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// notRunStatus maps reasons to HTTP statuses for requests that certainly did
// not run. The default is 503.
var notRunStatus = map[Reason]int{
	InvalidRequest:           http.StatusBadRequest,
	MissingIdempotencyKey:    http.StatusBadRequest,
	Unauthorized:             http.StatusUnauthorized,
	NotFound:                 http.StatusNotFound,
	BodyTooLarge:             http.StatusRequestEntityTooLarge,
	HeaderTooLarge:           http.StatusRequestHeaderFieldsTooLarge,
	IdempotencyKeyReused:     http.StatusUnprocessableEntity,
	IdempotencyKeyInProgress: http.StatusConflict,
	RateLimited:              http.StatusTooManyRequests,
	ConcurrencyLimited:       http.StatusTooManyRequests,
	TokensLimited:            http.StatusTooManyRequests,
	DeadlineExceeded:         http.StatusGatewayTimeout,
	BackendRefused:           http.StatusBadGateway,
}

// unknownStatus maps reasons to HTTP statuses for requests that may have run.
// The default is 502.
var unknownStatus = map[Reason]int{
	IdempotencyKeyInProgress: http.StatusConflict,
	ClaimUnknown:             http.StatusConflict,
	DeadlineExceeded:         http.StatusGatewayTimeout,
}

// Status returns the HTTP status of an outcome. A request that may have run
// never gets a 503, since proxies and client libraries retry a 503 on their own.
func (o Outcome) Status() int {
	switch o.Kind {
	case Completed:
		return http.StatusOK
	case NotRun:
		return lookup(notRunStatus, o.Reason, http.StatusServiceUnavailable)
	default:
		return lookup(unknownStatus, o.Reason, http.StatusBadGateway)
	}
}

func lookup(statuses map[Reason]int, reason Reason, otherwise int) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return otherwise
}

// RetryAfterHeader returns the value of the Retry-After header: whole
// seconds, rounded up, at least 1. It is empty when no retry delay is suggested.
func (o Outcome) RetryAfterHeader() string {
	if o.RetryAfter <= 0 {
		return ""
	}
	seconds := (o.RetryAfter + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}

// Body returns the JSON error body
// {"error":{"type","message","outcome","retry_after_ms"}}.
func (o Outcome) Body() []byte {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Type:         o.Reason,
		Message:      o.message(),
		Outcome:      o.Kind.String(),
		RetryAfterMS: ceilMillis(o.RetryAfter),
	}})
	if err != nil {
		panic("outcome: marshal error body: " + err.Error())
	}
	return body
}

func (o Outcome) message() string {
	if o.Detail != "" {
		return o.Detail
	}
	if o.Kind == NotRun {
		return "the request did not run"
	}
	return "the request may have run"
}

func ceilMillis(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Write sends the outcome as an HTTP error answer. It must be called before
// anything else is written.
func (o Outcome) Write(w http.ResponseWriter) error {
	w.Header().Set("Content-Type", "application/json")
	if after := o.RetryAfterHeader(); after != "" {
		w.Header().Set("Retry-After", after)
	}
	w.WriteHeader(o.Status())
	_, err := w.Write(o.Body())
	return err
}

// Event returns the outcome as the final server-sent event of a stream that
// failed after its header was sent. It is never followed by [DONE].
func (o Outcome) Event() []byte {
	event := append([]byte("event: error\ndata: "), o.Body()...)
	return append(event, "\n\n"...)
}
