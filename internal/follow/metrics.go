package follow

import (
	"github.com/prometheus/client_golang/prometheus"

	"lynxgate.dev/lynxgate/internal/clock"
)

// newPathSeconds returns the histogram of the time that messages of control servers were under way.
func newPathSeconds(role string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:        "lynxgate_follow_path_seconds",
		Help:        "Longest time that a message of a control server may have been under way, together with the stamp of this daemon that it echoes.",
		ConstLabels: prometheus.Labels{"role": role},
		Buckets:     []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2},
	})
}

// Collectors returns the metrics of the client. Daemons that follow a few control servers alone never hear a majority of many.
func (c *Client) Collectors() []prometheus.Collector {
	collectors := []prometheus.Collector{c.pathSeconds}
	if c.cfg.MaxServers > 0 {
		return collectors
	}
	return append(collectors, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "lynxgate_follow_confirmed_age_seconds",
		Help:        "Time since a majority of the control servers has told all namings of weights that their logs held, 0 before the first time.",
		ConstLabels: prometheus.Labels{"role": c.cfg.Role},
	}, func() float64 {
		if at := c.ConfirmedAt(); !at.IsZero() {
			return clock.Since(at).Seconds()
		}
		return 0
	}))
}
