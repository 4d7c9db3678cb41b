package follow

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// namings returns an update with the age of each version, in seconds, from version first on.
func namings(first uint64, ages ...float64) *rpc.FleetUpdate {
	u := &rpc.FleetUpdate{}
	for i, age := range ages {
		u.Versions = append(u.Versions, &rpc.ModelVersion{Model: "m", Version: first + uint64(i), AgeMs: int64(age * 1000)})
	}
	return u
}

// age returns how long ago a view takes the first version after this number to be named, in seconds.
func age(v *Viewer, number uint64) float64 {
	return clock.Since(v.View().Versions["m"].NamedAfter(number)).Seconds()
}

// tolerance of ages, in seconds.
const tolerance = 0.5

func TestLateTimeOfNamingHeardFirstIsReplacedByEarlierOne(t *testing.T) {
	changes := 0
	v := NewViewer(nil, func(*View) { changes++ }, 0, zerolog.Nop())
	v.Update("c-1", namings(2, 0), Received(clock.Now()))
	v.Update("c-2", namings(2, 6), Received(clock.Now()))
	assert.InDelta(t, 6, age(v, 1), tolerance)
	assert.Equal(t, 2, changes)
	v.Update("c-3", namings(2, 3), Received(clock.Now()))
	assert.InDelta(t, 6, age(v, 1), tolerance, "never later")
	assert.Equal(t, 2, changes)
}

func TestTimeOfPreviousVersionIsReplacedByEarlierOne(t *testing.T) {
	v := NewViewer(nil, nil, 0, zerolog.Nop())
	v.Update("c-1", namings(2, 0, 0), Received(clock.Now()))
	v.Update("c-2", namings(2, 6, 4), Received(clock.Now()))
	assert.InDelta(t, 6, age(v, 1), tolerance)
	assert.InDelta(t, 4, age(v, 2), tolerance)
}

func TestPreviousVersionHeardAfterNewestKeepsItsOwnTime(t *testing.T) {
	v := NewViewer(nil, nil, 0, zerolog.Nop())
	v.Update("c-1", namings(3, 4), Received(clock.Now())) // restored from a snapshot, which has the newest version only
	v.Update("c-2", namings(2, 6, 4), Received(clock.Now()))
	assert.InDelta(t, 6, age(v, 1), tolerance)
	assert.InDelta(t, 4, age(v, 2), tolerance)
	assert.EqualValues(t, 3, v.View().Versions["m"].Number)
}

// unknown is the age on the wire of a naming whose time is not known, in seconds.
const unknown = (1 << 40) / 1000.0

func TestRestartedControlServerDoesNotReplaceTheTimeOfNaming(t *testing.T) {
	v := NewViewer(nil, nil, 0, zerolog.Nop())
	v.Update("c-1", namings(2, 6, 4), Received(clock.Now()))
	v.Update("c-2", namings(2, unknown, unknown), Received(clock.Now()))
	assert.InDelta(t, 6, age(v, 1), tolerance)
	assert.InDelta(t, 4, age(v, 2), tolerance)
}

func TestNamingOfUnknownTimeCountsAsNamedLongAgoUntilTheTimeIsKnown(t *testing.T) {
	v := NewViewer(nil, nil, 0, zerolog.Nop())
	v.Update("c-1", namings(2, unknown, unknown), Received(clock.Now()))
	assert.EqualValues(t, 3, v.View().Versions["m"].Floor(clock.Now(), time.Hour))
	v.Update("c-2", namings(2, 6, 4), Received(clock.Now()))
	assert.EqualValues(t, 0, v.View().Versions["m"].Floor(clock.Now(), 7*time.Second))
	assert.InDelta(t, 6, age(v, 1), tolerance)
	assert.InDelta(t, 4, age(v, 2), tolerance)
}

func TestFollowerSendsOnlyTimesOfNamingsThatItKnows(t *testing.T) {
	v := NewViewer(nil, nil, 0, zerolog.Nop())
	v.Update("c-1", namings(2, unknown, 4), Received(clock.Now()))
	sent := knownNamings(v.View().Versions, clock.Now())
	assert.Len(t, sent, 1)
	assert.EqualValues(t, 3, sent[0].Version)
	assert.InDelta(t, 4000, sent[0].AgeMs, tolerance*1000)
}

// A later time makes an entry hold servers back as cold for longer than they are.
func TestLateTimeOfOrderAboutAZoneHeardFirstIsReplacedByEarlierOne(t *testing.T) {
	changes := 0
	v := NewViewer(nil, func(*View) { changes++ }, 0, zerolog.Nop())
	order := func(number uint64, age time.Duration) {
		v.Update("c", &rpc.FleetUpdate{Evacuations: []*rpc.Evacuation{{Zone: "z", Order: number, AgeMs: age.Milliseconds()}}}, Received(clock.Now()))
	}
	age := func() float64 { return clock.Since(v.View().Evacuations["z"].AppliedAt).Seconds() }
	order(5, 0)
	order(5, 6*time.Second)
	assert.InDelta(t, 6, age(), tolerance)
	order(5, 3*time.Second)
	assert.InDelta(t, 6, age(), tolerance, "never later")
	order(4, time.Hour)
	assert.InDelta(t, 6, age(), tolerance, "an order before the last one")
	assert.Equal(t, 2, changes)
	order(7, time.Second)
	assert.InDelta(t, 1, age(), tolerance, "a later order has its own time")
}
