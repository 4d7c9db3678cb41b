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
	"lynxgate.dev/lynxgate/internal/quarantine"
)

const (
	// endCheck bounds the question whether a server that broke off has ended: its VM answers
	// within a round trip, whether or not the server is there.
	endCheck = 150 * time.Millisecond
	// turnWait is the longest that a copy of suspect work waits until another copy of it has
	// ended here: a request that crashes its server does so within some 0.1 s, one that does
	// not is answered, or goes on for longer than its other callers can wait.
	turnWait = 400 * time.Millisecond
	// settlePause is how often work that is not judged yet is looked at again.
	settlePause = 50 * time.Millisecond
)

// suspicions is what an entry knows of work that was at servers that ended, its own sends and
// what other entries tell. Suspect work runs once at a time: here by turns, over all entries by
// fleet.
type suspicions struct {
	log  zerolog.Logger
	tell func([]quarantine.News)
	// fleet gives turns over all entries, turns those of this one.
	fleet Turns
	// any: the table is not empty. Nothing is locked, and no digest made, while it is.
	any atomic.Bool

	mu    sync.Mutex
	table *quarantine.Table
	// turns are held by calls with suspect work; each is closed when it is given back.
	turns map[quarantine.Digest]chan struct{}
	// checks are questions under way, by server.
	checks map[*balance.Server]*endedCheck
}

// endedCheck is one question whether a server has ended.
type endedCheck struct {
	done  chan struct{}
	ended bool
}

// Turns gives the turn of suspect work to one entry at a time.
type Turns interface {
	// AskTurn tells whether this entry may run the work now; it has to end the turn then.
	AskTurn(ctx context.Context, d quarantine.Digest) bool
	EndTurn(d quarantine.Digest)
}

// noTurns is for an entry that knows no others.
type noTurns struct{}

func (noTurns) AskTurn(context.Context, quarantine.Digest) bool { return true }
func (noTurns) EndTurn(quarantine.Digest)                       {}

func newSuspicions(log zerolog.Logger, tell func([]quarantine.News), fleet Turns) *suspicions {
	if fleet == nil {
		fleet = noTurns{}
	}
	if tell == nil {
		tell = func([]quarantine.News) {}
	}
	return &suspicions{
		log: log, tell: tell, fleet: fleet, table: quarantine.New(),
		turns: map[quarantine.Digest]chan struct{}{}, checks: map[*balance.Server]*endedCheck{},
	}
}

// take merges what other entries have told.
func (s *suspicions) take(now time.Time, news []quarantine.News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range news {
		if s.table.Merge(now, n) && n.Server == "" {
			s.log.Warn().Stringer("content", n.Digest).Strs("ended_servers", s.table.Evidence(n.Digest)).
				Bool("let_go", n.Cleared).Msg("work is held back, or let go")
		}
	}
	s.any.Store(!s.table.Empty())
}

// all returns what is known, for control servers that may have forgotten it.
func (s *suspicions) all() []quarantine.News {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.All()
}

// forget drops what no longer counts.
func (s *suspicions) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Forget(now)
	s.any.Store(!s.table.Empty())
}

// count is how many pieces of work are known, for the gauge.
func (s *suspicions) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// verdict judges work, and returns the starts of servers that count against it.
func (s *suspicions) verdict(now time.Time, d quarantine.Digest) (quarantine.Verdict, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Verdict(now, d), s.table.Evidence(d)
}

// endedUnder notes that a start of a server has ended while work was there, alone if no other
// copy of it was under way.
func (s *suspicions) endedUnder(now time.Time, server string, d quarantine.Digest, alone bool) {
	news := quarantine.News{Digest: d, Server: server, Alone: alone, At: now}
	s.mu.Lock()
	isNew := s.table.Merge(now, news)
	verdict := s.table.Verdict(now, d)
	s.any.Store(true)
	s.mu.Unlock()
	if isNew {
		s.log.Info().Stringer("content", d).Str("server", server).Stringer("verdict", verdict).Bool("alone", alone).Msg("backend server ended under work")
		s.tell([]quarantine.News{news})
	}
}

// served notes that work was answered in full: no server ended by it.
func (s *suspicions) served(now time.Time, d quarantine.Digest) {
	s.mu.Lock()
	cleared := s.table.Served(now, d)
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.log.Info().Stringer("content", d).Int("ends", len(cleared)).Msg("work is cleared")
		s.tell(cleared)
	}
}

// turn takes the turn of suspect work, or returns what is closed once its holder here ends,
// nil if another entry has it.
func (s *suspicions) turn(ctx context.Context, d quarantine.Digest) (taken bool, held <-chan struct{}) {
	s.mu.Lock()
	if other, ok := s.turns[d]; ok {
		s.mu.Unlock()
		return false, other
	}
	s.turns[d] = make(chan struct{})
	s.mu.Unlock()
	if s.fleet.AskTurn(ctx, d) {
		return true, nil
	}
	s.endTurnHere(d)
	return false, nil
}

func (s *suspicions) giveTurnBack(d quarantine.Digest) {
	s.fleet.EndTurn(d)
	s.endTurnHere(d)
}

func (s *suspicions) endTurnHere(d quarantine.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.turns[d])
	delete(s.turns, d)
}

// hasEnded tells whether a server that broke off has ended: its VM refuses connections. One
// that takes them has only closed some, and one that doesn't answer is cut off, or its VM has
// lost power; neither says anything about the work. Calls that ask at once share one answer.
func (s *suspicions) hasEnded(server *balance.Server) bool {
	s.mu.Lock()
	check := s.checks[server]
	if check == nil {
		check = &endedCheck{done: make(chan struct{})}
		s.checks[server] = check
		go s.ask(server, check)
	}
	s.mu.Unlock()
	<-check.done
	return check.ended
}

func (s *suspicions) ask(server *balance.Server, check *endedCheck) {
	ctx, cancel := context.WithTimeout(context.Background(), endCheck)
	defer cancel()
	check.ended = errors.Is(server.Pool.Probe(ctx), syscall.ECONNREFUSED)
	s.mu.Lock()
	delete(s.checks, server)
	s.mu.Unlock()
	close(check.done)
}
