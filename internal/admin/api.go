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

// Config of the API; zero fields take the defaults above.
type Config struct {
	Operators      []Operator
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// RequestTimeout bounds the work for one request. A change that runs
	// into it has an unknown result.
	RequestTimeout time.Duration
	Logger         zerolog.Logger
	// Registerer takes the API's counters; may be nil.
	Registerer prometheus.Registerer
}

// Operator is somebody who may use the API.
type Operator struct {
	Name string
	// KeyHash is the hex SHA-256 digest of the operator's key.
	KeyHash string
}

// API serves operators' requests. It is safe for concurrent use.
type API struct {
	cfg     Config
	backend Backend
	keys    keyring
	metrics metrics
}

// New returns the API over the backend.
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

// Register adds the API's routes to e. Where e comes from NewEcho, unknown
// paths and methods are answered with the API's JSON as well.
func (a *API) Register(e *echo.Echo) {
	// The middleware is given to each route: that of a group would answer
	// 404 where 405 is right.
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

// Bounds on the callers of an API.
const (
	// readHeaderTimeout bounds sending a header, as entries' read_header_timeout does
	// by default.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds sending a whole request.
	readTimeout = 30 * time.Second
	// idleTimeout closes a connection without requests.
	idleTimeout = 2 * time.Minute
)

// NewHTTPServer returns a server for the handler with the header limit and
// timeouts of an API. A header past maxHeaderBytes but under twice as much
// reaches the API, which can then answer in JSON.
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

// timeout bounds the work for one request.
func (a *API) timeout(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), a.cfg.RequestTimeout)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

// count counts requests by route and status. It writes errors itself, so
// that they are the API's JSON whatever error handler the echo instance has.
func (a *API) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := next(c); err != nil {
			writeError(err, c)
		}
		a.metrics.request(c.Path(), c.Response().Status)
		return nil
	}
}

// readFailure turns an error of a read into an answer.
func readFailure(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return failure(http.StatusServiceUnavailable, CodeNoQuorum, "no answer from a quorum in time")
	}
	return backendFailure(err)
}
