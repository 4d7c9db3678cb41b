package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/fleetcontrol"
	"lynxgate.dev/lynxgate/internal/fleetdaemon"
	"lynxgate.dev/lynxgate/internal/logsink"
	"lynxgate.dev/lynxgate/platform"
)

const (
	// logTime tells the milliseconds, by which lines of one request are ordered.
	logTime = "2006-01-02T15:04:05.000Z07:00"
	// exitMargin is how long before the end of the grace period the process ends
	// whatever hangs, a stalled disk for example.
	exitMargin = 150 * time.Millisecond
	// settingsPoll is how often the settings file is looked at: it may change
	// without a signal.
	settingsPoll = 2 * time.Second
	// memoryShare of the memory that the process may use is the limit above which
	// garbage is collected at any cost.
	memoryShare = 0.7
	// gcPercent trades processor time for memory, of which VMs have little.
	gcPercent = 60
)

// liveSettings are the settings as of now.
type liveSettings struct {
	path    string
	data    []byte
	current atomic.Pointer[platform.Settings]
}

func (l *liveSettings) load() error {
	data, err := os.ReadFile(l.path)
	if err != nil {
		return err
	}
	s, err := platform.ReadSettings(data)
	if err != nil {
		return err
	}
	l.data = data
	l.current.Store(s)
	return nil
}

// follow reads the settings again when hup tells it to, or when the file has changed.
func (l *liveSettings) follow(ctx context.Context, hup <-chan os.Signal, log zerolog.Logger) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-hup:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		before := l.data
		if err := l.load(); err != nil {
			log.Warn().Err(err).Msg("settings not reloaded; the old ones stay in force")
			continue
		}
		if !bytes.Equal(before, l.data) {
			log.Info().Strs("control_seeds", l.current.Load().ControlSeeds).Msg("settings reloaded")
		}
	}
}

// seeds returns the rpc addresses of the control servers that the settings name.
func (l *liveSettings) seeds() []string {
	s := l.current.Load()
	var addrs []string
	for _, seed := range s.ControlSeeds {
		addrs = append(addrs, s.RPCAddr(seed))
	}
	return addrs
}

// peers returns the rpc addresses by the name under which a control server takes
// part in the log: its IP number, which its VM keeps.
func (l *liveSettings) peers() map[string]string {
	out := map[string]string{}
	for _, addr := range l.seeds() {
		out[hostOf(addr)] = addr
	}
	return out
}

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// servePlatform runs the process as the users' platform has set it up.
func servePlatform(path string) int {
	// Signals are taken before anything that takes time: without a taker each of them
	// ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	zerolog.TimeFieldFormat = logTime
	sink := logsink.New(os.Stdout, logsink.DefaultRate)
	defer sink.Close()
	log := zerolog.New(sink).With().Timestamp().Logger()
	if path == "" {
		var err error
		if path, err = platform.SettingsPath(); err != nil {
			log.Error().Err(err).Msg("no settings")
			return exitSettings
		}
	}
	live := &liveSettings{path: path}
	if err := live.load(); err != nil {
		log.Error().Err(err).Msg("settings are not valid")
		return exitSettings
	}
	s := live.current.Load()
	log = log.With().Str("daemon", s.Name).Logger()
	debug.SetGCPercent(gcPercent)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * s.Limits.MemoryMB * (1 << 20)))
	}
	go live.follow(stop, hup, log)
	cfg := platformConfig(live, log)
	context.AfterFunc(stop, func() {
		time.AfterFunc(cfg.Grace-exitMargin, func() {
			log.Error().Msg("grace period is over; ending with work in progress")
			sink.Close()
			os.Exit(exitFailed)
		})
	})
	cfg.DroppedLines = sink.Dropped
	if err := fleetdaemon.Run(stop, cfg); err != nil {
		log.Error().Err(err).Msg("stopped with an error")
		return exitFailed
	}
	log.Info().Msg("stopped")
	return exitOK
}

// platformConfig puts what the platform tells into the daemon's own words.
func platformConfig(live *liveSettings, log zerolog.Logger) fleetdaemon.Config {
	s := live.current.Load()
	cfg := fleetdaemon.Config{
		Name: s.Name, Zone: s.Zone, RPCAddr: s.RPCAddr(s.IP), ListenAddr: s.InternalAddr(), MetricsAddr: s.MetricsAddr(),
		Seeds: live.seeds, Grace: seconds(s.Bounds.GraceS), Decode: platform.DecodeConfig,
		VersionBound: seconds(s.Bounds.VersionMs / 1000), AnnounceInterval: seconds(s.AnnounceMs / 1000), Logger: log,
	}
	if s.ServesCallers() {
		cfg.Entry = &fleetdaemon.EntryConfig{
			CallersAddr: s.Listen.Callers, ReadyAddr: s.Listen.Ready, MountReady: mountReady,
			Headers: platform.Headers(), RetryShare: s.Bounds.RetryShare,
			RetryFloor: int(s.Bounds.RetryFloor), RetryWindow: seconds(s.Bounds.RetryWindowS),
		}
	}
	if s.ServesControl() {
		cfg.Control = &fleetdaemon.ControlConfig{
			OperatorsAddr: s.Listen.Control, DataFolder: s.DataFolder, FirstStart: s.FirstStart, LostDisks: s.LostDisks,
			Member: s.IP, Peers: live.peers,
			Mount: func(e *echo.Echo, server *fleetcontrol.Server) { platform.MountControl(e, server) },
		}
	}
	if s.ServesAgent() {
		cfg.Agent = &fleetdaemon.AgentConfig{
			EngineAddr: s.Engine.Addr, Service: s.Engine.Service, LinkMbps: s.Limits.LinkMbps,
			Engine: platform.NewEngine(s.Engine.Addr), Origin: platform.NewOrigin(), PeerAddr: s.RPCAddr,
		}
	}
	return cfg
}

func mountReady(mux *http.ServeMux, ready func() (string, bool)) { platform.MountReady(mux, ready) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
