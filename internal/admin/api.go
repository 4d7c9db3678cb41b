package admin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Defaults of Config.
const (
	DefaultMaxBodyBytes   = 8 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultRequestTimeout = 10 * time.Second
)

// Config of the API; the defaults above replace zero values.
type Config struct {
	Operators      []Operator
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// RequestTimeout bounds the handling of one request. The result of a
	// change that exceeds it is unknown.
	RequestTimeout time.Duration
	Logger         zerolog.Logger
	// Registerer registers the API's counters; may be nil.
	Registerer prometheus.Registerer
}

// Operator is a person or program that may use the API.
type Operator struct {
	Name string
	// KeyHash is the hex SHA-256 digest of the operator's key.
	KeyHash string
}

// API serves the requests of operators. It is safe for concurrent use.
type API struct {
	cfg     Config
	backend Backend
	keys    keyring
	metrics metrics
}

// New returns an API whose requests the backend carries out. It fails if the
// key hash of an operator is malformed.
func New(cfg Config, backend Backend) (*API, error) {
	setDefaults(&cfg)
	keys, err := newKeyring(cfg.Operators)
	if err != nil {
		return nil, err
	}
	return &API{cfg: cfg, backend: backend, keys: keys, metrics: newMetrics(cfg.Registerer)}, nil
}

func setDefaults(cfg *Config) {
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if cfg.MaxHeaderBytes == 0 {
		cfg.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if cfg.RequestTimeout == 0 {
		cfg.RequestTimeout = DefaultRequestTimeout
	}
}

// Register adds the API's routes to e. If NewEcho made e, requests with unknown
// paths and methods get JSON errors, too.
func (a *API) Register(e *echo.Echo) {
	// The middleware is added to each route because that of an echo group
	// answers 404 instead of 405.
	chain := []echo.MiddlewareFunc{
		a.count,
		limitHeader(a.cfg.MaxHeaderBytes),
		a.authenticate,
		limitBody(a.cfg.MaxBodyBytes),
		a.timeout,
	}
	e.GET(PathConfig, a.getConfig, chain...)
	e.POST(PathChanges, a.postChanges, chain...)
	e.GET(PathStatus, a.getStatus, chain...)
	e.GET(PathAudit, a.getAudit, chain...)
	e.POST(PathVMs+"/:vm/drain", a.drain(true), chain...)
	e.POST(PathVMs+"/:vm/undrain", a.drain(false), chain...)
	e.GET(PathServers, a.getServers, chain...)
	e.POST(PathServers, a.postServer, chain...)
	e.DELETE(PathServers+"/:name", a.deleteServer, chain...)
}

// NewEcho returns an echo instance whose errors are all JSON.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	return e
}

// Limits on clients of the API.
const (
	// readHeaderTimeout bounds the time to read a header. It equals the default
	// of the entries' read_header_timeout.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time to read a whole request.
	readTimeout = 30 * time.Second
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 2 * time.Minute
)

// NewHTTPServer returns a server with the API's header limit and timeouts. The
// server itself accepts headers up to twice maxHeaderBytes, so that the API can
// reject those above maxHeaderBytes with a JSON error.
func NewHTTPServer(addr string, handler http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Addr:              addr,
		Handler:           handler,
		MaxHeaderBytes:    2 * maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// timeout is middleware that sets the deadline of a request.
func (a *API) timeout(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), a.cfg.RequestTimeout)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

// count is middleware that counts requests by route and status. It writes
// errors itself, so that they are JSON with any error handler of echo.
func (a *API) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := next(c); err != nil {
			writeError(err, c)
		}
		a.metrics.request(c.Path(), c.Response().Status)
		return nil
	}
}

// readFailure converts an error of a read request to an API error.
func readFailure(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return failure(http.StatusServiceUnavailable, CodeNoQuorum, "no answer from a quorum in time")
	}
	return backendFailure(err)
}
