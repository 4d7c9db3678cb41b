package swarm

// Strategy names who fetches from whom.
type Strategy string

// Peer is one member of the swarm of a model version.
type Peer struct {
	VM   string
	Zone string
	Addr string
}

// Config tunes the scheduler.
type Config struct{}
