package fleetcontrol

import (
	"fmt"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/ledger"
)

// Announcements may come from senders that are not backend servers of this fleet. They are
// refused: they add no server and change no record of another one.

// refusedInterval is the least time between two log lines about refused announcements: a
// sender may send hundreds a second.
const refusedInterval = time.Second

// The reasons for a refusal, as values of the counter's label.
const (
	reasonUnreadable     = "unreadable"
	reasonUnknownService = "unknown_service"
)

// refusals counts refused announcements, and logs some of them.
type refusals struct {
	log   zerolog.Logger
	count *prometheus.CounterVec

	mu       sync.Mutex
	loggedAt time.Time
	// unlogged counts those since the last log line.
	unlogged int
}

func newRefusals(log zerolog.Logger) *refusals {
	return &refusals{log: log, count: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lynxgate_fleet_announcements_refused_total", Help: "Announcements that named no backend server to use, by reason.",
	}, []string{"reason"})}
}

// checkEncodable returns an error if a record has a text that is no UTF-8. An update with it could not be sent, nor any
// later one, since a record is sent to each follower that joins.
func checkEncodable(b *fleet.BackendServer) error {
	texts := []string{b.ID, b.Service, b.Addr, b.Zone}
	for _, m := range b.Models {
		texts = append(texts, m.Model)
	}
	for _, text := range texts {
		if !utf8.ValidString(text) {
			return fmt.Errorf("text %.40q is no UTF-8", text)
		}
	}
	return nil
}

// maxLoggedBytes bounds each text of a refused announcement in a log line.
const maxLoggedBytes = 200

func (r *refusals) add(now time.Time, id, reason string, err error) {
	r.count.WithLabelValues(reason).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.loggedAt) < refusedInterval {
		r.unlogged++
		return
	}
	r.log.Warn().Str("server", truncate(id)).Str("reason", reason).Str("error", truncate(err.Error())).Int("untold", r.unlogged).
		Msg("announcement names no backend server")
	r.loggedAt, r.unlogged = now, 0
}

func truncate(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// declaredServices knows the services that the operators declare. It decodes a new document
// only when it is asked for a service that the last decoded one does not have.
type declaredServices struct {
	ledger *ledger.Ledger
	decode func(document []byte) (*fleet.Config, error)

	mu      sync.Mutex
	version uint64
	names   map[string]bool
}

// has reports whether a service is declared, or may be: before the first document any
// service may be.
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
		return true // without a decoded document no server is refused
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

// checkService returns an error unless an announcement is of a server of this fleet: its
// service is declared, or the server is already known with it. The latter is so for a server
// that leaves after its service was removed from the configuration. A server does not change
// its service without a new start.
func (h *hub) checkService(b *fleet.BackendServer) error {
	h.mu.Lock()
	known := h.servers.Get(b.ID)
	h.mu.Unlock()
	switch {
	case b.Service == "" && b.State == fleet.StateGone: // a leave contains only the id
	case known != nil && known.Service == b.Service:
	case known != nil && b.StartUnixMs <= known.StartUnixMs:
		return fmt.Errorf("service %q is not that of the server, %q", b.Service, known.Service)
	case !h.services.has(b.Service):
		return fmt.Errorf("service %q is not declared", b.Service)
	}
	return nil
}
