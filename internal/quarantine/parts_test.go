package quarantine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// ofOrg returns the candidates for a part in a request of an organisation.
func ofOrg(org, part string) []Candidate {
	both := PartCandidates(org, "m", part)
	return both[:]
}

// crashedUnder records that requests with these candidates were in flight at a server when it crashed.
func (t *Table) crashedUnder(server string, ms int, candidates ...Candidate) {
	for _, c := range candidates {
		t.Merge(at(ms), Update{Digest: c.Digest, Server: server, Origin: c.Origin, Part: c.Part, Version: 1, At: at(ms)})
	}
}

func (t *Table) answered(ms int, version uint64, candidates ...Candidate) (out []Update) {
	for _, c := range candidates {
		out = append(out, t.Answered(at(ms), c.Digest, version)...)
	}
	return out
}

func join(lists ...[]Candidate) (out []Candidate) {
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

func TestPartsHaveTheirOwnDigests(t *testing.T) {
	seen := map[Digest]bool{}
	for _, org := range []string{"", "a", "b"} {
		for _, part := range []string{"1", "2"} {
			for _, model := range []string{"m", "n"} {
				both := PartCandidates(org, model, part)
				assert.NotZero(t, both[0].Origin)
				assert.Zero(t, both[1].Origin)
				seen[both[0].Digest], seen[both[1].Digest] = true, true
			}
		}
	}
	assert.Len(t, seen, 4+12)
	assert.False(t, seen[DigestOf("a", "m", "1", "", nil)])
	assert.Len(t, ofOrg("a", string(make([]byte, 1000)))[0].Part, maxLabel)
}

// Guards against an organisation that has the parts of others quarantined by naming them in requests that crash servers.
func TestOneOrganisationQuarantinesNoPartsOfOthers(t *testing.T) {
	table := New()
	for i := range 5 {
		table.crashedUnder(fmt.Sprint("s-", i), 1500*i, ofOrg("a", "p")...)
	}
	assert.Equal(t, Quarantined, table.Judge(at(9000), ofOrg("a", "p")).Verdict)
	assert.Equal(t, Free, table.Judge(at(9000), ofOrg("b", "p")).Verdict)
	table.crashedUnder("s-5", 9000, ofOrg("b", "p")...)
	j := table.Judge(at(9500), ofOrg("c", "p"))
	assert.Equal(t, Quarantined, j.Verdict, "servers have crashed under two organisations")
	assert.Equal(t, "p", j.Cause.Part)
	assert.Len(t, j.Servers, 6)
}

// Guards against a new version of the weights that crashes on a part which was sound on the one before, and whose crashes count for
// nothing while servers answer on that one.
func TestSoundPartsAreThoseOfOneVersion(t *testing.T) {
	table := New()
	part := ofOrg("a", "p")[1]
	table.RecordSound(at(0), part.Digest, 1, "s-0", true)
	assert.True(t, table.IsSound(at(1), part.Digest, 1))
	assert.False(t, table.IsSound(at(1), part.Digest, 2))
	assert.False(t, table.IsSound(at(1).Add(soundRetention), part.Digest, 1))
	table.crashedUnder("s-1", 100, part)
	assert.Empty(t, table.Answered(at(200), part.Digest, 2), "it crashed on version 1")
	assert.Equal(t, Suspect, table.Verdict(at(200), part.Digest))
	assert.Len(t, table.Answered(at(300), part.Digest, 1), 1)
	assert.Equal(t, Free, table.Verdict(at(300), part.Digest))
}

// Guards against a part that crashes servers right after short answers, which would be taken for sound.
func TestPartIsNotSoundIfItsServerCrashedRightAfter(t *testing.T) {
	table := New()
	part := ofOrg("a", "p")[1]
	table.RecordSound(at(1000), part.Digest, 1, "s-1", false)
	table.crashedUnder("s-1", 1100, ofOrg("a", "other")...)
	assert.False(t, table.IsSound(at(1200), part.Digest, 1))
	table.RecordSound(at(1300), part.Digest, 1, "s-2", false)
	assert.True(t, table.IsSound(at(1400), part.Digest, 1))
	table.RecordSound(at(9000), part.Digest, 1, "s-3", false)
	table.crashedUnder("s-3", 9100, ofOrg("a", "other")...)
	assert.True(t, table.IsSound(at(9200), part.Digest, 1), "it was sound long before")
}

// Guards against a sound part that counts as a cause since the server that had written on it for long was killed.
func TestPartOfALongAnswerStaysSoundIfItsServerIsKilled(t *testing.T) {
	table := New()
	part := ofOrg("a", "p")[1]
	table.RecordSound(at(900), part.Digest, 1, "s-1", false)
	table.RecordSound(at(1000), part.Digest, 1, "s-1", true)
	table.crashedUnder("s-1", 1100, ofOrg("a", "other")...)
	assert.True(t, table.IsSound(at(1200), part.Digest, 1))
	assert.True(t, table.IsSound(at(1200), part.Digest, 0), "the version is not known, as of control servers of an earlier build")
}

func TestSoundPartsAreBounded(t *testing.T) {
	table := New()
	for i := range 3 * maxSound {
		table.RecordSound(at(i), content(i), 1, "s", true)
	}
	assert.LessOrEqual(t, len(table.sound.recent)+len(table.sound.older), maxSound)
	assert.True(t, table.IsSound(at(3*maxSound), content(3*maxSound-1), 1))
	assert.False(t, table.IsSound(at(3*maxSound), content(0), 1))
}

// Guards against a common part that is forgotten, or counts as sound for a moment only, because many requests have parts of their own.
func TestCommonPartStaysSoundBesideRareOnes(t *testing.T) {
	table := New()
	common := content(0)
	for i := range 3 * maxSound {
		table.RecordSound(at(i), content(1+i), 1, "s-rare", false)
		if i%100 == 0 {
			table.RecordSound(at(i), common, 1, fmt.Sprint("s-", i), false)
		}
	}
	table.crashedUnder("s-24500", 24600, ofOrg("a", "other")...)
	assert.True(t, table.IsSound(at(3*maxSound), common, 1))
}

// Guards against a common part that is quarantined together with the one that is the cause, since no sound request had an answer before:
// requests with the common part alone would be refused for ten minutes.
func TestPartsThatComeTogetherAreToldApart(t *testing.T) {
	table := New()
	common, cause := ofOrg("a", "common"), ofOrg("a", "cause")
	for i := range 3 {
		table.crashedUnder(fmt.Sprint("s-", i), 1500*i, join(common, cause)...)
	}
	table.Quarantine(at(4000))
	assert.Equal(t, Quarantined, table.Judge(at(4000), join(common, cause)).Verdict)
	assert.Equal(t, Suspect, table.Judge(at(4000), common).Verdict, "one at a time is tried")
	cleared := table.answered(4500, 1, common...)
	assert.Equal(t, Free, table.Judge(at(4500), common).Verdict)
	assert.Equal(t, Quarantined, table.Judge(at(4500), join(common, cause)).Verdict, "the other one is the cause")
	other := New() // has the same facts, and those that were cleared
	for i := range 3 {
		other.crashedUnder(fmt.Sprint("s-", i), 1500*i, join(common, cause)...)
	}
	other.Quarantine(at(4000))
	for _, n := range cleared {
		other.Merge(at(4500), n)
	}
	assert.Equal(t, Free, other.Judge(at(4500), common).Verdict, "on the other table, too")
}

// A trial that crashes its server settles that the part crashes servers without the other one.
func TestPartThatCrashesServersAloneStaysQuarantined(t *testing.T) {
	table := New()
	first, second := ofOrg("a", "1"), ofOrg("a", "2")
	for i := range 3 {
		table.crashedUnder(fmt.Sprint("s-", i), 1500*i, join(first, second)...)
	}
	table.Quarantine(at(4000))
	table.crashedUnder("s-3", 5000, first...)
	assert.Equal(t, Quarantined, table.Judge(at(5500), first).Verdict)
	assert.Equal(t, Suspect, table.Judge(at(5500), second).Verdict)
}

// Guards against the part in the requests of one organisation explaining the crashes of the part itself, so that each further
// organisation would be tried.
func TestPartOfOneOrganisationExplainsNothing(t *testing.T) {
	table := New()
	for i := range 6 {
		table.crashedUnder(fmt.Sprint("s-", i), 1500*i, ofOrg([]string{"a", "b"}[i%2], "p")...)
	}
	table.Quarantine(at(9000))
	assert.Equal(t, Quarantined, table.Judge(at(9000), ofOrg("c", "p")).Verdict)
}

// An answer ends a quarantine that the log has, too: it is to be taken out of it.
func TestReleaseByAnAnswerIsToBeLogged(t *testing.T) {
	table := New()
	part := ofOrg("a", "p")[1]
	for i := range 3 {
		table.crashedUnder(fmt.Sprint("s-", i), 1500*i, part)
	}
	table.Quarantine(at(4000))
	table.Merge(at(4200), Update{Digest: part.Digest, Index: 7, At: at(4200)})
	assert.Empty(t, table.Released())
	assert.Len(t, table.Answered(at(5000), part.Digest, 1), 4, "three crashes and the release")
	assert.Equal(t, Free, table.Verdict(at(5000), part.Digest))
	assert.Equal(t, []Digest{part.Digest}, table.Released())
	table.Merge(at(5200), Update{Digest: part.Digest, Cleared: true, Index: 8, At: at(5200)})
	assert.Empty(t, table.Released())
	assert.Equal(t, Free, table.Verdict(at(5200), part.Digest))
}
