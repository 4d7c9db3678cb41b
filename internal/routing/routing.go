// Package routing keeps an entry's table of backend servers and picks one for
// each request.
//
// It chooses which backend servers the entry watches, records their state, and
// picks one that is announced, reachable, live on the requested version, not
// leaving, not ejected and not full.
//
// Table holds one record per announced backend server. It is changed only by
// Step, which takes an event (see event.go), returns actions (see action.go),
// does no I/O and reads no clock. View is an immutable snapshot of the table for
// picks. Router makes both safe for concurrent use.
package routing

import "time"

// Config holds the settings of a table. NewTable replaces zero fields by the
// values of DefaultConfig, so 0 does not switch a setting off.
type Config struct {
	// Entry is the name of this entry and Zone its zone.
	Entry string
	Zone  string
	// SubsetSize is how many backend servers of a service are watched, and
	// NearShare the share of them that is reserved for the entry's own zone.
	SubsetSize int
	NearShare  float64
	// HeartbeatTimeout is the time since the last message of its agent after
	// which a backend server is no longer picked.
	HeartbeatTimeout time.Duration
	// LoadHalfLife is the time in which the weight of a reported load halves.
	LoadHalfLife time.Duration
	// FullUtilisation is the utilisation, by the agent's last count, at which a
	// backend server gets no more requests. It is above 1 because the count
	// is late.
	FullUtilisation float64
	// WarmUp is how long the share of requests of a new replica rises from
	// WarmUpFloor to 1.
	WarmUp      time.Duration
	WarmUpFloor float64
	// SpillUtilisation is the mean utilisation from which requests also go to
	// the next farther group of backend servers (zone, region, all). A group
	// with fewer than MinNear members is not used alone.
	SpillUtilisation float64
	MinNear          int
	// AffinityBound is the multiple of the mean load up to which a backend
	// server still gets the requests of its prefixes.
	AffinityBound float64
	// AffinityFree is the utilisation up to which it gets them whatever the
	// mean load.
	AffinityFree float64
	// CacheHints is how many cached prefixes are remembered per backend
	// server, and HintTTL for how long.
	CacheHints int
	HintTTL    time.Duration
	// NominalConcurrency is assumed if an agent reports no concurrency.
	NominalConcurrency int
	Outlier            OutlierConfig
	// Policy chooses among the backend servers that may take a request; the
	// default is Balanced.
	Policy Policy
}

// DefaultConfig returns the default settings; docs/design/routing.md gives the
// reasons.
func DefaultConfig() Config {
	return Config{
		SubsetSize:         20,
		NearShare:          0.25,
		HeartbeatTimeout:   5 * time.Second,
		LoadHalfLife:       500 * time.Millisecond,
		FullUtilisation:    1.5,
		WarmUp:             10 * time.Second,
		WarmUpFloor:        0.1,
		SpillUtilisation:   0.75,
		MinNear:            3,
		AffinityBound:      1.5,
		AffinityFree:       0.5,
		CacheHints:         1024,
		HintTTL:            time.Minute,
		NominalConcurrency: 16,
		Outlier:            DefaultOutlierConfig(),
		Policy:             Balanced{},
	}
}

func orDefault[T comparable](value, byDefault T) T {
	var zero T
	if value == zero {
		return byDefault
	}
	return value
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.SubsetSize = orDefault(c.SubsetSize, d.SubsetSize)
	c.NearShare = orDefault(c.NearShare, d.NearShare)
	c.HeartbeatTimeout = orDefault(c.HeartbeatTimeout, d.HeartbeatTimeout)
	c.LoadHalfLife = orDefault(c.LoadHalfLife, d.LoadHalfLife)
	c.FullUtilisation = orDefault(c.FullUtilisation, d.FullUtilisation)
	c.WarmUp = orDefault(c.WarmUp, d.WarmUp)
	c.WarmUpFloor = orDefault(c.WarmUpFloor, d.WarmUpFloor)
	c.SpillUtilisation = orDefault(c.SpillUtilisation, d.SpillUtilisation)
	c.MinNear = orDefault(c.MinNear, d.MinNear)
	c.AffinityBound = orDefault(c.AffinityBound, d.AffinityBound)
	c.AffinityFree = orDefault(c.AffinityFree, d.AffinityFree)
	c.CacheHints = orDefault(c.CacheHints, d.CacheHints)
	c.HintTTL = orDefault(c.HintTTL, d.HintTTL)
	c.NominalConcurrency = orDefault(c.NominalConcurrency, d.NominalConcurrency)
	c.Outlier = c.Outlier.withDefaults()
	if c.Policy == nil {
		c.Policy = d.Policy
	}
	return c
}

// Version names a model version.
type Version struct {
	Model   string
	Version string
}
