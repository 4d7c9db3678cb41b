package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "lynxgate.dev/lynxgate/internal/testseed"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func work(n int) Digest { return DigestOf("org", "POST", "h", fmt.Sprint("/", n), nil) }

// end notes that pieces of work were at a server when it ended.
func (t *Table) end(server string, ms int, digests ...Digest) {
	for _, d := range digests {
		t.Merge(at(ms), News{Digest: d, Server: server, At: at(ms)})
	}
}

func TestWorkIsHeldAfterTheThirdEnd(t *testing.T) {
	table := New()
	assert.Equal(t, Free, table.Verdict(at(0), work(1)))
	table.end("s-1", 0, work(1))
	table.end("s-1", 5, work(1)) // told again, by another entry
	assert.Equal(t, Suspect, table.Verdict(at(5), work(1)))
	table.end("s-2", 400, work(1))
	assert.Equal(t, Suspect, table.Verdict(at(1000), work(1)), "two may be a coincidence")
	table.end("s-3", 1100, work(1))
	assert.Equal(t, Unsettled, table.Verdict(at(1100), work(1)), "not sent, not judged")
	assert.Equal(t, Held, table.Verdict(at(1100).Add(settleTime), work(1)))
	assert.Equal(t, []string{"s-1", "s-2", "s-3"}, table.Evidence(work(1)))
	assert.Equal(t, Free, table.Verdict(at(1500), work(2)), "others are not concerned")
}

func TestAnswerClearsWork(t *testing.T) {
	table, other := New(), New()
	for i, server := range []string{"s-1", "s-2"} {
		table.end(server, 1000*i, work(1))
		other.end(server, 1000*i, work(1))
	}
	for _, n := range table.Served(at(1500), work(1)) {
		other.Merge(at(1500), n)
	}
	assert.Equal(t, Free, table.Verdict(at(1500), work(1)))
	assert.Equal(t, Free, other.Verdict(at(1500), work(1)), "where it was told, too")
	other.end("s-2", 1000, work(1)) // late news of what was cleared
	assert.Equal(t, Free, other.Verdict(at(1600), work(1)))
	other.end("s-3", 1700, work(1))
	assert.Equal(t, Suspect, other.Verdict(at(2700), work(1)), "only what came after counts")
}

func TestClearedWorkIsForgottenSoon(t *testing.T) {
	table := New()
	table.end("s-1", 0, work(1), work(2))
	table.Served(at(1000), work(1))
	assert.Len(t, table.All(), 1, "a daemon that has just started needs no more")
	table.Forget(at(1000).Add(forgetCleared + time.Second))
	assert.Equal(t, 1, table.Len())
	assert.Equal(t, Suspect, table.Verdict(at(2000), work(2)))
}

func TestVerdictEndsAfterAWhile(t *testing.T) {
	table := New()
	for i, server := range []string{"s-1", "s-2", "s-3"} {
		table.end(server, 1000*i, work(1))
	}
	now := at(3000)
	assert.Len(t, table.Settle(now), 1)
	assert.Empty(t, table.Settle(now), "said once")
	table.Forget(now.Add(forgetAfter - time.Second))
	assert.Equal(t, Held, table.Verdict(now.Add(forgetAfter-time.Second), work(1)))
	table.Forget(now.Add(forgetAfter + time.Second))
	assert.True(t, table.Empty())
}

// TestHeldWorkStaysHeldWithoutItsEvidence: the log keeps the verdict alone, and entries that
// start later learn no more.
func TestHeldWorkStaysHeldWithoutItsEvidence(t *testing.T) {
	table := New()
	table.Merge(at(0), News{Digest: work(1), At: at(0)})
	assert.Equal(t, Held, table.Verdict(at(10), work(1)))
}

// TestMergeInAnyOrder: both sides of a cut, and entries that heard of things in other orders,
// come to the same verdicts.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var news []News
		for range rapid.IntRange(1, 40).Draw(t, "facts") {
			n := News{Digest: work(rapid.IntRange(0, 3).Draw(t, "work")), At: at(rapid.IntRange(0, 5000).Draw(t, "at"))}
			if server := rapid.IntRange(0, 6).Draw(t, "server"); server > 0 {
				// One server ends at one moment.
				n.Server, n.At = fmt.Sprint("s-", server), at(700*server)
				n.Cleared, n.Alone = rapid.Bool().Draw(t, "cleared"), rapid.Bool().Draw(t, "alone")
			} else if rapid.Bool().Draw(t, "lifted") {
				n.Cleared, n.At = true, at(2000*rapid.IntRange(0, 2).Draw(t, "lift"))
			}
			news = append(news, n)
		}
		now := at(6000)
		a, b := New(), New()
		for _, n := range news {
			a.Merge(now, n)
		}
		order := rapid.Permutation(append(news, news...)).Draw(t, "order")
		for _, n := range order {
			b.Merge(now, n)
		}
		for i := range 4 {
			assert.Equal(t, a.Verdict(now, work(i)), b.Verdict(now, work(i)))
			assert.Equal(t, a.Evidence(work(i)), b.Evidence(work(i)))
		}
	})
}

func TestOperatorLetsWorkGo(t *testing.T) {
	table := New()
	for i, server := range []string{"s-1", "s-2", "s-3"} {
		table.end(server, 1000*i, work(1))
	}
	table.Settle(at(3000))
	assert.Equal(t, []Entry{{Digest: work(1), Verdict: Held, Servers: []string{"s-1", "s-2", "s-3"}, Since: at(3000)}}, table.Entries(at(3000)))
	lifted := News{Digest: work(1), Cleared: true, At: at(5000)}
	assert.True(t, table.Merge(at(5000), lifted))
	lifted.At = at(5020)
	assert.False(t, table.Merge(at(5020), lifted), "the same, over another daemon")
	assert.Equal(t, Free, table.Verdict(at(5000), work(1)))
	assert.Empty(t, table.Entries(at(5000)))
	table.Merge(at(5100), News{Digest: work(1), At: at(3000)}) // of an entry that has not heard of it
	assert.Equal(t, Free, table.Verdict(at(5100), work(1)))
	for i, server := range []string{"s-4", "s-5", "s-6"} {
		table.end(server, 6000+1000*i, work(1))
	}
	assert.Equal(t, Held, table.Verdict(at(9000), work(1)), "it ends servers again")
}

func TestDigestIsReadBack(t *testing.T) {
	d, err := ParseDigest(work(1).String())
	assert.NoError(t, err)
	assert.Equal(t, work(1), d)
	for _, text := range []string{"", "12", "xyz", work(1).String() + "00"} {
		_, err := ParseDigest(text)
		assert.Error(t, err, text)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	for i, server := range []string{"s-1", "s-2", "s-3"} {
		table.end(server, 1000*i, work(0))
	}
	table.Settle(at(4000))
	for i := range 2 * maxRecords {
		table.end("s-9", 5000+i, work(i+1))
	}
	assert.Equal(t, maxRecords, table.Len())
	assert.Equal(t, Held, table.Verdict(at(20000), work(0)), "work that is held is dropped last")
}

// TestKillsOfManyServersHoldNobodyBack: 60 of 100 servers with 8 requests each are killed at
// once, three times in a row a second apart; what they ran is sent to the others, and the
// requests of a caller that got no answer come again. Entries hear of it up to 100 ms late.
// No request but the one that ends servers by itself is held back.
func TestKillsOfManyServersHoldNobodyBack(t *testing.T) {
	const servers, slots, killed, kills = 100, 8, 60, 3
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		table := New()
		running := make([][]Digest, servers)
		next := 0
		for s := range servers {
			for range slots {
				next++
				running[s] = append(running[s], work(next))
			}
		}
		crashing, crashedAt := work(0), 0
		held := map[Digest]bool{}
		for kill := range kills {
			ms := 1000 * kill
			order := r.Perm(servers)
			var broken []Digest
			for _, s := range order[:killed] {
				broken = append(broken, running[s]...)
				table.end(fmt.Sprintf("s-%d-%d", s, kill), ms+r.IntN(100), running[s]...)
				running[s] = nil
			}
			// Between two kills one request ends a server by itself, with all that runs there.
			crashedAt = ms + 500
			victim := order[servers-1]
			table.end(fmt.Sprintf("s-%d-%d-crashed", victim, kill), crashedAt, append(running[victim], crashing)...)
			broken = append(broken, running[victim]...)
			running[victim] = nil
			for _, d := range broken { // sent to those that are left, without regard to slots
				to := order[killed+r.IntN(servers-killed-1)]
				running[to] = append(running[to], d)
			}
			for i := range next {
				if v := table.Verdict(at(ms+900), work(i+1)); v == Held || v == Unsettled {
					held[work(i+1)] = true
				}
			}
		}
		assert.Empty(t, held, "seed %d", seed)
		assert.Equal(t, Held, table.Verdict(at(crashedAt).Add(settleTime), crashing), "seed %d", seed)
	}
}

// TestManyCrashingRequestsAtOnceAreHeld: six requests each of which ends servers come at the
// same time, so that none of them explains most of the ends.
func TestManyCrashingRequestsAtOnceAreHeld(t *testing.T) {
	table := New()
	for round := range 6 {
		for i := range 6 {
			table.end(fmt.Sprintf("s-%d-%d", i, round), 500*round+10*i, work(i))
		}
	}
	for i := range 6 {
		assert.Equal(t, Held, table.Verdict(at(4000), work(i)))
	}
}
