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
	"lynxgate.dev/lynxgate/internal/gateway"
	"lynxgate.dev/lynxgate/internal/logsink"
	"lynxgate.dev/lynxgate/platform"
)

const (
	// logTimeFormat includes milliseconds, so that the log lines of one request can be ordered.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
	// exitMargin is how long before the end of the grace period the process exits even
	// if something hangs, for example on a stalled disk.
	exitMargin = 150 * time.Millisecond
	// settingsPoll is the interval between reads of the settings file, which may change
	// without a SIGHUP.
	settingsPoll = 2 * time.Second
	// memoryShare is the fraction of the memory available to the process that is set as
	// the memory limit of the Go runtime. Above it the garbage collector runs at any cost.
	memoryShare = 0.7
	// heldShare is the fraction that bodies of requests and answers may use; what is read of a
	// body takes twice its size for a moment.
	heldShare = 0.2
	// gcPercent is below the default of 100 since VMs have little memory: it trades
	// processor time for memory.
	gcPercent = 60
)

// liveSettings holds the settings in force and reloads them from their file.
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

// watch reloads the settings on a signal from hup and at every settingsPoll, until ctx
// is done. Settings that are not valid leave the previous ones in force.
func (l *liveSettings) watch(ctx context.Context, hup <-chan os.Signal, log zerolog.Logger) {
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

// regionOf returns the region of a zone, empty if the settings do not name it.
func (l *liveSettings) regionOf(zone string) string { return l.current.Load().Regions[zone] }

// seeds returns the RPC addresses of the control servers listed in the settings.
func (l *liveSettings) seeds() []string {
	s := l.current.Load()
	var addrs []string
	for _, seed := range s.ControlSeeds {
		addrs = append(addrs, s.RPCAddr(seed))
	}
	return addrs
}

// peers returns the RPC addresses of the control servers by member name. The member
// name of a control server in the replicated log is its IP address, which its VM keeps.
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

// servePlatform runs the process with the settings file of the users' platform. An empty
// path means the path that the platform provides.
func servePlatform(path string) int {
	// Signal handlers are installed before any slow step: without a handler each of these
	// signals terminates the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	zerolog.TimeFieldFormat = logTimeFormat
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
	go live.watch(stop, hup, log)
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

// platformConfig converts the settings of the users' platform to the configuration of
// the daemon.
func platformConfig(live *liveSettings, log zerolog.Logger) fleetdaemon.Config {
	s := live.current.Load()
	cfg := fleetdaemon.Config{
		Name: s.Name, Zone: s.Zone, RegionOf: live.regionOf, RPCAddr: s.RPCAddr(s.IP), ListenAddr: s.InternalAddr(), MetricsAddr: s.MetricsAddr(),
		Seeds: live.seeds, Grace: seconds(s.Bounds.GraceS), Decode: platform.DecodeConfig,
		VersionBound: seconds(s.Bounds.VersionMs / 1000), AnnounceInterval: seconds(s.AnnounceMs / 1000), Logger: log,
	}
	if s.ServesCallers() {
		cfg.Entry = &fleetdaemon.EntryConfig{
			CallersAddr: s.Listen.Callers, ReadyAddr: s.Listen.Ready, MountReady: mountReady,
			Headers: platform.Headers(), RetryShare: s.Bounds.RetryShare,
			RetryFloor: int(s.Bounds.RetryFloor), RetryWindow: seconds(s.Bounds.RetryWindowS),
			HeldBytes:   int64(heldShare * s.Limits.MemoryMB * (1 << 20)),
			ColdOverage: s.Bounds.ColdOverage, ColdSlack: s.Bounds.ColdSlack,
			ReservationMode: gateway.ReservationMode(s.Reservations.Mode), AgentAddr: s.RPCAddr, RelayAddr: s.RelayAddr, EngineReport: platform.EngineReports(),
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
			HeldBytes:  int64(heldShare * s.Limits.MemoryMB * (1 << 20)),
			EngineAddr: s.Engine.Addr, EngineDialAddr: s.EngineDialAddr(), Service: s.Engine.Service, LinkMbps: s.Limits.LinkMbps,
			RelayAddr: s.RelayListenAddr(), RelayHeaders: platform.RelayHeaders(),
			Engine: platform.NewEngine(s.EngineDialAddr()), Reports: platform.NewReporter(s.EngineDialAddr()), Origin: platform.NewOrigin(), PeerAddr: s.RPCAddr,
		}
	}
	return cfg
}

func mountReady(mux *http.ServeMux, ready func() (string, bool)) { platform.MountReady(mux, ready) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
