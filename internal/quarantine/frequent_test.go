package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression: after eight servers had lost power at the same moment, four times within 14 s, six
// ordinary requests that many callers repeat were refused for ten minutes with "backend servers ended
// under this request".
//
// A frequent request is in flight at half or more of the servers of any event, so that one event
// counted as three crashes of its own. Quarantined content is not dispatched, so that no answer could
// clear it.

// Eight servers crash at once; each of six frequent requests was in flight at four to eight of them.
func TestOneEventQuarantinesNoContent(t *testing.T) {
	table := New()
	for i := range 6 {
		for server := range 4 + i%5 {
			table.crashed(fmt.Sprint("s-", (server+i)%8), 5*server, content(i))
		}
	}
	for i := range 6 {
		assert.Equal(t, Suspect, table.Verdict(at(1000), content(i)), "content %d", i)
	}
}

// Entries that are short of processor time detect and report the crashes of eight servers that were
// killed at one moment over 0.8 s. With four busy processes on the machine this quarantined all six
// requests of TestFrequentRequestsAreServedAfterKills.
func TestOneEventReportedLateQuarantinesNoContent(t *testing.T) {
	table := New()
	for i := range 6 {
		for server := range 8 {
			table.crashed(fmt.Sprint("s-", server), 100*server+10*i, content(i))
		}
	}
	for i := range 6 {
		assert.Equal(t, Suspect, table.Verdict(at(2000), content(i)), "content %d", i)
	}
}

// A request is retried, alone, as soon as its server has crashed, at a server that was killed with
// the first one and crashes some ms later, and so on.
func TestSoleAttemptDuringKillQuarantinesNoContent(t *testing.T) {
	table := New()
	for server := range 8 {
		crashedAt := at(20 * server)
		table.Merge(crashedAt, Update{Digest: content(1), Server: fmt.Sprint("s-", server), SoleAttempt: server > 0, At: crashedAt})
	}
	assert.Equal(t, Suspect, table.Verdict(at(2000), content(1)))
}

// frequentLoad is a fleet whose servers are killed repeatedly while callers send the same few
// requests all the time.
type frequentLoad struct {
	servers, frequent, kills int
	// killed servers crash at each kill; gapMS is the time between kills, downMS until a server is back.
	killed, gapMS, downMS int
	// answers: attempts are answered between two kills. Without, each kill hits the single attempt of
	// each request that was dispatched since.
	answers bool
}

// play returns how many of the frequent requests were quarantined after any kill.
func (l frequentLoad) play(seed uint64) (quarantined int) {
	r := rand.New(rand.NewPCG(seed, 2))
	table := New()
	for kill := range l.kills {
		ms := 1000 + kill*l.gapMS
		order := r.Perm(l.servers)[:l.killed]
		for i := range l.frequent {
			targets, alone := order, false
			if table.Verdict(at(ms), content(i)) == Suspect {
				// One attempt at a time runs, at any server, killed or not.
				targets, alone = nil, true
				if s := r.IntN(l.servers); s < l.killed {
					targets = order[s : s+1]
				}
			}
			for _, s := range targets {
				if alone || r.IntN(10) < 7 { // in flight at seven in ten servers at any moment
					crashedAt := at(ms + r.IntN(100))
					table.Merge(crashedAt, Update{Digest: content(i), Server: fmt.Sprintf("s-%d-%d", s, kill), SoleAttempt: alone, At: crashedAt})
				}
			}
		}
		// Other requests are in flight at every server.
		for n, s := range order {
			table.crashed(fmt.Sprintf("s-%d-%d", s, kill), ms+r.IntN(100), content(10000+1000*kill+n))
		}
		later := ms + l.gapMS - 100
		for i := range l.frequent {
			switch table.Verdict(at(later), content(i)) {
			case Quarantined, Unsettled:
				quarantined++
			case Suspect:
				if l.answers && (l.killed < l.servers || l.downMS < l.gapMS-200) {
					table.Answered(at(later), content(i), 0)
				}
			}
		}
	}
	return quarantined
}

// 30 to 100 of 100 servers, and 8 of 8, are killed at once, one to four times, with one to fifty
// frequent requests in flight; with answers in between, and without any.
func TestFrequentRequestsAreNotQuarantinedAfterKills(t *testing.T) {
	for seed := range uint64(20) {
		for _, share := range []int{30, 60, 100} {
			for _, frequent := range []int{1, 6, 50} {
				for _, answers := range []bool{true, false} {
					l := frequentLoad{servers: 100, killed: share, frequent: frequent, kills: 4, gapMS: 4500, downMS: 2000, answers: answers}
					assert.Zero(t, l.play(seed), "seed %d: %+v", seed, l)
					l.servers, l.killed, l.gapMS = 8, 8, 1000
					assert.Zero(t, l.play(seed), "seed %d: %+v", seed, l)
				}
			}
		}
	}
}

// Six attempts are in flight when the first server crashes. The next attempt, dispatched alone,
// crashes the last server.
func TestConcurrentAttemptsNeedOneMoreCrash(t *testing.T) {
	table := New()
	for s := range 6 {
		table.crashed(fmt.Sprint("s-", s), 20*s, content(1))
	}
	assert.Equal(t, Suspect, table.Verdict(at(500), content(1)))
	table.Merge(at(900), Update{Digest: content(1), Server: "s-6", SoleAttempt: true, At: at(900)})
	assert.Equal(t, Quarantined, table.Verdict(at(900).Add(settleTime), content(1)))
}

// A request that crashes its server at once is retried within milliseconds, so that its crashes fall
// within one event.
func TestSoleAttemptsCountSeparately(t *testing.T) {
	table := New()
	table.crashed("s-1", 0, content(1))
	for i, server := range []string{"s-2", "s-3"} {
		ms := 5 * (i + 1)
		table.Merge(at(ms), Update{Digest: content(1), Server: server, SoleAttempt: true, At: at(ms)})
	}
	assert.Equal(t, Unsettled, table.Verdict(at(20), content(1)))
	assert.Equal(t, Quarantined, table.Verdict(at(20).Add(settleTime), content(1)))
}

// Four to thirty servers are killed each second, while a request crashes the server of each attempt,
// which is dispatched alone as soon as the one before has failed. Some of its crashes coincide with a
// kill and weigh little; it is quarantined after a few more, within the time in which each entry must
// know of the third.
func TestContentIsQuarantinedDuringKills(t *testing.T) {
	const spreadMS = 3000
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 4))
		killed, firstKill := 4+r.IntN(27), r.IntN(1000)
		table := New()
		next, crashes, third, ms := 0, 0, 0, 0
		for ; table.Verdict(at(ms), content(0)) != Quarantined; ms += 10 {
			if ms%1000 == firstKill/10*10 {
				for s := range killed {
					table.crashed(fmt.Sprintf("k-%d-%d", ms, s), ms+r.IntN(100), content(1000+s))
				}
			}
			if ms >= next && table.Verdict(at(ms), content(0)) != Unsettled {
				crashes++
				table.Merge(at(ms), Update{Digest: content(0), Server: fmt.Sprint("c-", crashes), SoleAttempt: crashes > 1, At: at(ms)})
				next = ms + 100 + r.IntN(400)
				if crashes == 3 {
					third = ms
				}
			}
			if ms > 20000 {
				t.Fatalf("seed %d: not quarantined after %d crashes", seed, crashes)
			}
		}
		assert.LessOrEqual(t, ms-third, spreadMS, "seed %d: %d servers killed each second", seed, killed)
		t.Logf("seed %d: quarantined %d ms after the third of %d crashes, %d servers killed each second", seed, ms-third, crashes, killed)
	}
}
