package fleetcontrol

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
)

// collectors returns the metrics of the hub; gauges are computed at each scrape.
func (h *hub) collectors() []prometheus.Collector {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	return []prometheus.Collector{
		h.refused.count,
		h.traffic.bytes,
		gauge("lynxgate_fleet_config_version", "Version of the newest committed configuration known here.", func() float64 {
			return float64(h.ledger.State().ConfigVersion)
		}),
		gauge("lynxgate_fleet_followers", "Daemons that follow this control server.", func() float64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return float64(len(h.followers))
		}),
		gauge("lynxgate_fleet_directory_age_seconds", "Time since the backend server heard longest ago was heard.", func() float64 {
			return h.directoryAge(clock.Now()).Seconds()
		}),
	}
}

// directoryAge returns the longest time since the last announcement of a backend
// server, over those that are ready and still have their address.
func (h *hub) directoryAge(now time.Time) (age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.servers.All() {
		if b.State == fleet.StateReady && !h.servers.AddressTakenOver(b) {
			age = max(age, now.Sub(b.SeenAt))
		}
	}
	return age
}
