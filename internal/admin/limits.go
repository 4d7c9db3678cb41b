package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"

	"github.com/labstack/echo/v4"

	"lynxgate.dev/lynxgate/internal/httplimit"
)

// limitHeader is middleware that rejects requests whose header is longer than
// limit bytes.
func limitHeader(limit int) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if httplimit.HeaderBytes(c.Request()) > limit {
				return failure(http.StatusRequestHeaderFieldsTooLarge, CodeHeaderTooLarge,
					fmt.Sprintf("the request's header is longer than %d bytes", limit))
			}
			return next(c)
		}
	}
}

// limitBody is middleware that makes reads of the body beyond limit bytes fail.
func limitBody(limit int64) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			r := c.Request()
			r.Body = http.MaxBytesReader(c.Response(), r.Body, limit)
			return next(c)
		}
	}
}

// readJSON decodes the body, which must be one JSON value without unknown fields.
func readJSON(c echo.Context, target any) error {
	if err := requireJSON(c.Request()); err != nil {
		return err
	}
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return badRequest("the body holds more than one JSON value")
	}
	return nil
}

func requireJSON(r *http.Request) error {
	contentType := r.Header.Get("Content-Type")
	if contentType == "" {
		return nil
	}
	media, _, err := mime.ParseMediaType(contentType)
	if err != nil || media != "application/json" {
		return failure(http.StatusUnsupportedMediaType, CodeUnsupportedBody,
			fmt.Sprintf("the body must be application/json, not %q", contentType))
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure(http.StatusRequestEntityTooLarge, CodeBodyTooLarge,
			fmt.Sprintf("the body is longer than %d bytes", tooLarge.Limit))
	}
	if err == io.EOF {
		return badRequest("the body is empty; JSON is needed")
	}
	return badRequest("the body is not the JSON wanted: " + err.Error())
}
