// Package routing is an entry's table of backend servers and its choice of
// one for each request.
//
// Duty: decide which backend servers this entry watches, keep what it knows
// of them, and pick one that is announced, heard from, live on the version,
// not leaving, not set aside and not full.
//
// State: Table holds one record per announced backend server. It is changed
// only by Step, which does no I/O and reads no clock. View is an immutable
// picture of the table that traffic goroutines pick from; Router is the thin
// wrapper that makes both safe for concurrent use.
//
// Messages: events in (see event.go), actions out (see action.go).
package routing

import "time"

// Config holds the settings of a table. Zero fields get the value of
// DefaultConfig from NewTable, so a setting cannot be switched off by 0.
type Config struct {
	// Entry names this entry; Zone is where it stands.
	Entry string
	Zone  string
	// SubsetSize is how many backend servers of a service are watched, and
	// NearShare the share of them taken from the entry's own zone first.
	SubsetSize int
	NearShare  float64
	// HeartbeatLimit is how long a backend server is picked without a sign
	// of life from its agent.
	HeartbeatLimit time.Duration
	// LoadHalfLife is the time in which a reported load loses half its
	// weight.
	LoadHalfLife time.Duration
	// FullAt is the utilisation, by the agent's last count, at which a
	// backend server gets no more. The count is late, so it is above 1.
	FullAt float64
	// WarmUp is how long a new replica gets less than its share, which
	// rises from WarmUpFloor to 1.
	WarmUp      time.Duration
	WarmUpFloor float64
	// SpillAt is the mean utilisation at which a nearer group of backend
	// servers takes in the next; a group has at least MinNear members.
	SpillAt float64
	MinNear int
	// AffinityBound is how far above the mean load, as a factor, a backend
	// server may be and still get the requests of its prefixes.
	AffinityBound float64
	// AffinityFree is the utilisation below which it does so in any case.
	AffinityFree float64
	// CacheHints is how many cached prefixes are remembered per backend
	// server, and HintTTL for how long.
	CacheHints int
	HintTTL    time.Duration
	// NominalConcurrency stands in for a concurrency that is not reported.
	NominalConcurrency int
	Outlier            OutlierConfig
	// Policy chooses among the backend servers that may take a request;
	// Balanced unless set.
	Policy Policy
}

// DefaultConfig returns the settings that docs/design/routing.md gives the
// reasons for.
func DefaultConfig() Config {
	return Config{
		SubsetSize:         20,
		NearShare:          0.25,
		HeartbeatLimit:     5 * time.Second,
		LoadHalfLife:       500 * time.Millisecond,
		FullAt:             1.5,
		WarmUp:             10 * time.Second,
		WarmUpFloor:        0.1,
		SpillAt:            0.75,
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
	c.HeartbeatLimit = orDefault(c.HeartbeatLimit, d.HeartbeatLimit)
	c.LoadHalfLife = orDefault(c.LoadHalfLife, d.LoadHalfLife)
	c.FullAt = orDefault(c.FullAt, d.FullAt)
	c.WarmUp = orDefault(c.WarmUp, d.WarmUp)
	c.WarmUpFloor = orDefault(c.WarmUpFloor, d.WarmUpFloor)
	c.SpillAt = orDefault(c.SpillAt, d.SpillAt)
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
