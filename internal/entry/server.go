package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/net/netutil"

	"lynxgate.dev/lynxgate/internal/httplimit"
	"lynxgate.dev/lynxgate/internal/outcome"
)

// DefaultLeaveGrace is how long a leaving entry still accepts new requests, so
// that the load balancer in front can detect it and answers can ask callers to
// close their keep-alive connections.
const DefaultLeaveGrace = time.Second

func (e *Entry) newServer() *http.Server {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.HTTPErrorHandler = writeRouteError
	router.Use(e.closeWhenLeaving)
	handler := e.limitHeader(echo.WrapHandler(http.HandlerFunc(e.serve)))
	router.POST("/v1/chat/completions", handler)
	router.POST("/v1/completions", handler)
	router.Any(servicesPrefix+":service", handler)
	router.Any(servicesPrefix+":service/*", handler)
	return &http.Server{
		Handler:           router,
		MaxHeaderBytes:    e.cfg.MaxHeaderBytes + httplimit.HeaderSlack,
		ReadHeaderTimeout: e.cfg.ReadHeaderTimeout,
		IdleTimeout:       e.cfg.IdleTimeout,
	}
}

// closeWhenLeaving closes keep-alive connections after an answer. Closing idle
// ones at once could lose requests in transit, and their callers could not know
// whether they ran.
func (e *Entry) closeWhenLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if e.leaving.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// writeRouteError answers requests that match no route.
func writeRouteError(err error, c echo.Context) {
	reason, detail := outcome.NotFound, fmt.Sprintf("path %s: no such resource", c.Request().URL.Path)
	var routed *echo.HTTPError
	if errors.As(err, &routed) && routed.Code == http.StatusMethodNotAllowed {
		reason, detail = outcome.InvalidRequest, fmt.Sprintf("method %s: not allowed here", c.Request().Method)
	}
	if !c.Response().Committed {
		_ = outcome.NewNotRun(reason, detail, 0).Write(c.Response())
	}
}

// limitHeader refuses requests whose header is over the limit.
func (e *Entry) limitHeader(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if size := httplimit.HeaderBytes(c.Request()); size > e.cfg.MaxHeaderBytes {
			o := outcome.NewNotRun(outcome.HeaderTooLarge, fmt.Sprintf("the header has %d bytes, the limit is %d", size, e.cfg.MaxHeaderBytes), 0)
			return o.Write(c.Response())
		}
		return next(c)
	}
}

func (e *Entry) serveHTTP(ctx context.Context, lis net.Listener) error {
	lis = netutil.LimitListener(lis, e.cfg.MaxConnections)
	stopped := context.AfterFunc(ctx, func() { _ = e.server.Close() })
	defer stopped()
	var err error
	if e.cfg.TLSCert != "" {
		err = e.server.ServeTLS(lis, e.cfg.TLSCert, e.cfg.TLSKey)
	} else {
		err = e.server.Serve(lis)
	}
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}
