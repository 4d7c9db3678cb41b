package fleetdaemon

import (
	"context"
	"errors"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/durable"
	"lynxgate.dev/lynxgate/internal/fleetcontrol"
	"lynxgate.dev/lynxgate/internal/raftlog"
	"lynxgate.dev/lynxgate/internal/replica"
)

// Timing of the replicated log: a failed leader is replaced within about a second, so
// that a change is accepted within the second that operators wait, or when they
// retry.
const (
	tickInterval    = 50 * time.Millisecond
	electionTicks   = 10
	heartbeatTicks  = 2
	snapshotEntries = 400
	// retireAfter is longer than a restart or a network partition of some seconds.
	retireAfter = 6 * time.Second
	// spareAfter leaves time for an election within the 4 s after which the replacement
	// of a removed server counts as a full member (bounds.catchUpS).
	spareAfter = 2 * time.Second
	// openRetryPause is the pause between attempts to open a data folder.
	openRetryPause = 300 * time.Millisecond
)

// controlRole is a control server with the API for operators.
type controlRole struct {
	server *fleetcontrol.Server
	http   *http.Server
}

func newControlRole(stop context.Context, cfg *Config, registry prometheus.Registerer) (*controlRole, error) {
	server, err := openControl(stop, cfg)
	if err != nil {
		return nil, err
	}
	for _, c := range server.Collectors() {
		registry.MustRegister(c)
	}
	e := echo.New()
	cfg.Control.Mount(e, server)
	server.MountQuarantine(e)
	server.MountEvacuations(e)
	return &controlRole{server: server, http: &http.Server{
		Addr: cfg.Control.OperatorsAddr, Handler: e, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}}, nil
}

// openControl opens the log, and retries while the disk returns errors. It deletes the
// contents of a corrupt data folder: the server then joins as a new one, which the
// protocol treats like the loss of a disk.
func openControl(stop context.Context, cfg *Config) (*fleetcontrol.Server, error) {
	for {
		bootstrap, err := mayBootstrap(cfg.Control)
		var server *fleetcontrol.Server
		if err == nil {
			server, err = fleetcontrol.New(controlConfig(cfg, bootstrap))
		}
		if err == nil {
			return server, nil
		}
		cfg.Logger.Error().Err(err).Msg("control server not started; retrying")
		var corrupt *raftlog.CorruptError
		if errors.As(err, &corrupt) {
			if err := clearFolder(cfg.Control.DataFolder); err != nil {
				cfg.Logger.Error().Err(err).Msg("corrupt data folder not cleared")
			}
		}
		select {
		case <-time.After(openRetryPause):
		case <-stop.Done():
			return nil, err
		}
	}
}

// firstStartFile marks a data folder that was created at the first start of the whole
// system: its server may resume the bootstrap of the cluster after a crash.
const firstStartFile = "first-start"

// mayBootstrap reports whether this server may bootstrap the cluster.
func mayBootstrap(c *ControlConfig) (bool, error) {
	path := filepath.Join(c.DataFolder, firstStartFile)
	if !c.FirstStart {
		_, err := os.Stat(path)
		return err == nil, nil
	}
	if err := os.MkdirAll(c.DataFolder, 0o700); err != nil {
		return false, err
	}
	return true, durable.ReplaceFile(path, nil, 0o600)
}

func clearFolder(dir string) error {
	files, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, f := range files {
		if err := os.Remove(filepath.Join(dir, f.Name())); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

func controlConfig(cfg *Config, bootstrap bool) fleetcontrol.Config {
	c := cfg.Control
	r := replica.Config{
		Name: c.Member, Addr: cfg.RPCAddr, Dir: c.DataFolder,
		TickInterval: tickInterval, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		SnapshotEntries: snapshotEntries, JoinOnly: !bootstrap, AutoAddServers: true,
		RemoveLearnerAfter: retireAfter, RemoveVoterAfter: spareAfter, LostDisks: c.LostDisks, RetryWrites: true, Logger: cfg.Logger,
	}
	for name, addr := range c.Peers() {
		r.Peers = append(r.Peers, replica.Member{Name: name, Addr: addr})
	}
	return fleetcontrol.Config{
		Name: cfg.Name, Zone: cfg.Zone, Addr: cfg.RPCAddr, Replica: r, Seeds: cfg.Seeds,
		AnnounceInterval: cfg.AnnounceInterval, VersionBound: cfg.VersionBound, Decode: cfg.Decode, RegionOf: cfg.RegionOf, Logger: cfg.Logger,
	}
}

func (r *controlRole) register(mux *drpcmux.Mux) error { return r.server.Register(mux) }

func (r *controlRole) run(ctx context.Context) error {
	httpDone := make(chan error, 1)
	go func() { httpDone <- serveHTTP(ctx, r.http) }()
	err := r.server.Run(ctx)
	return errors.Join(err, <-httpDone)
}

// leave transfers leadership while calls are still served, and stops the log.
func (r *controlRole) leave(ctx context.Context) error { return r.server.Stop(ctx) }
