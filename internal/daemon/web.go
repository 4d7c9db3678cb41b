package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lynxgate.dev/lynxgate/internal/admin"
)

// webShutdownTimeout bounds the graceful shutdown of the HTTP server.
const webShutdownTimeout = 5 * time.Second

// routes is implemented by roles that add routes to the daemon's HTTP server
// besides metrics and health.
type routes interface {
	mount(e *echo.Echo)
}

// webServer serves metrics, health and, for the control role, the operators'
// API on http_addr.
type webServer struct {
	server   *http.Server
	lis      net.Listener
	certFile string
	keyFile  string
}

func (d *daemon) newWebServer() (*webServer, error) {
	e := admin.NewEcho()
	metrics := promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})
	e.GET("/metrics", echo.WrapHandler(metrics))
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", d.readyz)
	for _, r := range d.roles {
		if more, ok := r.(routes); ok {
			more.mount(e)
		}
	}
	lis, err := net.Listen("tcp", d.settings.HTTPAddr)
	if err != nil {
		return nil, fmt.Errorf("http_addr: %w", err)
	}
	w := &webServer{lis: lis, server: admin.NewHTTPServer(d.settings.HTTPAddr, e, admin.DefaultMaxHeaderBytes)}
	if c := d.settings.Control; c != nil {
		w.certFile, w.keyFile = c.TLSCert, c.TLSKey
	}
	return w, nil
}

// readyz answers 200 when all roles are ready, and otherwise 503 with the reason
// of the first role that is not.
func (d *daemon) readyz(c echo.Context) error {
	for _, r := range d.roles {
		if reason, ok := r.ready(); !ok {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
	}
	return c.String(http.StatusOK, "ready\n")
}

// serve serves requests until ctx is done, then shuts the server down gracefully. It returns once
// the requests in progress have ended, or after webShutdownTimeout.
func (w *webServer) serve(ctx context.Context) error {
	ended := make(chan struct{})
	stopped := context.AfterFunc(ctx, func() {
		defer close(ended)
		shutdown, cancel := context.WithTimeout(context.Background(), webShutdownTimeout)
		defer cancel()
		_ = w.server.Shutdown(shutdown) // requests that last longer are broken off by the exit
	})
	defer stopped()
	var err error
	if w.certFile != "" {
		err = w.server.ServeTLS(w.lis, w.certFile, w.keyFile)
	} else {
		err = w.server.Serve(w.lis)
	}
	if errors.Is(err, http.ErrServerClosed) {
		<-ended
		return nil
	}
	return err
}
