package quarantine

import "time"

const (
	// soundRetention is how long a part of prompts on which a server wrote without a crash counts as sound. The knowledge is
	// renewed in its second half.
	soundRetention = 10 * time.Minute
	// settledAfter is how long after a short answer a server must not crash, for its parts to be sound.
	settledAfter = time.Second
	// maxSound bounds the known sound parts, 160 bytes each (BenchmarkSoundSize); a part has two digests. Those that no request had
	// for longest are forgotten first, half of them at a time.
	maxSound = 8192
)

// soundParts are the parts of prompts on which servers have written without a crash. A part that is in most prompts is at most servers
// that crash; without this knowledge it would count as a cause as soon as the one that is. What is sound on one
// version of the weights says nothing about another.
type soundParts struct {
	recent, older map[Digest]soundness
}

type soundness struct {
	version uint64
	server  string
	at      time.Time
	// settled: a later crash of the server says nothing about the part.
	settled bool
}

func (s *soundParts) get(d Digest) (soundness, bool) {
	if known, ok := s.recent[d]; ok {
		return known, true
	}
	known, ok := s.older[d]
	return known, ok
}

func (s *soundParts) put(d Digest, known soundness) {
	if _, ok := s.recent[d]; !ok && len(s.recent) >= maxSound/2 {
		s.recent, s.older = nil, s.recent
	}
	if s.recent == nil {
		s.recent = map[Digest]soundness{}
	}
	s.recent[d] = known
}

// RecordSound records that an incarnation of a server has written on a part of a prompt, on a version of the weights. settled: it
// has written for long enough that a later crash says nothing about the part. Earlier knowledge is kept while it is fresh and as
// good.
func (t *Table) RecordSound(now time.Time, d Digest, version uint64, server string, settled bool) {
	known, ok := t.sound.get(d)
	if !ok || known.version != version || now.Sub(known.at) >= soundRetention/2 || t.crashedAfter(known) || settled && !known.settled {
		known = soundness{version: version, server: server, at: now, settled: settled}
	}
	t.sound.put(d, known)
}

// IsSound reports whether a part of prompts is known as sound on a version of the weights, on any if version is 0: it is not
// known, or the server has none.
func (t *Table) IsSound(now time.Time, d Digest, version uint64) bool {
	known, ok := t.sound.get(d)
	return ok && (known.version == version || version == 0) && now.Sub(known.at) < soundRetention && !t.crashedAfter(known)
}

// crashedAfter reports whether the server that has written on a part crashed right after that.
func (t *Table) crashedAfter(known soundness) bool {
	crashedAt, crashed := t.servers[known.server]
	return !known.settled && crashed && crashedAt.Sub(known.at) < settledAfter
}
