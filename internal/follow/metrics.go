package follow

import "github.com/prometheus/client_golang/prometheus"

// newPathSeconds returns the histogram of the time that messages of control servers were under way.
func newPathSeconds(role string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:        "lynxgate_follow_path_seconds",
		Help:        "Longest time that a message of a control server may have been under way, together with the stamp of this daemon that it echoes.",
		ConstLabels: prometheus.Labels{"role": role},
		Buckets:     []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2},
	})
}

// Collectors returns the metrics of the client.
func (c *Client) Collectors() []prometheus.Collector { return []prometheus.Collector{c.pathSeconds} }
