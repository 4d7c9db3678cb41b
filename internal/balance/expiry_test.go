package balance

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
	"lynxgate.dev/lynxgate/internal/ledger"
	"lynxgate.dev/lynxgate/internal/reservation"
)

// versioned returns a balancer with one engine for each of these versions, and versions named at these times after t0.
func versioned(t0 time.Time, held []uint64, named ...time.Duration) *Balancer {
	engine := &fleet.Engine{Slots: 4, Stride: 5, Step: 10 * time.Millisecond, ReadPerSecond: 1e4, UsualPrompt: 100, UsualAnswer: 10, Models: []string{"m"}}
	table := fleet.NewTable(&fleet.Config{Services: []fleet.Service{{Name: "engine", MaxConns: 64, Engine: engine}}})
	view := &follow.View{Table: table, Servers: map[string][]*fleet.BackendServer{}}
	for _, version := range held {
		id := string(rune('a' + version))
		view.Servers["engine"] = append(view.Servers["engine"], &fleet.BackendServer{ID: id, Service: "engine", Addr: "127.0.0.1:" + id, Slots: 4, SeenAt: t0, Models: []fleet.Loaded{{Model: "m", Version: version}}})
	}
	newest := ledger.Version{}.Next(1, t0.Add(-time.Hour))
	for i, at := range named {
		newest = newest.Next(uint64(i+2), t0.Add(at))
	}
	view.Versions = map[string]ledger.Version{"m": newest}
	b := New(Config{Zone: "z", VersionBound: 8 * time.Second, Logger: zerolog.Nop()})
	b.SetView(view)
	return b
}

func expiringWant(answer int) Requirements {
	return Requirements{Service: "engine", Model: "m", Read: 10 * time.Millisecond, Budget: time.Second, Answer: answer, Bytes: 4}
}

// bound is when weights expire whose successor was named at t0.
func bound(t0 time.Time) time.Time { return t0.Add(8*time.Second - namingTolerance) }

// Each version is judged from its own naming.
func TestExpiryIsThatOfTheNextVersion(t *testing.T) {
	t0 := time.Now()
	b := versioned(t0, []uint64{1, 2, 3}, 0, time.Second)
	assert.Equal(t, bound(t0), b.expiry(t0, "m", 1, 0).At)
	assert.Equal(t, bound(t0).Add(time.Second), b.expiry(t0, "m", 2, 0).At)
	assert.Zero(t, b.expiry(t0, "m", 3, 0))
}

// Guards against an engine on an expired version that is taken to be on a later one which may still be used.
func TestVersionsThatWereNamedMustBeConfirmed(t *testing.T) {
	t0 := time.Now()
	b := versioned(t0, []uint64{2}, 0, time.Second)
	choice, _ := b.Pick(t0.Add(2*time.Second), expiringWant(10))
	assert.True(t, choice.Confirm)
	b.SetView(&follow.View{Versions: map[string]ledger.Version{"m": ledger.Version{}.Next(2, t0)}})
	assert.True(t, b.mustConfirm("m", 2))
	assert.True(t, b.mustConfirm("m", 3))
	assert.False(t, b.mustConfirm("m", 1), "nothing is older, and a newer one is no reason to refuse")
	assert.False(t, b.mustConfirm("other", 1))
}

func TestEngineKeepsTheBoundOfRequestsThatEndWellBefore(t *testing.T) {
	t0 := time.Now()
	b := versioned(t0, []uint64{1}, 0)
	now := t0.Add(6500 * time.Millisecond) // 1.4 s are left; 5 tokens take 50 ms, with the prompts of others 75 ms
	late := now.Add(time.Minute)
	choice, _ := b.Pick(now, expiringWant(15))
	require.NotNil(t, choice.Server, "0.2 s")
	assert.Equal(t, bound(t0), choice.Deadline(late))
	assert.False(t, choice.Expired(now))
	assert.True(t, choice.Expired(bound(t0)))
}

// Guards against answers that are cut at the bound since they take longer than predicted.
func TestDeadlineAtTheBoundCutsNoAnswerThatTakesUpToMaxSlowdown(t *testing.T) {
	t0 := time.Now()
	for name, b := range map[string]*Balancer{"agents relay": relayed(t0, []uint64{1}, 0), "no agent relays": versioned(t0, []uint64{1}, 0)} {
		rapid.Check(t, func(r *rapid.T) {
			now := t0.Add(time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(r, "now")))
			want := expiringWant(rapid.IntRange(1, 400).Draw(r, "answer"))
			want.RunOnce = rapid.Bool().Draw(r, "once")
			want.Bytes = rapid.IntRange(0, 1).Draw(r, "bytes")
			choice, _ := b.Pick(now, want)
			if choice.Server == nil {
				return
			}
			defer b.Done(&choice, now, ResultUnknown)
			late := now.Add(time.Hour)
			if deadline := choice.Deadline(late); choice.Sendable(now) && deadline != late {
				assert.False(r, now.Add(maxSlowdown*choice.Takes()).After(deadline), "%s: %v predicted, %v given", name, choice.Takes(), deadline.Sub(now))
			}
		})
	}
}

// An answer that has begun may be completed after the bound.
func TestAnswerThatOutlastsItsWeightsIsNotCut(t *testing.T) {
	t0 := time.Now()
	b := versioned(t0, []uint64{1}, 0)
	now := t0.Add(6500 * time.Millisecond)
	late := now.Add(time.Minute)
	choice, _ := b.Pick(now, expiringWant(200))
	require.NotNil(t, choice.Server, "3.0 s")
	assert.Equal(t, late, choice.Deadline(late))
	assert.False(t, choice.Expiry.At.IsZero())
}

func TestAnswerThatOutlastsItsWeightsIsSentToNewerOnes(t *testing.T) {
	t0 := time.Now()
	b := versioned(t0, []uint64{1, 2}, 0)
	for range 20 {
		choice, _ := b.Pick(t0.Add(6500*time.Millisecond), expiringWant(200))
		require.NotNil(t, choice.Server)
		assert.EqualValues(t, 2, choice.Version)
		b.Done(&choice, t0.Add(6500*time.Millisecond), ResultUnknown)
	}
}

// Guards against a request that must not run twice and that, by the entry's or the agent's own prediction, its engine will cut.
func TestRequestThatMustNotRunTwiceIsNotSentToBeCut(t *testing.T) {
	t0 := time.Now()
	now := t0.Add(6500 * time.Millisecond) // 1.4 s are left
	once := func(answer int) Requirements {
		want := expiringWant(answer)
		want.RunOnce = true
		return want
	}
	b := versioned(t0, []uint64{1}, 0)
	choice, availability := b.Pick(now, once(200))
	assert.Nil(t, choice.Server)
	assert.Equal(t, Availability{Known: 1, Old: 1}, Availability{Known: availability.Known, Fit: availability.Fit, Old: availability.Old, Later: availability.Later})

	choice, _ = b.Pick(now, once(10))
	require.NotNil(t, choice.Server)
	assert.Equal(t, bound(t0), choice.Deadline(now.Add(time.Minute)))
	assert.True(t, choice.Sendable(now))
	b.Decided(&choice, now, reservation.Decision{Granted: true, End: 2 * time.Second, Load: reservation.Load{Version: 1}})
	assert.False(t, choice.Sendable(now), "its agent predicts a later end")

	b = versioned(t0, []uint64{1, 2}, 0)
	choice, _ = b.Pick(now, once(200))
	assert.EqualValues(t, 2, choice.Version)
}

func TestNewestWeightsDoNotExpire(t *testing.T) {
	t0 := time.Now()
	b := versioned(t0, []uint64{2}, 0)
	choice, _ := b.Pick(t0.Add(10*time.Second), expiringWant(100))
	require.NotNil(t, choice.Server)
	assert.True(t, choice.Confirm)
	by := t0.Add(time.Minute)
	assert.Equal(t, by, choice.Deadline(by))
	assert.False(t, choice.Expired(by))
}

// An entry that stood still between choice and send knows nothing of the server since.
func TestOldChoiceIsNotSent(t *testing.T) {
	t0 := time.Now()
	b := versioned(t0, []uint64{2}, 0)
	choice, _ := b.Pick(t0, expiringWant(10))
	assert.Equal(t, t0.Add(maxChoiceAge), choice.SendBy())
	b = versioned(t0, []uint64{1}, 0)
	for _, answer := range []int{5, 200} {
		choice, _ = b.Pick(t0.Add(6900*time.Millisecond), expiringWant(answer))
		assert.Equal(t, t0.Add(8*time.Second-CancelMargin), choice.SendBy(), "nor when it would be cancelled")
	}
}

// Guards against an engine that is told to stop an answer at the bound, though its agent has just predicted that it ends later.
func TestAgentsPredictionOfTheEndDecidesOnTheDeadline(t *testing.T) {
	for _, version := range []uint64{0, 1} { // 0: the decision does not state it
		t0 := time.Now()
		b := versioned(t0, []uint64{1}, 0)
		now := t0.Add(6500 * time.Millisecond) // 1.4 s are left
		late := now.Add(time.Minute)
		choice, _ := b.Pick(now, expiringWant(10))
		require.Equal(t, bound(t0), choice.Deadline(late))
		b.Decided(&choice, now, reservation.Decision{Granted: true, End: 2 * time.Second, Load: reservation.Load{Version: version}})
		assert.Equal(t, late, choice.Deadline(late))
		assert.False(t, choice.Expiry.At.IsZero())
	}
}

// Guards against a request that is sent after its reservation's lease of 300 ms, when its slot may be granted to another one.
func TestReservedChoiceIsNotSentAfterItsLease(t *testing.T) {
	t0 := time.Now()
	b := versioned(t0, []uint64{1})
	choice, _ := b.Pick(t0, expiringWant(10))
	b.Decided(&choice, t0.Add(20*time.Millisecond), reservation.Decision{Granted: true})
	assert.Equal(t, t0.Add(reservation.SendTime), choice.SendBy())
	assert.Less(t, reservation.SendTime, 300*time.Millisecond)
	late := choice.SendBy().Add(time.Millisecond)
	assert.False(t, choice.Sendable(late))
	assert.True(t, choice.Renewable(late), "the agent may be asked again")
}

// Guards against the older version's expiry at a server that has loaded the newest one since its last report.
func TestDecisionOnAReservationTellsTheVersion(t *testing.T) {
	t0 := time.Now()
	b := versioned(t0, []uint64{1}, 0)
	now := t0.Add(time.Second)
	choice, _ := b.Pick(now, expiringWant(10))
	require.NotZero(t, choice.Expiry)
	b.Decided(&choice, now, reservation.Decision{Granted: true, Load: reservation.Load{Version: 2}})
	assert.Zero(t, choice.Expiry)
	assert.True(t, choice.Confirm)
	b.Decided(&choice, now, reservation.Decision{Granted: true, Load: reservation.Load{Version: 1}})
	assert.Equal(t, Expiry{At: bound(t0), KeptByServer: true, KeptUntil: bound(t0)}, choice.Expiry)
	assert.True(t, choice.Confirm, "version 1 was named in this test")
}
