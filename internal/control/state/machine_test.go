package state

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lynxgate.dev/lynxgate/internal/claims"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/keyspace"

	_ "lynxgate.dev/lynxgate/internal/testseed" // the same schedules every run
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// recorder is a Publisher that keeps the last view and checks that each revision
// follows from the previous one.
type recorder struct {
	view *keyspace.View
	t    require.TestingT
}

func (r *recorder) Advance(view *keyspace.View, changes []*keyspace.Entry) {
	require.Equal(r.t, r.view.Revision()+1, view.Revision(), "revisions rise by one")
	require.Equal(r.t, view.Entries(), r.view.Apply(view.Revision(), changes).Entries())
	r.view = view
}

func (r *recorder) Replace(view *keyspace.View) { r.view = view }

// server is a machine under test and a twin that applies the same log but is
// never restored; their states must be equal.
type server struct {
	t       require.TestingT
	machine *Machine
	twin    *Machine
	index   uint64
	now     time.Time
}

func newMachine(t require.TestingT) *Machine {
	return New(&recorder{view: keyspace.NewView(0, nil), t: t})
}

func newServer(t require.TestingT) *server {
	return &server{t: t, machine: newMachine(t), twin: newMachine(t), now: start}
}

func (s *server) apply(c Command) any {
	data, err := Encode(c)
	require.NoError(s.t, err)
	s.index++
	s.twin.Apply(s.index, data)
	return s.machine.Apply(s.index, data)
}

func (s *server) change(req inventory.ChangeRequest) inventory.ChangeResult {
	return s.apply(Change{Time: s.now, Limits: DefaultLimits, Request: req}).(inventory.ChangeResult)
}

// restart replaces the machine by one restored from its snapshot.
func (s *server) restart() {
	snapshot, err := s.machine.Snapshot()
	require.NoError(s.t, err)
	s.machine = newMachine(s.t)
	require.NoError(s.t, s.machine.Restore(snapshot))
}

// requireEqualTwin checks that the snapshots of the machine and its twin are equal.
func (s *server) requireEqualTwin() {
	a, err := s.machine.Snapshot()
	require.NoError(s.t, err)
	b, err := s.twin.Snapshot()
	require.NoError(s.t, err)
	require.Equal(s.t, b, a, "state depends only on the log")
}

func zone(name, region string) inventory.Change {
	value, _ := json.Marshal(inventory.Zone{Name: name, Region: region})
	return inventory.Change{Key: inventory.PrefixZone + name, Value: value}
}

func request(id string, base uint64, changes ...inventory.Change) inventory.ChangeRequest {
	return inventory.ChangeRequest{OperationID: id, Operator: "op", BaseRevision: base, Changes: changes}
}

// decided is a request with the result of its first submission.
type decided struct {
	req    inventory.ChangeRequest
	result inventory.ChangeResult
}

// operators is the model of TestOperatorsRace.
type operators struct {
	*server
	// changed holds the revisions at which each key changed.
	changed map[string][]uint64
	first   map[operationKey]decided
	audit   int
}

func (o *operators) submit(t *rapid.T, req inventory.ChangeRequest) {
	before := o.machine.view
	result := o.change(req)
	key := operationKey{req.Operator, req.OperationID}
	if first, ok := o.first[key]; ok {
		o.checkRepeat(t, first, req, result)
		require.Same(t, before, o.machine.view, "a repeat changes nothing")
		return
	}
	o.first[key] = decided{req, result}
	if result.Verdict != inventory.VerdictAccepted {
		require.Same(t, before, o.machine.view, "a refused change modifies nothing")
		require.Equal(t, before.Revision(), result.Revision, "the result has the revision in force")
		require.Len(t, o.machine.Audit(), o.audit)
		return
	}
	require.LessOrEqual(t, req.BaseRevision, before.Revision(), "a base revision above the newest is refused")
	o.audit++
	require.Equal(t, before.Revision()+1, result.Revision)
	require.Len(t, o.machine.Audit(), o.audit)
	last := o.machine.Audit()[o.audit-1]
	require.Equal(t, result.Revision, last.Revision)
	require.Equal(t, req.OperationID, last.OperationID)
	for _, c := range req.Changes {
		require.True(t, inventory.IsDeclared(c.Key), "operators write declared keys only")
		for _, at := range o.changed[c.Key] {
			require.LessOrEqual(t, at, req.BaseRevision, "%s has changed after the base revision", c.Key)
		}
		o.changed[c.Key] = append(o.changed[c.Key], result.Revision)
	}
}

func (o *operators) checkRepeat(t *rapid.T, first decided, req inventory.ChangeRequest, got inventory.ChangeResult) {
	if requestDigest(first.req) != requestDigest(req) {
		require.Equal(t, inventory.VerdictConflict, got.Verdict, "another change with a used id")
		return
	}
	require.True(t, got.Repeated)
	got.Repeated = false
	require.Equal(t, first.result, got, "the first result")
}

func drawChange(t *rapid.T, label string) inventory.Change {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, label+" zone")
	switch rapid.IntRange(0, 9).Draw(t, label+" kind") {
	case 0:
		return inventory.Change{Key: inventory.PrefixZone + name}
	case 1:
		return inventory.Change{Key: inventory.PrefixZone + name, Value: []byte(`{"name":"x"}`)}
	case 2:
		return inventory.Change{Key: inventory.PrefixMember + name, Value: []byte(`{}`)}
	default:
		return zone(name, rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, label+" region"))
	}
}

// TestOperatorsRace submits and repeats requests of two operators with equal ids
// and stale base revisions, across restarts, and checks every result against a
// model.
func TestOperatorsRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &operators{server: newServer(t), changed: map[string][]uint64{}, first: map[operationKey]decided{}}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				revision := o.machine.view.Revision()
				base := revision - min(revision, uint64(rapid.IntRange(0, 3).Draw(t, "stale")))
				if rapid.IntRange(0, 19).Draw(t, "ahead") == 0 {
					base = revision + 1
				}
				req := request(fmt.Sprint(rapid.IntRange(1, 30).Draw(t, "id")), base, drawChange(t, "1"))
				if rapid.Bool().Draw(t, "two") {
					req.Changes = append(req.Changes, drawChange(t, "2"))
				}
				req.Operator = rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "operator")
				o.submit(t, req)
			},
			"resend": func(t *rapid.T) {
				for _, d := range o.first {
					o.submit(t, d.req)
				}
			},
			"restart": func(t *rapid.T) { o.restart() },
			"":        func(t *rapid.T) { o.requireEqualTwin() },
		})
	})
}

// TestPrunedOperationIsNotAppliedTwice repeats requests whose results have been
// dropped, including a deletion whose tombstone has been dropped too.
func TestPrunedOperationIsNotAppliedTwice(t *testing.T) {
	limits := DefaultLimits
	limits.Operations = 1
	limits.Tombstones = 1
	s := newServer(t)
	submit := func(req inventory.ChangeRequest) inventory.ChangeResult {
		return s.apply(Change{Time: s.now, Limits: limits, Request: req}).(inventory.ChangeResult)
	}
	put := request("1", 0, zone("a", "r"))
	remove := request("2", 1, inventory.Change{Key: "zone/a"})
	for i, req := range []inventory.ChangeRequest{put, remove, request("3", 2, zone("b", "r")),
		request("4", 3, inventory.Change{Key: "zone/b"}), request("5", 4, zone("c", "r"))} {
		require.Equal(t, inventory.VerdictAccepted, submit(req).Verdict, "request %d", i)
	}
	s.restart()
	for _, req := range []inventory.ChangeRequest{put, remove} {
		require.Equal(t, inventory.VerdictConflict, submit(req).Verdict)
	}
	require.Equal(t, inventory.VerdictAccepted, submit(request("6", 5, zone("a", "r"))).Verdict)
}

func TestWindows(t *testing.T) {
	s := newServer(t)
	s.change(request("1", 0, zone("a", "r")))
	s.now = start.Add(DefaultLimits.OperationWindow + time.Hour)
	s.change(request("2", 1, zone("b", "r")))
	require.Equal(t, inventory.VerdictConflict, s.change(request("1", 0, zone("a", "r"))).Verdict)
	require.Len(t, s.machine.Audit(), 2)
	s.now = start.Add(DefaultLimits.AuditWindow + time.Hour)
	s.change(request("3", 2, zone("c", "r")))
	require.Len(t, s.machine.Audit(), 2)
	s.now = start // a leader whose clock is behind
	s.change(request("4", 3, zone("d", "r")))
	require.Len(t, s.machine.Audit(), 3)
	require.False(t, s.machine.Audit()[2].Time.Before(s.machine.Audit()[1].Time), "time never decreases")
	s.restart()
	require.Len(t, s.machine.Audit(), 3)
	s.requireEqualTwin()
}

func TestClaimsSurviveSnapshot(t *testing.T) {
	s := newServer(t)
	claim := func(attempt string) claims.ClaimResult {
		return s.apply(Claim{claims.Claim{Organisation: "o", Key: "k", BodyDigest: []byte("b"), Attempt: attempt,
			Timeout: time.Minute, Now: 1, Limits: claims.DefaultLimits}}).(claims.ClaimResult)
	}
	granted := claim("1")
	require.Equal(t, claims.Granted, granted.Verdict)
	s.restart()
	require.True(t, s.machine.HoldsClaims())
	require.Equal(t, claims.InProgress, claim("2").Verdict)
	s.apply(Settle{claims.Settle{Organisation: "o", Key: "k", Token: granted.Token, Now: 2,
		Limits: claims.DefaultLimits, Answer: &claims.Answer{Status: 200, Body: []byte("yes")}}})
	s.restart()
	again := claim("3")
	require.Equal(t, claims.Completed, again.Verdict)
	require.Equal(t, "yes", string(again.Answer.Body))
	require.Zero(t, s.machine.view.Revision(), "claims create no revisions")
	s.apply(Expire{Now: claims.Millis(24 * time.Hour / time.Millisecond)})
	require.True(t, s.machine.HoldsClaims(), "a jump of the leader's clock counts as one minute")
	for minute := range 24 * 60 {
		s.apply(Expire{Now: claims.Millis((24*60 + minute) * 60_000)})
	}
	require.False(t, s.machine.HoldsClaims(), "claims expire after a day in steps of one minute")
	s.requireEqualTwin()
}

func TestRestoreRefusesDamage(t *testing.T) {
	s := newServer(t)
	s.change(request("1", 0, zone("a", "r")))
	snapshot, err := s.machine.Snapshot()
	require.NoError(t, err)
	before := s.machine.view
	for n := range snapshot {
		require.ErrorIs(t, s.machine.Restore(snapshot[:n]), errSnapshot)
	}
	require.Same(t, before, s.machine.view, "a damaged snapshot leaves the state unchanged")
	require.Panics(t, func() { s.machine.Apply(9, []byte{formatVersion + 1, 1}) })
}

func FuzzRestore(f *testing.F) {
	s := newServer(f)
	s.change(request("1", 0, zone("a", "r")))
	snapshot, err := s.machine.Snapshot()
	require.NoError(f, err)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newMachine(t)
		if m.Restore(data) != nil {
			require.Zero(t, m.view.Revision())
		}
	})
}

func FuzzDecode(f *testing.F) {
	for _, c := range []Command{Change{Time: start}, Announce{}, Down{}, Assign{Base: 1}, Claim{}, Settle{}, Expire{}} {
		data, err := Encode(c)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(c)
		require.NoError(t, err)
		_, err = Decode(again)
		require.NoError(t, err)
	})
}
