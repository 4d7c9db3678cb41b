package fleetcontrol

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// The kinds of what updates carry, as values of a metric's label.
const (
	kindRenewals  = "renewals"
	kindReports   = "reports"
	kindServers   = "servers"
	kindCommitted = "committed"
	kindOther     = "other"
)

// trafficInterval is the time between two log lines about the updates that were sent.
const trafficInterval = 5 * time.Second

// traffic counts the bytes of updates by kind and by the region of followers. Links between regions are
// narrow and shared by everything that daemons send one another.
type traffic struct {
	bytes *prometheus.CounterVec

	mu sync.Mutex
	// unlogged are the bytes since the last log line, by region and kind.
	unlogged map[string]map[string]int
}

func newTraffic() *traffic {
	return &traffic{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lynxgate_fleet_update_bytes_total", Help: "Bytes of updates to followers, by region of the follower and by kind.",
		}, []string{"region", "kind"}),
		unlogged: map[string]map[string]int{},
	}
}

// add counts an update to a follower in a region.
func (t *traffic) add(region string, u *rpc.FleetUpdate) {
	sizes := updateSizes(u)
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := t.unlogged[region]
	if sums == nil {
		sums = map[string]int{}
		t.unlogged[region] = sums
	}
	for kind, size := range sizes {
		if size > 0 {
			t.bytes.WithLabelValues(region, kind).Add(float64(size))
			sums[kind] += size
		}
	}
}

// updateSizes returns the bytes of an update by kind.
func updateSizes(u *rpc.FleetUpdate) map[string]int {
	sizes := map[string]int{
		kindRenewals:  proto.Size(&rpc.FleetUpdate{Seen: u.Seen}),
		kindReports:   proto.Size(&rpc.FleetUpdate{Reports: u.Reports}),
		kindServers:   proto.Size(&rpc.FleetUpdate{Servers: u.Servers}),
		kindCommitted: proto.Size(&rpc.FleetUpdate{ConfigVersion: u.ConfigVersion, Config: u.Config, Versions: u.Versions, Evacuations: u.Evacuations}),
	}
	sizes[kindOther] = proto.Size(u) - sizes[kindRenewals] - sizes[kindReports] - sizes[kindServers] - sizes[kindCommitted]
	return sizes
}

// take returns the bytes since the last call.
func (t *traffic) take() map[string]map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.unlogged
	t.unlogged = map[string]map[string]int{}
	return taken
}

// logTraffic logs the bytes of the updates since the last line by region and kind, and how many followers of each region
// have not acknowledged an update for how long.
func (h *hub) logTraffic(now time.Time) {
	taken := h.traffic.take()
	lags := h.acknowledgementLags(now)
	regions := zerolog.Dict()
	for region, sums := range taken {
		sent := zerolog.Dict()
		for kind, size := range sums {
			sent.Int(kind, size)
		}
		lag := lags[region]
		regions.Dict(region, sent.Int("followers", lag.followers).Int("late", lag.late).Int64("oldest_ms", lag.oldest.Milliseconds()))
	}
	if len(taken) > 0 {
		h.log.Info().Dict("regions", regions).Msg("updates sent")
	}
}

// lateAcknowledgement is from which time on an acknowledgement counts as late. It is leaveTimeout: a leave is not known to be
// spread before.
const lateAcknowledgement = leaveTimeout

// acknowledgementLag is how far the followers of a region are behind.
type acknowledgementLag struct {
	followers, late int
	// oldest is the longest time for which an update was not acknowledged.
	oldest time.Duration
}

// acknowledgementLags returns by region how far the followers are behind.
func (h *hub) acknowledgementLags(now time.Time) map[string]acknowledgementLag {
	h.mu.Lock()
	defer h.mu.Unlock()
	lags := map[string]acknowledgementLag{}
	for f := range h.followers {
		lag := lags[f.region]
		lag.followers++
		if age := f.unacknowledgedFor(now); age > lateAcknowledgement {
			lag.late++
			lag.oldest = max(lag.oldest, age)
		}
		lags[f.region] = lag
	}
	return lags
}
