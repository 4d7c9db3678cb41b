package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// What users saw: after eight servers had lost power at the same moment, four times within
// 14 s, six ordinary requests that many callers send again and again were refused for ten
// minutes, since "backend servers ended under this request".
//
// Cause: a request that is sent often is in flight at half or more of the servers of any
// event, so that one event counted as three ends of its own. Work that was held is not sent,
// so that no answer could clear it.

// TestOneEventHoldsNobody: eight servers end at once, each of six frequent requests was at
// four to eight of them.
func TestOneEventHoldsNobody(t *testing.T) {
	table := New()
	for i := range 6 {
		for server := range 4 + i%5 {
			table.end(fmt.Sprint("s-", (server+i)%8), 5*server, work(i))
		}
	}
	for i := range 6 {
		assert.Equal(t, Suspect, table.Verdict(at(1000), work(i)), "work %d", i)
	}
}

// TestOneEventSeenLateHoldsNobody: entries that are short of processor time see and tell the ends
// of eight servers that were killed at one moment over 0.8 s. Beside four busy processes all six
// requests of TestFrequentRequestsAreServedAfterKills were held that way.
func TestOneEventSeenLateHoldsNobody(t *testing.T) {
	table := New()
	for i := range 6 {
		for server := range 8 {
			table.end(fmt.Sprint("s-", server), 100*server+10*i, work(i))
		}
	}
	for i := range 6 {
		assert.Equal(t, Suspect, table.Verdict(at(2000), work(i)), "work %d", i)
	}
}

// TestCopySentAloneIntoAKillHoldsNobody: a request is sent again, alone, as soon as its server has
// ended, to one that was killed with the first one and ends some ms later, and so on.
func TestCopySentAloneIntoAKillHoldsNobody(t *testing.T) {
	table := New()
	for server := range 8 {
		ended := at(20 * server)
		table.Merge(ended, News{Digest: work(1), Server: fmt.Sprint("s-", server), Alone: server > 0, At: ended})
	}
	assert.Equal(t, Suspect, table.Verdict(at(2000), work(1)))
}

// frequentLoad is a fleet whose servers are killed again and again, while callers send the
// same few requests all the time.
type frequentLoad struct {
	servers, frequent, kills int
	// killed of the servers end at each kill; gapMS between two kills, downMS until a server is back.
	killed, gapMS, downMS int
	// answers: copies are answered between two kills. Without, a kill finds the careful copy of
	// each request that was sent since.
	answers bool
}

// play returns how many of the frequent requests were held after any kill.
func (l frequentLoad) play(seed uint64) (held int) {
	r := rand.New(rand.NewPCG(seed, 2))
	table := New()
	for kill := range l.kills {
		ms := 1000 + kill*l.gapMS
		order := r.Perm(l.servers)[:l.killed]
		for i := range l.frequent {
			copies, alone := order, false
			if table.Verdict(at(ms), work(i)) == Suspect {
				// One copy at a time runs, at any server, killed or not.
				copies, alone = nil, true
				if s := r.IntN(l.servers); s < l.killed {
					copies = order[s : s+1]
				}
			}
			for _, s := range copies {
				if alone || r.IntN(10) < 7 { // at seven in ten servers at any moment
					ended := at(ms + r.IntN(100))
					table.Merge(ended, News{Digest: work(i), Server: fmt.Sprintf("s-%d-%d", s, kill), Alone: alone, At: ended})
				}
			}
		}
		// Other requests are at every server.
		for n, s := range order {
			table.end(fmt.Sprintf("s-%d-%d", s, kill), ms+r.IntN(100), work(10000+1000*kill+n))
		}
		later := ms + l.gapMS - 100
		for i := range l.frequent {
			switch table.Verdict(at(later), work(i)) {
			case Held, Unsettled:
				held++
			case Suspect:
				if l.answers && (l.killed < l.servers || l.downMS < l.gapMS-200) {
					table.Served(at(later), work(i))
				}
			}
		}
	}
	return held
}

// TestFrequentRequestsAreNotHeldAfterKills: 30 to 100 of 100 servers, and 8 of 8, are killed
// at once, one to four times, under one to fifty frequent requests; with answers in between, and
// with none at all.
func TestFrequentRequestsAreNotHeldAfterKills(t *testing.T) {
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

// TestSixCopiesAtOnceCostOneServerMore: six copies are under way as the first server ends. The
// next one, sent alone, ends the last server.
func TestSixCopiesAtOnceCostOneServerMore(t *testing.T) {
	table := New()
	for s := range 6 {
		table.end(fmt.Sprint("s-", s), 20*s, work(1))
	}
	assert.Equal(t, Suspect, table.Verdict(at(500), work(1)))
	table.Merge(at(900), News{Digest: work(1), Server: "s-6", Alone: true, At: at(900)})
	assert.Equal(t, Held, table.Verdict(at(900).Add(settleTime), work(1)))
}

// TestCopiesSentAloneCountEach: a request that ends its server at once is sent again within
// milliseconds, so that its ends lie in the time of one event.
func TestCopiesSentAloneCountEach(t *testing.T) {
	table := New()
	table.end("s-1", 0, work(1))
	for i, server := range []string{"s-2", "s-3"} {
		ms := 5 * (i + 1)
		table.Merge(at(ms), News{Digest: work(1), Server: server, Alone: true, At: at(ms)})
	}
	assert.Equal(t, Unsettled, table.Verdict(at(20), work(1)))
	assert.Equal(t, Held, table.Verdict(at(20).Add(settleTime), work(1)))
}

// TestWorkIsHeldBesideKills: four to thirty servers are killed each second, while a request ends
// the server of each copy, which is sent alone as soon as the one before has ended. Of its ends
// some fall into a kill's time and count little; it is held after a few more, within the time in
// which each entry must know of the third.
func TestWorkIsHeldBesideKills(t *testing.T) {
	const spreadMS = 3000
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 4))
		killed, firstKill := 4+r.IntN(27), r.IntN(1000)
		table := New()
		next, ends, third, ms := 0, 0, 0, 0
		for ; table.Verdict(at(ms), work(0)) != Held; ms += 10 {
			if ms%1000 == firstKill/10*10 {
				for s := range killed {
					table.end(fmt.Sprintf("k-%d-%d", ms, s), ms+r.IntN(100), work(1000+s))
				}
			}
			if ms >= next && table.Verdict(at(ms), work(0)) != Unsettled {
				ends++
				table.Merge(at(ms), News{Digest: work(0), Server: fmt.Sprint("c-", ends), Alone: ends > 1, At: at(ms)})
				next = ms + 100 + r.IntN(400)
				if ends == 3 {
					third = ms
				}
			}
			if ms > 20000 {
				t.Fatalf("seed %d: not held after %d ends", seed, ends)
			}
		}
		assert.LessOrEqual(t, ms-third, spreadMS, "seed %d: %d servers killed each second", seed, killed)
		t.Logf("seed %d: held %d ms after the third of %d ends, %d servers killed each second", seed, ms-third, ends, killed)
	}
}
