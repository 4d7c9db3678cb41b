package fleetcontrol

import (
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/ledger"
)

// Announcements may come from writers that are no backend servers of this fleet. They name
// no server to use, and change nothing of what is known of others.

// refusedInterval is the least time between two lines about announcements that were
// refused: a writer may send hundreds a second.
const refusedInterval = time.Second

// Why an announcement was refused, as the label of the counter says it.
const (
	whyUnreadable     = "unreadable"
	whyUnknownService = "unknown_service"
)

// refusals counts announcements that were refused, and tells of some.
type refusals struct {
	log   zerolog.Logger
	count *prometheus.CounterVec

	mu     sync.Mutex
	toldAt time.Time
	// untold are those since the last line.
	untold int
}

func newRefusals(log zerolog.Logger) *refusals {
	return &refusals{log: log, count: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lynxgate_fleet_announcements_refused_total", Help: "Announcements that named no backend server to use, by reason.",
	}, []string{"reason"})}
}

// maxTold bounds what a line repeats of a refused announcement, in bytes.
const maxTold = 200

func (r *refusals) note(now time.Time, id, reason string, err error) {
	r.count.WithLabelValues(reason).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.toldAt) < refusedInterval {
		r.untold++
		return
	}
	r.log.Warn().Str("server", short(id)).Str("reason", reason).Str("error", short(err.Error())).Int("untold", r.untold).
		Msg("announcement names no backend server")
	r.toldAt, r.untold = now, 0
}

func short(text string) string { return text[:min(len(text), maxTold)] }

// declaredServices tells which services the operators declare. It reads a document only
// when it is asked for a service that the one read before does not have.
type declaredServices struct {
	ledger *ledger.Ledger
	decode func(document []byte) (*fleet.Config, error)

	mu      sync.Mutex
	version uint64
	names   map[string]bool
}

// has tells whether a service is declared, or may be: nothing is known before the first
// document.
func (d *declaredServices) has(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.ledger.State()
	if d.decode == nil || state.ConfigVersion == 0 || d.names[service] {
		return true
	}
	if state.ConfigVersion == d.version {
		return false
	}
	names, err := d.read(state.Config)
	if err != nil {
		return true // what can't be read refuses nobody
	}
	d.version, d.names = state.ConfigVersion, names
	return names[service]
}

func (d *declaredServices) read(deflated []byte) (map[string]bool, error) {
	document, err := ledger.Inflate(deflated)
	if err != nil {
		return nil, err
	}
	config, err := d.decode(document)
	if err != nil {
		return nil, err
	}
	names := map[string]bool{}
	for _, s := range config.Services {
		names[s.Name] = true
	}
	return names, nil
}

// mayTell tells whether an announcement is of a server of this fleet: its service is
// declared, or it has been known with it, as one is that leaves after its service was
// taken out of the configuration.
func (h *hub) mayTell(b *fleet.BackendServer) error {
	h.mu.Lock()
	known := h.servers.Get(b.ID)
	h.mu.Unlock()
	switch {
	case b.Service == "" && b.State == fleet.StateGone: // a leave tells the id only
	case known != nil && known.Service == b.Service:
	case !h.services.has(b.Service):
		return fmt.Errorf("service %q is not declared", b.Service)
	}
	return nil
}
