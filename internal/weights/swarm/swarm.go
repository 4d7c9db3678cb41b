// Package swarm decides which chunk to request from which source.
//
// State holds what one member knows about one model version: chunks held here,
// held by connected peers and seen on any member, requests in flight, and the
// health of peers, origin and weight store. Step is deterministic: state + events
// + now -> state + actions. It does no I/O, reads no clock, and breaks ties with a
// seeded generator, so a run can be repeated exactly.
//
// Events come from the links and HTTP fetches of package transfer. Actions are
// the connections, requests and cancellations that transfer has to carry out.
// Both are in event.go.
package swarm

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Strategy determines which members fetch from which.
type Strategy string

// The strategies. All but StrategySwarm are baselines for the bench.
const (
	// StrategySwarm spreads chunks over a random regular graph of members.
	StrategySwarm Strategy = "swarm"
	// StrategyOrigin has every member fetch everything from the origin.
	StrategyOrigin Strategy = "origin"
	// StrategyZoneTree has a binary tree in each zone, whose root fetches from the
	// origin.
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

// Config configures the scheduler. WithDefaults replaces zero fields.
type Config struct {
	// Window is the maximum number of concurrent requests to peers.
	Window int
	// PerPeer is the maximum number of concurrent requests to one peer.
	PerPeer int
	// OriginStreams is how many chunks the whole swarm fetches from the origin
	// at once: few, so that the first chunks are soon complete and can spread.
	OriginStreams int
	// OriginDeadline is how long a designated fetcher may deliver nothing
	// before the next in order replaces it. The deadline used is at least
	// OriginDeadlineChunks times the time that a chunk takes on the link.
	OriginDeadline       time.Duration
	OriginDeadlineChunks int
	// ProgressTimeout is how long a request may receive no byte before it is
	// cancelled. In a slow swarm the timeout is slowFactor times the average
	// duration of a request.
	ProgressTimeout time.Duration
	// Strikes is the number of wrong answers (corrupt, or not held) after which
	// a peer is ejected, and EjectionTime is for how long.
	Strikes      int
	EjectionTime time.Duration
}

// Defaults of Config.
const (
	DefaultWindow                          = 6
	DefaultPerPeer                         = 2
	DefaultOriginStreams                   = 8
	DefaultDeadlinePreferTime              = 800 * time.Millisecond
	DefaultDeadlinePreferOriginBytes       = 1000 * time.Millisecond
	DefaultDeadlineChunksPreferTime        = 16
	DefaultDeadlineChunksPreferOriginBytes = 20
	DefaultProgressTimeout                 = time.Second
	DefaultStrikes                         = 3
	DefaultEjectionTime                    = 30 * time.Second
)

const (
	// fetcherCount is how many members fetch from the origin under
	// StrategySwarm.
	fetcherCount = 8
	// A request is not stalled before slowFactor times the average duration.
	slowFactor = 4
	// lostRankLimit bounds a member's rank, and so the number of deadlines that
	// it waits before it fetches a chunk that no healthy peer holds any more.
	lostRankLimit = 16
)

// WithDefaults returns c with defaults in place of zero fields. The deadline of
// origin fetchers depends on whether few origin bytes or a short time is
// preferred.
func (c Config) WithDefaults(preferOriginBytes bool) Config {
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.PerPeer, DefaultPerPeer)
	setDefault(&c.OriginStreams, DefaultOriginStreams)
	deadline, chunks := DefaultDeadlinePreferTime, DefaultDeadlineChunksPreferTime
	if preferOriginBytes {
		deadline, chunks = DefaultDeadlinePreferOriginBytes, DefaultDeadlineChunksPreferOriginBytes
	}
	setDefault(&c.OriginDeadline, deadline)
	setDefault(&c.OriginDeadlineChunks, chunks)
	setDefault(&c.ProgressTimeout, DefaultProgressTimeout)
	setDefault(&c.Strikes, DefaultStrikes)
	setDefault(&c.EjectionTime, DefaultEjectionTime)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Params are the parameters of a new State.
type Params struct {
	Self     Peer
	Strategy Strategy
	// Version seeds the hashes that all members must compute identically.
	Version uint64
	// Seed is the seed of this member's tie-breaks.
	Seed   uint64
	Chunks int
	// ChunkTime is how long a chunk takes on this VM's link; 0 means unknown.
	ChunkTime time.Duration
	// Held are the chunks held already.
	Held []int
	// HasStore is true if chunks can be fetched from a weight store too.
	HasStore bool
	Config   Config // after WithDefaults
}

// State is one member's view of the swarm of one model version.
type State struct {
	self      Peer
	strategy  Strategy
	version   uint64
	cfg       Config
	rng       *rand.Rand
	chunkTime time.Duration

	n       int
	held    Bits
	pending Bits // requested, outcome not known yet
	seen    Bits // held by some member, as far as known
	// copies counts the connected peers that hold a chunk.
	copies []int
	// absent is since when no connected peer holds a chunk: when the last
	// holder was lost, when the chunk was first seen, or the first event.
	absent []time.Time

	members []Peer
	peers   []*peer // connected or to be connected
	// candidates are the possible peers in order of preference.
	candidates []Peer
	// wanted is how many of the candidates are made peers, from the first one on.
	wanted   int
	base     int // value of wanted while all peers are healthy
	requests map[uint64]*request
	order    []*request // in order of start
	nextID   uint64
	average  time.Duration // moving average of the duration of a request to a peer

	assignment assignment
	source     source
	gained     time.Time // when the last chunk was verified
	started    time.Time // time of the first Step
}

type peer struct {
	Peer
	connected bool
	holds     Bits
	// queue is the peer's upload queue as last reported.
	queue     int
	inFlight  int // requests in flight
	strikes   int
	verified  int // verified chunks since a strike was last added or cancelled
	failures  int
	notBefore time.Time // no request before this time
	busy      time.Time // queue full; no request before this time unless it shrinks
	// unhealthy is since when the peer has been disconnected, has delivered
	// nothing that was requested, or has been ejected; zero if it is healthy.
	unhealthy time.Time
}

type request struct {
	id       uint64
	index    int
	peer     *peer // nil: origin or store
	started  time.Time
	progress time.Time
}

// New returns the state of a member that knows no other members.
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

// Complete reports whether every chunk is held.
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
