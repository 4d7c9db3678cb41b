package main

import (
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

// The bench and its agents talk in JSON lines over standard input and output.

// agentConfig is the first line an agent reads.
type agentConfig struct {
	VM       string
	Zone     string
	Dir      string
	Strategy swarm.Strategy
	// Rate of the VM's link in each direction, bytes per second.
	Rate float64
	// CorruptShare of the chunks it sends carry a wrong byte.
	CorruptShare float64
	// StallAfterMS, if above 0, is when its uplink stalls for good, counted
	// from the start of the burst.
	StallAfterMS int
	Seed         uint64
	// Profile is a file for a CPU profile of the burst; may be empty.
	Profile string
}

// hello is the first line an agent writes.
type hello struct {
	Addr      string // of the Weights service
	ProbeAddr string
}

// command is any later line to an agent; one field is set.
type command struct {
	Probe []string // addresses to probe from now on
	Start *startBurst
	Stop  bool
}

type startBurst struct {
	Ref    inventory.ModelVersion
	Prefer inventory.Preference
	Peers  []swarm.Peer
}

// event is any later line from an agent.
type event struct {
	Staged bool
	Final  *finalReport
}

// finalReport is what an agent measured.
type finalReport struct {
	CPUSeconds   float64 // during the burst, until staged or stopped
	ControlBytes float64
	OriginBytes  int64
	PeerBytes    int64
	Held         int
	Staged       bool
	Err          string
	// HeldOverTime is the number of chunks held, every sampleEvery.
	HeldOverTime []int
	Metrics      map[string]float64
	MaxRSSBytes  int64
	// Live first-token latencies in milliseconds.
	QuietMS []float64
	BurstMS []float64
}
