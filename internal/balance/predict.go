package balance

import (
	"math/rand/v2"
	"time"
)

// otherSenders estimates how many other entries send to a server at the same moment as this
// one: all that evaluate it, unless this one owns it.
func (b *Balancer) otherSenders(s *Server) float64 {
	if s.owned {
		return 0
	}
	servers := len(b.services[s.record.Service])
	looked := float64(b.sampleSize(servers)) / float64(max(servers, 1))
	return min(looked, 1) * float64(b.view.EntryCount()-1)
}

// predictWait predicts how long one more request waits for a slot and for the prompts that are
// read before its own, plus the recent lateness. Prompts that others send are unknown here until
// the next report: they are assumed to be as many as this entry's, and one more each. Otherwise
// an engine that has just loaded, empty by its last report, gets a dozen prompts at once from
// several entries, which are read one after the other.
func (s *Server) predictWait(now time.Time, queue, others float64) time.Duration {
	if s.engine == nil {
		return 0
	}
	over := max(0, queue-float64(s.slots())+1)
	pace := s.pace(now)
	usual := scale(s.engine.PrefillTime(s.engine.UsualPrompt), pace)
	reading := s.pendingRead + time.Duration(others*float64(s.pendingRead+usual))
	return reading + scale(s.engine.RequestTime(), over*pace) + s.excess.now(now)
}

// FirstEvent records that an event of a request was received: its prompt has been read.
func (b *Balancer) FirstEvent(c *Choice, now time.Time) {
	if c.begun {
		return
	}
	defer b.slotFreed()
	b.mu.Lock()
	defer b.mu.Unlock()
	c.begun = true
	c.Server.unanswered--
	if s := c.Server; s.engine != nil {
		s.excess.observe(now, now.Sub(c.pickedAt)-c.FirstEvent)
		b.learnUnseen(c, now, now.After(c.due))
	}
	c.Server.pendingRead -= c.Read
	c.Read = 0
}

// score orders servers, lowest first.
func (b *Balancer) score(now time.Time, s *Server, queue float64, p prediction, c costs) time.Duration {
	score := p.wait + p.extra + time.Duration(queue*float64(queuedPenalty)) + c.owner + rand.N(c.tieBreak)
	score += time.Duration((queue + 1) * (s.hostLoad(now) - 1) * float64(queuedPenalty))
	score += time.Duration(float64(s.heldBytes) / (1 << 20) * float64(heldPenalty))
	if !s.sameZone {
		score += otherZonePenalty
	}
	if now.Sub(s.seenAt) > staleAfter {
		score += stalePenalty
	}
	if s.silent(now) {
		score += silentPenalty
	}
	return score + time.Duration(max(s.health.failures, s.health.timeouts)*float64(failurePenalty))
}
