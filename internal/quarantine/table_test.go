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

func content(n int) Digest { return DigestOf("org", "POST", "h", fmt.Sprint("/", n), nil) }

// crashed records that contents were in flight at a server when it crashed.
func (t *Table) crashed(server string, ms int, digests ...Digest) {
	for _, d := range digests {
		t.Merge(at(ms), Update{Digest: d, Server: server, At: at(ms)})
	}
}

func TestContentIsQuarantinedAfterThreeCrashes(t *testing.T) {
	table := New()
	assert.Equal(t, Free, table.Verdict(at(0), content(1)))
	table.crashed("s-1", 0, content(1))
	table.crashed("s-1", 5, content(1)) // repeated by another entry
	assert.Equal(t, Suspect, table.Verdict(at(5), content(1)))
	table.crashed("s-2", 400, content(1))
	assert.Equal(t, Suspect, table.Verdict(at(1000), content(1)), "two may be a coincidence")
	table.crashed("s-3", 1100, content(1))
	assert.Equal(t, Unsettled, table.Verdict(at(1100), content(1)), "not dispatched, not quarantined")
	assert.Equal(t, Quarantined, table.Verdict(at(1100).Add(settleTime), content(1)))
	assert.Equal(t, []string{"s-1", "s-2", "s-3"}, table.Evidence(content(1)))
	assert.Equal(t, Free, table.Verdict(at(1500), content(2)), "other content is unaffected")
}

func TestAnswerClearsContent(t *testing.T) {
	table, other := New(), New()
	for i, server := range []string{"s-1", "s-2"} {
		table.crashed(server, 1000*i, content(1))
		other.crashed(server, 1000*i, content(1))
	}
	for _, n := range table.Answered(at(1500), content(1), 0) {
		other.Merge(at(1500), n)
	}
	assert.Equal(t, Free, table.Verdict(at(1500), content(1)))
	assert.Equal(t, Free, other.Verdict(at(1500), content(1)), "on the other table, too")
	other.crashed("s-2", 1000, content(1)) // late update about a cleared crash
	assert.Equal(t, Free, other.Verdict(at(1600), content(1)))
	other.crashed("s-3", 1700, content(1))
	assert.Equal(t, Suspect, other.Verdict(at(2700), content(1)), "only later crashes count")
}

func TestClearedContentIsForgottenSoon(t *testing.T) {
	table := New()
	table.crashed("s-1", 0, content(1), content(2))
	table.Answered(at(1000), content(1), 0)
	assert.Len(t, table.All(), 1, "cleared crashes are left out")
	table.Forget(at(1000).Add(clearedRetention + time.Second))
	assert.Equal(t, 1, table.Len())
	assert.Equal(t, Suspect, table.Verdict(at(2000), content(2)))
}

func TestVerdictExpires(t *testing.T) {
	table := New()
	for i, server := range []string{"s-1", "s-2", "s-3"} {
		table.crashed(server, 1000*i, content(1))
	}
	now := at(3000)
	assert.Len(t, table.Quarantine(now), 1)
	assert.Empty(t, table.Quarantine(now), "reported once")
	table.Forget(now.Add(retention - time.Second))
	assert.Equal(t, Quarantined, table.Verdict(now.Add(retention-time.Second), content(1)))
	table.Forget(now.Add(retention + time.Second))
	assert.True(t, table.Empty())
}

// Entries that start later receive the verdict from the log without the crashes that led to it.
func TestQuarantineNeedsNoEvidence(t *testing.T) {
	table := New()
	table.Merge(at(0), Update{Digest: content(1), At: at(0)})
	assert.Equal(t, Quarantined, table.Verdict(at(10), content(1)))
}

// Both sides of a network partition, and entries that receive updates in different orders, must
// reach the same verdicts.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var updates []Update
		for range rapid.IntRange(1, 40).Draw(t, "facts") {
			n := Update{Digest: content(rapid.IntRange(0, 3).Draw(t, "work")), At: at(rapid.IntRange(0, 5000).Draw(t, "at"))}
			if server := rapid.IntRange(0, 6).Draw(t, "server"); server > 0 {
				// A server has one time of crash.
				n.Server, n.At = fmt.Sprint("s-", server), at(700*server)
				n.Cleared, n.SoleAttempt = rapid.Bool().Draw(t, "cleared"), rapid.Bool().Draw(t, "alone")
			} else if rapid.Bool().Draw(t, "lifted") {
				n.Cleared, n.At = true, at(2000*rapid.IntRange(0, 2).Draw(t, "lift"))
			}
			updates = append(updates, n)
		}
		now := at(6000)
		a, b := New(), New()
		for _, n := range updates {
			a.Merge(now, n)
		}
		order := rapid.Permutation(append(updates, updates...)).Draw(t, "order")
		for _, n := range order {
			b.Merge(now, n)
		}
		for i := range 4 {
			assert.Equal(t, a.Verdict(now, content(i)), b.Verdict(now, content(i)))
			assert.Equal(t, a.Evidence(content(i)), b.Evidence(content(i)))
		}
	})
}

func TestOperatorReleasesContent(t *testing.T) {
	table := New()
	for i, server := range []string{"s-1", "s-2", "s-3"} {
		table.crashed(server, 1000*i, content(1))
	}
	table.Quarantine(at(3000))
	assert.Equal(t, []ContentStatus{{Digest: content(1), Verdict: Quarantined, Servers: []string{"s-1", "s-2", "s-3"}, Since: at(3000)}}, table.Entries(at(3000)))
	release := Update{Digest: content(1), Cleared: true, At: at(5000)}
	assert.True(t, table.Merge(at(5000), release))
	release.At = at(5020)
	assert.False(t, table.Merge(at(5020), release), "the same release through another daemon")
	assert.Equal(t, Free, table.Verdict(at(5000), content(1)))
	assert.Empty(t, table.Entries(at(5000)))
	table.Merge(at(5100), Update{Digest: content(1), At: at(3000)}) // from an entry that does not know of the release
	assert.Equal(t, Free, table.Verdict(at(5100), content(1)))
	for i, server := range []string{"s-4", "s-5", "s-6"} {
		table.crashed(server, 6000+1000*i, content(1))
	}
	assert.Equal(t, Quarantined, table.Verdict(at(9000), content(1)), "it crashes servers again")
}

func TestDigestIsReadBack(t *testing.T) {
	d, err := ParseDigest(content(1).String())
	assert.NoError(t, err)
	assert.Equal(t, content(1), d)
	for _, text := range []string{"", "12", "xyz", content(1).String() + "00"} {
		_, err := ParseDigest(text)
		assert.Error(t, err, text)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	for i, server := range []string{"s-1", "s-2", "s-3"} {
		table.crashed(server, 1000*i, content(0))
	}
	table.Quarantine(at(4000))
	for i := range 2 * maxRecords {
		table.crashed("s-9", 5000+i, content(i+1))
	}
	assert.Equal(t, maxRecords, table.Len())
	assert.Equal(t, Quarantined, table.Verdict(at(20000), content(0)), "quarantined content is evicted last")
}

// 60 of 100 servers with 8 requests each are killed at once, three times, a second apart; what was in
// flight is dispatched to the others, and callers without an answer retry. Entries detect the crashes
// up to 100 ms late. Only the content that crashes servers by itself may be quarantined.
func TestSimultaneousKillsQuarantineNoContent(t *testing.T) {
	const servers, slots, killed, kills = 100, 8, 60, 3
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		table := New()
		running := make([][]Digest, servers)
		next := 0
		for s := range servers {
			for range slots {
				next++
				running[s] = append(running[s], content(next))
			}
		}
		crashing, crashedAt := content(0), 0
		quarantined := map[Digest]bool{}
		for kill := range kills {
			ms := 1000 * kill
			order := r.Perm(servers)
			var broken []Digest
			for _, s := range order[:killed] {
				broken = append(broken, running[s]...)
				table.crashed(fmt.Sprintf("s-%d-%d", s, kill), ms+r.IntN(100), running[s]...)
				running[s] = nil
			}
			// Between two kills one request crashes a server by itself, with all that is in flight there.
			crashedAt = ms + 500
			victim := order[servers-1]
			table.crashed(fmt.Sprintf("s-%d-%d-crashed", victim, kill), crashedAt, append(running[victim], crashing)...)
			broken = append(broken, running[victim]...)
			running[victim] = nil
			for _, d := range broken { // dispatched to the remaining servers, ignoring slots
				to := order[killed+r.IntN(servers-killed-1)]
				running[to] = append(running[to], d)
			}
			for i := range next {
				if v := table.Verdict(at(ms+900), content(i+1)); v == Quarantined || v == Unsettled {
					quarantined[content(i+1)] = true
				}
			}
		}
		assert.Empty(t, quarantined, "seed %d", seed)
		assert.Equal(t, Quarantined, table.Verdict(at(crashedAt).Add(settleTime), crashing), "seed %d", seed)
	}
}

// Six contents that each crash servers arrive at the same time, so that none of them explains most
// of the crashes.
func TestManyCrashingRequestsAtOnceAreQuarantined(t *testing.T) {
	table := New()
	for round := range 6 {
		for i := range 6 {
			table.crashed(fmt.Sprintf("s-%d-%d", i, round), 500*round+10*i, content(i))
		}
	}
	for i := range 6 {
		assert.Equal(t, Quarantined, table.Verdict(at(4000), content(i)))
	}
}
