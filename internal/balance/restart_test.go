package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
)

// bornAt returns a record of an incarnation under one id.
func bornAt(born int64, version uint64) *fleet.BackendServer {
	r := record("1", "here", version)
	r.StartUnixMs = born
	return r
}

func TestNewIncarnationKeepsNoState(t *testing.T) {
	b := balancer(view(bornAt(1000, 1)))
	former := pick(t, b, start, want())
	b.Reported(start, Report{Addr: former.Server.Addr, StartUnixMs: 1000, Models: []fleet.Loaded{{Model: model, Version: 2, To: 16}}, Running: 3})
	b.Done(former, start, ResultFailed)

	b.SetView(view(bornAt(2000, 1)))
	assert.Error(t, former.Server.Context().Err(), "requests at the former incarnation are cancelled")
	later := pick(t, b, start, want())
	assert.NotSame(t, former.Server, later.Server)
	assert.EqualValues(t, 1, later.Version, "as the later incarnation announces")
	assert.Zero(t, later.Server.health.failures)
	assert.False(t, later.Server.load.known)
	assert.NoError(t, later.Server.Context().Err())

	b.Reported(start, Report{Addr: later.Server.Addr, StartUnixMs: 1000, Loading: true, Running: 4})
	assert.False(t, later.Server.load.known, "a late report of the former incarnation")
	b.Done(former, start, ResultUnknown)
	assert.Equal(t, 1, later.Server.inFlight)
}

func TestReportOfLaterIncarnationRetiresFormer(t *testing.T) {
	b := balancer(view(bornAt(1000, 1)))
	former := pick(t, b, start, want())
	b.Reported(start, Report{Addr: former.Server.Addr, StartUnixMs: 2000, Models: []fleet.Loaded{{Model: model, Version: 1, To: 16}}})
	assert.Error(t, former.Server.Context().Err())
	none, _ := b.Pick(start, want())
	assert.Nil(t, none.Server, "its own announcement has not arrived yet")
	b.SetView(view(bornAt(2000, 1)))
	assert.NotSame(t, former.Server, pick(t, b, start, want()).Server)
}

// An announcement may come from another writer: a service that isn't declared names no
// server, and takes no address.
func TestUndeclaredServiceTakesNoAddress(t *testing.T) {
	real, other := record("1", "here", 1), record("2", "here", 1)
	other.Addr, other.Service = real.Addr, "unknown"
	other.StartedAt, real.StartedAt = start, start.Add(-time.Minute)
	v := view(real)
	v.Servers["unknown"] = []*fleet.BackendServer{other}
	assert.Equal(t, "1", pick(t, balancer(v), start, want()).Server.ID)
}
