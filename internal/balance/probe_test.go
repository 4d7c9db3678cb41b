package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against an engine that gets no request while its agent stands still alone, until it announces itself.
func TestEngineBesideAFrozenAgentIsUsedOnceItAnswersAProbe(t *testing.T) {
	b, now := reporting(4)
	s, sent := b.servers["1"], 0
	b.OnProbe(func(*Server) { sent++ })
	const pass = 20 * time.Millisecond
	asked := now.Add(reportDelay)
	b.AgentSilent(&Choice{Server: s}, asked)
	now = asked.Add(pass)
	assert.False(t, onlyAt(b, now, "1"))
	assert.Equal(t, 1, sent)
	b.ProbeAnswered(s, now, now.Add(pass), Report{Running: 3, Waiting: 1})
	now = now.Add(pass)
	assert.True(t, onlyAt(b, now, "1"))
	assert.Equal(t, 4.0, s.queueLength(now, 1), "the load that it has stated")
	used := 0
	for range 100 { // 2 s in which the others report, and probes are answered at the next step
		now = now.Add(pass)
		for _, id := range []string{"2", "3", "4"} {
			reportAlive(b, now, id)
		}
		before := sent
		if onlyAt(b, now, "1") {
			used++
		}
		if sent > before {
			b.ProbeAnswered(s, now, now.Add(pass), Report{})
		}
	}
	assert.GreaterOrEqual(t, used, 80)
	assert.LessOrEqual(t, sent, 8, "it is probed only when it would be held back")
}

// Guards against requests, and many probes, to an engine whose VM stands still beside its agent.
func TestEngineThatAnswersNoProbeStaysHeldBack(t *testing.T) {
	b, now := reporting(4)
	s, sent := b.servers["1"], 0
	b.OnProbe(func(*Server) { sent++ })
	b.AgentSilent(&Choice{Server: s}, now)
	first := now
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		assert.False(t, onlyAt(b, now, "1"))
	}
	assert.LessOrEqual(t, sent, 6)
	b.ProbeAnswered(s, first.Add(10*time.Millisecond), now, Report{})
	assert.True(t, s.ranAfter(first, now), "it has run since it was probed")
	for _, id := range []string{"2", "3", "4"} {
		reportAlive(b, now, id)
	}
	assert.False(t, onlyAt(b, now.Add(reportsCheckInterval), "1"), "the probe may have been answered at any time since")
}

// Guards against an answer of a later engine under the same address, and one that was overtaken.
func TestAnswerToAProbeIsOfTheSameIncarnation(t *testing.T) {
	b, now := reporting(2)
	s := b.servers["1"]
	s.record.StartUnixMs = 5
	b.ProbeAnswered(s, now, now, Report{StartUnixMs: 6})
	assert.Zero(t, s.probes.answeredAt)
	b.ProbeAnswered(s, now, now, Report{StartUnixMs: 5})
	b.ProbeAnswered(s, now.Add(-time.Second), now, Report{StartUnixMs: 5})
	assert.Equal(t, now, s.probes.answeredAt)
}

// Guards against probes that grow with the number of entries.
func TestProbesOfAllEntriesAreBounded(t *testing.T) {
	for _, entries := range []int{1, 4, 180, 1000} {
		p, sent := probes{}, 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
			if p.due(now, entries) {
				sent++
				p.answeredAt = now
			}
		}
		assert.LessOrEqual(t, float64(sent*entries)/20, probesPerSecond*1.05+float64(entries)/20, "%d entries", entries)
	}
}

// Guards against probes of plain services, which have no state to ask for.
func TestPlainServiceIsNotProbed(t *testing.T) {
	b, now := reporting(4)
	s, sent := b.servers["1"], 0
	b.OnProbe(func(*Server) { sent++ })
	s.engine = nil
	s.agentSilentAt = now
	b.probe(now, s)
	assert.Zero(t, sent)
}
