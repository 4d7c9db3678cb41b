// Package swarm decides which chunk to ask of whom.
//
// State holds what one member knows about one model version: chunks held here,
// held by connected peers and seen anywhere, requests in flight, and the
// conduct of peers, origin and weight store. Step is pure: state + events + now
// -> state + actions. It does no I/O, reads no clock, and its tie-breaks come
// from a seeded source, so a run can be repeated exactly.
//
// Events come from transfer's links and HTTP fetches (event.go); actions tell
// transfer what to connect, request and cancel (action.go).
package swarm

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Strategy names who fetches from whom.
type Strategy string

// The strategies. All but StrategySwarm are baselines for the bench.
const (
	// StrategySwarm spreads chunks over a random regular graph of members.
	StrategySwarm Strategy = "swarm"
	// StrategyOrigin has every member fetch everything from the origin.
	StrategyOrigin Strategy = "origin"
	// StrategyZoneTree has a binary tree in each zone, its root fed by the origin.
	StrategyZoneTree Strategy = "zone-tree"
	// StrategyChain has each member fetch from the one before it.
	StrategyChain Strategy = "chain"
)

// Peer is one member of the swarm of a model version.
type Peer struct {
	VM   string
	Zone string
	Addr string
}

// Config tunes the scheduler. Zero fields take the defaults below.
type Config struct {
	// Window is the number of chunks asked of peers at once.
	Window int
	// PerPeer is the number of chunks asked of one peer at once.
	PerPeer int
	// OriginStreams is how many chunks the whole swarm fetches from the origin
	// at once: few, so that the first chunks are soon whole and can spread.
	OriginStreams int
	// OriginDeadline is how long a designated fetcher may bring nothing
	// before the next in order takes its place. It is no shorter than
	// DeadlineChunks times the time that a chunk takes on the link.
	OriginDeadline time.Duration
	DeadlineChunks int
	// ProgressTimeout is how long a request may bring no byte before it is
	// given up; a request of a slow swarm is given slowFactor times the usual.
	ProgressTimeout time.Duration
	// Strikes is the number of corrupt answers after which a peer is set
	// aside, and AsideFor for how long.
	Strikes  int
	AsideFor time.Duration
}

// Defaults of Config.
const (
	DefaultWindow          = 6
	DefaultPerPeer         = 2
	DefaultOriginStreams   = 8
	DefaultDeadlineTime    = 800 * time.Millisecond
	DefaultDeadlineBytes   = 1000 * time.Millisecond
	DefaultChunksTime      = 16
	DefaultChunksBytes     = 20
	DefaultProgressTimeout = time.Second
	DefaultStrikes         = 3
	DefaultAsideFor        = 30 * time.Second
)

const (
	// fetcherCount is how many members fetch from the origin.
	fetcherCount = 8
	// slowFactor times the usual duration of a request is still no stall.
	slowFactor = 4
	// lostRankLimit bounds how many deadlines a member waits before asking
	// the origin for a chunk that was seen but that no peer has any more.
	lostRankLimit = 16
)

// WithDefaults fills zero fields; the origin's deadline depends on whether
// time or origin bytes weigh more.
func (c Config) WithDefaults(preferBytes bool) Config {
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.PerPeer, DefaultPerPeer)
	setDefault(&c.OriginStreams, DefaultOriginStreams)
	deadline, chunks := DefaultDeadlineTime, DefaultChunksTime
	if preferBytes {
		deadline, chunks = DefaultDeadlineBytes, DefaultChunksBytes
	}
	setDefault(&c.OriginDeadline, deadline)
	setDefault(&c.DeadlineChunks, chunks)
	setDefault(&c.ProgressTimeout, DefaultProgressTimeout)
	setDefault(&c.Strikes, DefaultStrikes)
	setDefault(&c.AsideFor, DefaultAsideFor)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Params are what a State is made from.
type Params struct {
	Self     Peer
	Strategy Strategy
	// Version seeds the hashes that all members must compute alike.
	Version uint64
	// Seed of this member's own tie-breaks.
	Seed   uint64
	Chunks int
	// ChunkTime is how long a chunk takes on this VM's link; 0: not known.
	ChunkTime time.Duration
	// Held are the chunks held already.
	Held []int
	// HasStore says that a weight store can be asked besides the origin.
	HasStore bool
	Config   Config // with defaults filled
}

// State is what one member knows of one model version.
type State struct {
	self      Peer
	strategy  Strategy
	version   uint64
	cfg       Config
	rng       *rand.Rand
	chunkTime time.Duration

	n       int
	held    Bits
	pending Bits // requested and not ended
	seen    Bits // held by some member, as far as known
	// copies counts the connected peers that hold a chunk.
	copies []int
	// absent is when a chunk's last known holder vanished, or the start.
	absent []time.Time

	members []Peer
	peers   []*peer // connected or to be connected
	// candidates are the possible peers in order of preference; the first
	// wanted of them are peers.
	candidates []Peer
	wanted     int
	base       int // how many of them are wanted when all deliver
	requests   map[uint64]*request
	order      []*request // by start
	nextID     uint64
	usual      time.Duration // smoothed duration of a peer's request

	feed   feeding
	source source
	gained time.Time // when the last chunk came
	begun  time.Time // when the first event came
}

type peer struct {
	Peer
	up    bool
	holds Bits
	// queue is the peer's upload queue as last reported.
	queue    int
	asked    int // requests in flight
	strikes  int
	good     int // verified chunks since the last strike
	stalls   int
	notAsked time.Time // not before this time
	busy     time.Time // queue full; not before this time unless it shrinks
	// doubted is since when the peer has not been connected, has brought
	// nothing that it was asked for, or has been set aside; zero if it is
	// trusted.
	doubted time.Time
}

type request struct {
	id       uint64
	index    int
	peer     *peer // nil: origin or store
	started  time.Time
	progress time.Time
}

// New returns the state of a member that knows no other.
func New(p Params) *State {
	s := &State{
		self:      p.Self,
		strategy:  p.Strategy,
		version:   p.Version,
		cfg:       p.Config,
		rng:       rand.New(rand.NewPCG(p.Seed, p.Version)),
		chunkTime: p.ChunkTime,
		n:         p.Chunks,
		held:      NewBits(p.Chunks),
		pending:   NewBits(p.Chunks),
		seen:      NewBits(p.Chunks),
		copies:    make([]int, p.Chunks),
		absent:    make([]time.Time, p.Chunks),
		requests:  map[uint64]*request{},
		source:    source{hasStore: p.HasStore},
	}
	for _, i := range p.Held {
		s.held.Set(i)
		s.seen.Set(i)
	}
	return s
}

// Complete says whether every chunk is held.
func (s *State) Complete() bool { return s.held.Count() == s.n }

// Held returns the number of chunks held.
func (s *State) Held() int { return s.held.Count() }

func (s *State) peer(vm string) *peer {
	i := slices.IndexFunc(s.peers, func(p *peer) bool { return p.VM == vm })
	if i < 0 {
		return nil
	}
	return s.peers[i]
}
