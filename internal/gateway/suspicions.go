package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/dispatch"
	"lynxgate.dev/lynxgate/internal/quarantine"
)

const (
	// The check whether a server has crashed starts crashProbes connection attempts, one each
	// crashProbeInterval, and ends one interval after the last: requests that wait for it have an
	// objective of 100 to 500 ms. The first attempt covers a round trip of 100 ms to another region.
	// A single attempt bounded by 150 ms stays without a result if this process gets no processor time
	// for it, and the crash is not counted.
	crashProbes        = 3
	crashProbeInterval = 50 * time.Millisecond
	// maxTurnWait is how long a request with suspect content waits for its turn. A request that
	// crashes its server does so within about 0.1 s; one that does not is answered, or runs for
	// longer than other callers with the same content can wait.
	maxTurnWait = 400 * time.Millisecond
	// suspectRecheckInterval is how often the verdict on suspect content is checked again.
	suspectRecheckInterval = 50 * time.Millisecond
)

// suspicions tracks request content that was in flight at servers that crashed, as seen by this
// entry and as reported by others. Suspect content has one attempt at a time: turns ensure that
// within this entry, fleet across entries.
type suspicions struct {
	log     zerolog.Logger
	publish func([]quarantine.Update)
	// fleet grants turns across entries, turns those within this entry.
	fleet Turns
	// nonEmpty: the table has records. While it has none, requests take no lock and compute no digest.
	nonEmpty atomic.Bool

	mu    sync.Mutex
	table *quarantine.Table
	// turns are those taken by calls with suspect content; the channel is closed when the turn ends.
	turns map[quarantine.Digest]chan struct{}
	// checks are the crash checks in progress, by server.
	checks map[*balance.Server]*crashCheck
}

// crashCheck is one check whether a server has crashed.
type crashCheck struct {
	done    chan struct{}
	crashed bool
}

// Turns grants the exclusive right to dispatch suspect content, its turn, to one entry at a time.
type Turns interface {
	// AcquireTurn reports whether this entry has the turn now. If so, the caller must call ReleaseTurn.
	AcquireTurn(ctx context.Context, d quarantine.Digest) bool
	ReleaseTurn(d quarantine.Digest)
}

// noTurns grants every turn, for an entry that knows no others.
type noTurns struct{}

func (noTurns) AcquireTurn(context.Context, quarantine.Digest) bool { return true }
func (noTurns) ReleaseTurn(quarantine.Digest)                       {}

func newSuspicions(log zerolog.Logger, publish func([]quarantine.Update), fleet Turns) *suspicions {
	if fleet == nil {
		fleet = noTurns{}
	}
	if publish == nil {
		publish = func([]quarantine.Update) {}
	}
	return &suspicions{
		log: log, publish: publish, fleet: fleet, table: quarantine.New(),
		turns: map[quarantine.Digest]chan struct{}{}, checks: map[*balance.Server]*crashCheck{},
	}
}

// merge adds the reports of other entries.
func (s *suspicions) merge(now time.Time, updates []quarantine.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range updates {
		if s.table.Merge(now, n) && n.Server == "" {
			s.log.Warn().Stringer("content", n.Digest).Strs("ended_servers", s.table.Evidence(n.Digest)).
				Bool("let_go", n.Cleared).Msg("work is held back, or let go")
		}
	}
	s.nonEmpty.Store(!s.table.Empty())
}

// all returns all records, for control servers that may have lost them.
func (s *suspicions) all() []quarantine.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.All()
}

// removeExpired drops records that are too old to count.
func (s *suspicions) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Forget(now)
	s.nonEmpty.Store(!s.table.Empty())
}

// count returns how many digests are recorded, for the gauge.
func (s *suspicions) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// verdict returns the verdict on content, and the crashed incarnations that count against it.
func (s *suspicions) verdict(now time.Time, d quarantine.Digest) (quarantine.Verdict, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Verdict(now, d), s.table.Evidence(d)
}

// inFlight describes a request that a server had when it crashed.
type inFlight struct {
	content quarantine.Digest
	// alone: the content had no other attempt in progress.
	alone bool
	// parts are the shared parts of the prompt; events counts the pieces of the answer that came, writing is the time since
	// the first of them.
	parts   []string
	events  int
	writing time.Duration
}

// recordCrash records that an incarnation of a server crashed while it had this request.
func (s *suspicions) recordCrash(now time.Time, server string, r inFlight) {
	d := r.content
	update := quarantine.Update{Digest: d, Server: server, SoleAttempt: r.alone, At: now}
	s.mu.Lock()
	isNew := s.table.Merge(now, update)
	verdict := s.table.Verdict(now, d)
	s.nonEmpty.Store(true)
	s.mu.Unlock()
	if isNew {
		s.log.Info().Stringer("content", d).Str("server", server).Stringer("verdict", verdict).Bool("alone", r.alone).
			Strs("parts", r.parts).Int("events", r.events).Dur("writing_ms", r.writing).Msg("backend server ended under work")
		s.publish([]quarantine.Update{update})
	}
}

// recordAnswer records that a server answered a request with this content in full, so that it has not
// crashed a server. unframed: the answer ended with its connection.
func (s *suspicions) recordAnswer(now time.Time, d quarantine.Digest, server string, unframed bool) {
	s.mu.Lock()
	cleared := s.table.Answered(now, d)
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.log.Info().Stringer("content", d).Int("ends", len(cleared)).Str("server", server).Bool("unframed", unframed).Msg("work is cleared")
		s.publish(cleared)
	}
}

// takeTurn takes the turn of suspect content. If another call of this entry has it, takeTurn returns a
// channel that is closed when that turn ends; if another entry has it, the channel is nil.
func (s *suspicions) takeTurn(ctx context.Context, d quarantine.Digest) (taken bool, ended <-chan struct{}) {
	s.mu.Lock()
	if other, ok := s.turns[d]; ok {
		s.mu.Unlock()
		return false, other
	}
	s.turns[d] = make(chan struct{})
	s.mu.Unlock()
	if s.fleet.AcquireTurn(ctx, d) {
		return true, nil
	}
	s.endLocalTurn(d)
	return false, nil
}

func (s *suspicions) endTurn(d quarantine.Digest) {
	s.fleet.ReleaseTurn(d)
	s.endLocalTurn(d)
}

func (s *suspicions) endLocalTurn(d quarantine.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.turns[d])
	delete(s.turns, d)
}

// hasCrashed reports whether a server that closed a connection has crashed: its VM refuses new ones.
// A server that accepts one has closed only some, and one that answers no probe is unreachable, or
// its VM has lost power; neither says anything about the request. Concurrent calls share one
// check.
func (s *suspicions) hasCrashed(server *balance.Server) bool {
	s.mu.Lock()
	check := s.checks[server]
	if check == nil {
		check = &crashCheck{done: make(chan struct{})}
		s.checks[server] = check
		go s.checkCrash(server, check)
	}
	s.mu.Unlock()
	<-check.done
	return check.crashed
}

func (s *suspicions) checkCrash(server *balance.Server, check *crashCheck) {
	check.crashed = refusesConnections(server.Pool)
	s.mu.Lock()
	delete(s.checks, server)
	s.mu.Unlock()
	close(check.done)
}

// refusesConnections probes until an attempt has a result. Attempts that have none yet go on beside
// the later ones. They have no deadline of their own: a timer that expires while the process is
// stalled ends one interval, whatever the length of the stall.
func refusesConnections(pool *dispatch.Pool) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan error, crashProbes)
	for range crashProbes {
		go func() { results <- pool.Probe(ctx) }()
		select {
		case err := <-results:
			return errors.Is(err, syscall.ECONNREFUSED)
		case <-time.After(crashProbeInterval):
		}
	}
	select {
	case err := <-results: // it arrived together with the last timer
		return errors.Is(err, syscall.ECONNREFUSED)
	default:
		return false
	}
}
