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
	// closed are requests that servers may go on with, by the server's incarnation; closedCount is their number.
	closed      map[string][]closedRequest
	closedCount int
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
		closed: map[string][]closedRequest{},
	}
}

// merge adds the reports of other entries. It clears the parts among them that are known here as sound.
func (s *suspicions) merge(now time.Time, updates []quarantine.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []inFlight
	for _, n := range updates {
		isNew := s.table.Merge(now, n)
		if isNew && !n.Cleared {
			kept = append(kept, s.takeClosed(now, n.Server)...)
		}
		if isNew && n.Server != "" && !n.Cleared && s.table.IsSound(now, n.Digest, n.Version) {
			// This is called while a stream to a control server is read, which must not wait for its own messages.
			go s.publish(s.table.Answered(now, n.Digest, n.Version))
		}
		if isNew && n.Server == "" {
			s.log.Warn().Stringer("content", n.Digest).Str("part", n.Part).Strs("ended_servers", s.table.Evidence(n.Digest)).
				Bool("let_go", n.Cleared).Msg("work is held back, or let go")
		}
	}
	s.nonEmpty.Store(!s.table.Empty())
	if len(kept) > 0 {
		go s.recordCrashes(now, kept) // it publishes, as above
	}
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
	s.dropExpiredClosed(now)
	s.nonEmpty.Store(!s.table.Empty())
}

// count returns how many digests are recorded, for the gauge.
func (s *suspicions) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// judge returns the verdict on a request with these candidate causes.
func (s *suspicions) judge(now time.Time, candidates []quarantine.Candidate) quarantine.Judgement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Judge(now, candidates)
}

// inFlight describes a request that a server had when it crashed.
type inFlight struct {
	// server is the incarnation of the server, version that of its weights.
	server  string
	version uint64
	// candidates are its candidate causes, the content last.
	candidates []observed
	// parts are the shared parts of the prompt; events counts the pieces of the answer that came, writing is for how long the
	// server had written.
	parts   []string
	events  int
	writing time.Duration
	// closed: this entry had closed it, so that the server may have dropped it.
	closed bool
}

// observed is a candidate cause. alone: no other attempt with it was in progress.
type observed struct {
	quarantine.Candidate
	alone bool
}

func (s *suspicions) recordCrashes(now time.Time, requests []inFlight) {
	for _, r := range requests {
		s.recordCrash(now, r)
	}
}

// recordCrash records that a server crashed while it had this request, and those that it may have gone on with. Sound parts do
// not count.
func (s *suspicions) recordCrash(now time.Time, r inFlight) {
	var updates []quarantine.Update
	var suspect []string
	s.mu.Lock()
	sound := false // the last part that is a candidate for all organisations
	for _, o := range r.candidates {
		if o.Origin != 0 {
			sound = s.table.IsSound(now, o.Digest, r.version)
		}
		if o.Part != "" && (sound || s.table.IsSound(now, o.Digest, r.version)) {
			continue
		}
		update := quarantine.Update{
			Digest: o.Digest, Server: r.server, SoleAttempt: o.alone, Origin: o.Origin, Part: o.Part, Version: r.version, At: now,
		}
		if s.table.Merge(now, update) {
			updates = append(updates, update)
		}
		if o.Origin != 0 {
			suspect = append(suspect, o.Part)
		}
	}
	content := r.candidates[len(r.candidates)-1]
	verdict := s.table.Verdict(now, content.Digest)
	s.nonEmpty.Store(true)
	kept := s.takeClosed(now, r.server)
	s.mu.Unlock()
	if len(updates) > 0 {
		s.log.Info().Stringer("content", content.Digest).Str("server", r.server).Stringer("verdict", verdict).Bool("alone", content.alone).
			Strs("parts", r.parts).Strs("suspect_parts", suspect).Uint64("weights", r.version).Int("events", r.events).Bool("closed", r.closed).
			Dur("writing_ms", r.writing).Msg("backend server ended under work")
		s.publish(updates)
	}
	s.recordCrashes(now, kept)
}

// recordAnswer records that a server answered a request with this content in full, so that it has not
// crashed a server. unframed: the answer ended with its connection.
func (s *suspicions) recordAnswer(now time.Time, d quarantine.Digest, version uint64, server string, unframed bool) {
	s.mu.Lock()
	cleared := s.table.Answered(now, d, version)
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.log.Info().Stringer("content", d).Int("ends", len(cleared)).Str("server", server).Bool("unframed", unframed).Msg("work is cleared")
		s.publish(cleared)
	}
}

// recordSound records that a server has written an answer on parts of a prompt, which clears them. settled is that of
// quarantine.Table.RecordSound.
func (s *suspicions) recordSound(now time.Time, parts []quarantine.Candidate, version uint64, server string, settled bool) {
	var cleared []quarantine.Update
	var names []string
	s.mu.Lock()
	for _, part := range parts {
		s.table.RecordSound(now, part.Digest, version, server, settled)
		if !s.nonEmpty.Load() {
			continue
		}
		if updates := s.table.Answered(now, part.Digest, version); len(updates) > 0 {
			cleared, names = append(cleared, updates...), append(names, part.Part)
		}
	}
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.log.Info().Strs("parts", names).Int("ends", len(cleared)).Str("server", server).Msg("parts of prompts are cleared")
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
	check.crashed = probe(server.Pool) == probeRefused
	s.mu.Lock()
	delete(s.checks, server)
	s.mu.Unlock()
	close(check.done)
}

// probeResult is what a server's VM does with a new connection.
type probeResult uint8

const (
	// probeSilent: there was no answer in time, or an error that says nothing about the server.
	probeSilent probeResult = iota
	probeAccepted
	probeRefused
)

func probeResultOf(err error) probeResult {
	switch {
	case err == nil:
		return probeAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeRefused
	}
	return probeSilent
}

// probe makes connection attempts until one has a result. Attempts that have none yet go on beside
// the later ones. They have no deadline of their own: a timer that expires while the process is
// stalled ends one interval, whatever the length of the stall.
func probe(pool *dispatch.Pool) probeResult {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan error, crashProbes)
	for range crashProbes {
		go func() { results <- pool.Probe(ctx) }()
		select {
		case err := <-results:
			return probeResultOf(err)
		case <-time.After(crashProbeInterval):
		}
	}
	select {
	case err := <-results: // it arrived together with the last timer
		return probeResultOf(err)
	default:
		return probeSilent
	}
}
