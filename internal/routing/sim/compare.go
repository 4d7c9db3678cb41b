package sim

import (
	"time"

	"lynxgate.dev/lynxgate/internal/routing"
)

// Figures holds the results of a comparison, as means over several seeds.
type Figures struct {
	// P95OverRandom is the p95 of the balanced policy divided by that of random
	// choice, with backend servers of different speed and a late load report.
	P95OverRandom float64
	// PrefixP95OverRandom is the same with shared prefixes, PrefixHitRate
	// the share of requests whose prefix was cached, and RandomHitRate that
	// with random choice.
	PrefixP95OverRandom float64
	PrefixHitRate       float64
	RandomHitRate       float64
	// GrayP99 is the p99 with one backend server ten times slower, divided by
	// that of a healthy fleet with the balanced policy; GrayP99Off the same
	// without outlier detection, and GrayP99Random with random choice.
	GrayP99       float64
	GrayP99Off    float64
	GrayP99Random float64
	// GrayPrefixP99 and GrayPrefixP99Off are the same with shared prefixes.
	GrayPrefixP99    float64
	GrayPrefixP99Off float64
	// FailedShare is the share of requests that fail if one backend server
	// fails all of its requests; FailedShareOff without outlier detection.
	FailedShare    float64
	FailedShareOff float64
	// FalseEjections is the number of ejections of healthy backend servers in
	// a run with shared prefixes.
	FalseEjections float64
}

// Parameters of the runs.
const (
	sharedPrefixes = 200
	slowFactor     = 10
)

// Compare runs the comparison with each seed from 1 to seeds.
func Compare(seeds, requests int) Figures {
	var f Figures
	n := float64(seeds)
	for seed := range seeds {
		cfg := Base()
		cfg.Seed = uint64(seed + 1)
		cfg.Requests = requests
		random := cfg
		random.NewPolicy = func() routing.Policy { return routing.Random{} }

		healthy := Run(cfg)
		f.P95OverRandom += ratio(healthy.P95, Run(random).P95) / n
		f.addPrefixes(cfg, random, n)
		f.addGray(cfg, random, healthy.P99, n)
		f.addFailing(cfg, n)
	}
	return f
}

func (f *Figures) addPrefixes(cfg, random Config, n float64) {
	cfg.Prefixes, random.Prefixes = sharedPrefixes, sharedPrefixes
	balanced, baseline := Run(cfg), Run(random)
	f.addGrayPrefixes(cfg, balanced.P99, n)
	f.PrefixP95OverRandom += ratio(balanced.P95, baseline.P95) / n
	f.PrefixHitRate += balanced.HitRate / n
	f.RandomHitRate += baseline.HitRate / n
	f.FalseEjections += float64(balanced.FalseEjections) / n
}

func (f *Figures) addGray(cfg, random Config, healthy time.Duration, n float64) {
	cfg.SlowServers, random.SlowServers = 1, 1
	cfg.SlowFactor, random.SlowFactor = slowFactor, slowFactor
	f.GrayP99 += ratio(Run(cfg).P99, healthy) / n
	f.GrayP99Random += ratio(Run(random).P99, healthy) / n
	cfg.Settings.Outlier.Disabled = true
	f.GrayP99Off += ratio(Run(cfg).P99, healthy) / n
}

func (f *Figures) addGrayPrefixes(cfg Config, healthy time.Duration, n float64) {
	cfg.SlowServers, cfg.SlowFactor = 1, slowFactor
	f.GrayPrefixP99 += ratio(Run(cfg).P99, healthy) / n
	cfg.Settings.Outlier.Disabled = true
	f.GrayPrefixP99Off += ratio(Run(cfg).P99, healthy) / n
}

func (f *Figures) addFailing(cfg Config, n float64) {
	cfg.FailingServers = 1
	f.FailedShare += Run(cfg).FailedShare / n
	cfg.Settings.Outlier.Disabled = true
	f.FailedShareOff += Run(cfg).FailedShare / n
}

func ratio(a, b time.Duration) float64 { return a.Seconds() / b.Seconds() }
