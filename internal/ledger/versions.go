package ledger

import (
	"cmp"
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/rpc"
)

// Version is a version of a model's weights, and when it was named.
type Version struct {
	Number uint64
	// AppliedAt is when the naming was committed, as far as it is known: the time of the leader that committed it or, until that is known,
	// the earliest time of a control server. If TimeUnknown is set, it is a time before any bound on old weights.
	AppliedAt   time.Time
	TimeUnknown bool
	// Applied has the time for each control server of which it is known. It is empty if the control
	// server of AppliedAt is not known.
	Applied []Applied
	// Previous is the version named before, nil if it is not known.
	Previous *Version
}

// Applied is a time of a control server before which a naming was not acknowledged. Other processes estimate that time by messages that
// were under way for an unknown time, and no estimate is later than the time itself.
type Applied struct {
	// Server identifies a process of a control server, 0: not known. The time of an unknown one may be too late by the
	// delay of a message.
	Server uint64
	At     time.Time
	// Decided: the control server has committed the naming as the leader, and At is the time of the commit.
	Decided bool
}

const (
	// keptVersions bounds the chain of previous versions: only those named within the
	// time bound on old weights matter, which is some seconds.
	keptVersions = 8
	// unknownAge stands for the age of a naming whose time is not known: 35 years. An earlier build
	// that does not know its meaning takes such a version as named long ago, too.
	unknownAge = (1 << 40) * time.Millisecond
	// firstVersion is the lowest number of a version: 0 is none.
	firstVersion = 1
	// minCorrection is the least difference by which AppliedAt counts as changed. Each control server applies
	// a naming at a slightly different time, and each correction is sent to all followers.
	minCorrection = 10 * time.Millisecond
)

// UnknownNaming returns a version that was named at an unknown time until now. Requests must not
// begin on an older version, as its bound may have passed.
func UnknownNaming(number uint64, now time.Time) Version {
	return Version{Number: number, AppliedAt: now.Add(-unknownAge), TimeUnknown: true}
}

// Next returns the version with this number as the successor of v, named at this time.
func (v Version) Next(number uint64, at time.Time) Version {
	next, _ := v.Merge(Version{Number: number, AppliedAt: at})
	return next
}

// Merge returns v and the versions before it with one naming, and whether that has changed them by more than a
// refinement of times below minCorrection.
//
// Of the times of one control server the latest counts: none is later than the true one, and each is too early by the delays
// of a stamp (follow.Stamps). Of several control servers the earliest counts, as the one that acknowledged is not known. So the
// result depends neither on the order nor on the paths of the messages, and a time that is forwarded in circles stays as it
// is. Of times whose control server is not known, which builds without stamps send, the earliest counts: a delay makes them later.
// Once the time of the leader that committed the naming is known, the others no longer count.
// A known time counts more than an unknown one. It says nothing about the namings before, which stay
// unknown until their own times are known.
func (v Version) Merge(named Version) (merged Version, changed bool) {
	return v.merge(named, keptVersions)
}

// merge merges a naming; at most n versions are kept before v.
func (v Version) merge(named Version, n int) (merged Version, changed bool) {
	switch {
	case named.Number == 0:
		return v, false
	case v.Number == 0:
		named.Previous = nil
		return named, true
	case named.Number > v.Number:
		named.Previous = nil
		if n > 0 {
			previous := v.truncate(n)
			named.Previous = &previous
		}
		return named, true
	case named.Number == v.Number:
		merged = v.withTimes(named)
		if v.TimeUnknown && !merged.TimeUnknown {
			merged.Previous = v.unknownPrevious(n)
			return merged, true
		}
		return merged, merged.AppliedAt.Sub(v.AppliedAt).Abs() >= minCorrection
	case n == 0:
		return v, false
	}
	var previous Version
	if v.Previous != nil {
		previous = *v.Previous
	}
	isNew := previous.Number < named.Number
	previous, changed = previous.merge(named, n-1)
	if isNew && changed && v.TimeUnknown && !named.TimeUnknown {
		previous.Previous = previous.unknownPrevious(n - 1)
	}
	v.Previous = &previous
	return v, changed
}

// unknownPrevious returns the version before v; if none is known, the number before v, as named at an unknown time: a process that
// has restored a snapshot knows the newest version only.
func (v Version) unknownPrevious(n int) *Version {
	if n == 0 || v.Previous != nil || v.Number <= firstVersion+1 {
		return v.Previous
	}
	unknown := UnknownNaming(v.Number-1, v.AppliedAt)
	return &unknown
}

// withTimes returns v with the times of named, which is the same version.
func (v Version) withTimes(named Version) Version {
	if named.TimeUnknown {
		return v
	}
	times := slices.Clone(v.times())
	for _, a := range named.times() {
		i, known := slices.BinarySearchFunc(times, a.Server, func(t Applied, server uint64) int { return cmp.Compare(t.Server, server) })
		switch {
		case !known:
			times = slices.Insert(times, i, a)
		case a.replaces(times[i]):
			a.Decided = a.Decided || times[i].Decided // earlier builds forward it without
			times[i] = a
		default:
			times[i].Decided = a.Decided || times[i].Decided
		}
	}
	v.Applied, v.TimeUnknown = times, false
	v.AppliedAt = slices.MinFunc(times, compareApplied).At
	return v
}

// compareApplied orders the times of a naming: the one that counts most is first.
func compareApplied(a, b Applied) int {
	switch {
	case a.Decided == b.Decided:
		return a.At.Compare(b.At)
	case a.Decided:
		return -1
	}
	return 1
}

// replaces reports whether the time counts more than another one of the same control server.
func (a Applied) replaces(known Applied) bool {
	if a.Server == 0 {
		return known.At.Sub(a.At) >= minCorrection
	}
	return a.At.After(known.At)
}

// times returns the known times in the order of the control servers.
func (v Version) times() []Applied {
	if v.TimeUnknown || len(v.Applied) > 0 {
		return v.Applied
	}
	return []Applied{{At: v.AppliedAt}}
}

// AppliedBy returns a version that was applied by one control server.
func AppliedBy(server uint64, number uint64, at time.Time) Version {
	return Version{Number: number, AppliedAt: at, Applied: []Applied{{Server: server, At: at}}}
}

// DecidedBy returns a version that one control server committed as the leader.
func DecidedBy(server uint64, number uint64, at time.Time) Version {
	v := AppliedBy(server, number, at)
	v.Applied[0].Decided = true
	return v
}

// appliedBy returns when a control server applied v, false if that is not known.
func (v Version) appliedBy(server uint64) (time.Time, bool) {
	for _, a := range v.Applied {
		if a.Server == server {
			return a.At, true
		}
	}
	return time.Time{}, false
}

// Find returns the version with this number, v or one before it; false if it is not there.
func (v Version) Find(number uint64) (Version, bool) {
	for named := &v; named != nil && named.Number > 0; named = named.Previous {
		if named.Number == number {
			return *named, true
		}
	}
	return Version{}, false
}

// truncate returns v with at most n versions including itself.
func (v Version) truncate(n int) Version {
	if v.Previous != nil {
		if n <= 1 {
			v.Previous = nil
			return v
		}
		previous := v.Previous.truncate(n - 1)
		v.Previous = &previous
	}
	return v
}

// Floor returns the newest version that was named at least bound ago, 0 if there
// is none. Requests must not begin on an older version.
func (v Version) Floor(now time.Time, bound time.Duration) uint64 {
	for named := &v; named != nil; named = named.Previous {
		if named.Number > 0 && now.Sub(named.AppliedAt) >= bound {
			return named.Number
		}
	}
	return 0
}

// NamedAfter returns when the first version after this number was named, zero if there is none.
// The time known of the first may be later than that of another one.
func (v Version) NamedAfter(number uint64) time.Time {
	var at time.Time
	for named := &v; named != nil && named.Number > number; named = named.Previous {
		if at.IsZero() || named.AppliedAt.Before(at) {
			at = named.AppliedAt
		}
	}
	return at
}

// History returns v and the versions before it, the oldest first.
func (v Version) History() []Version {
	var out []Version
	for named := &v; named != nil; named = named.Previous {
		if named.Number > 0 {
			out = append(out, *named)
		}
	}
	slices.Reverse(out)
	return out
}

// NamingsToProto returns the wire form of a naming, one message for each control server; the ages are as of now. The age
// of a time of an unknown control server is rounded down, so that it does not get earlier each time that it is forwarded. The
// others are rounded up, so that none gets later.
func NamingsToProto(model string, v Version, now time.Time) []*rpc.ModelVersion {
	if v.TimeUnknown {
		return []*rpc.ModelVersion{{Model: model, Version: v.Number, AgeMs: unknownAge.Milliseconds()}}
	}
	var out []*rpc.ModelVersion
	for _, a := range v.times() {
		age := max(now.Sub(a.At), 0)
		if a.Server != 0 {
			age += time.Millisecond - 1
		}
		out = append(out, &rpc.ModelVersion{Model: model, Version: v.Number, AgeMs: age.Milliseconds(), AppliedBy: a.Server, Decided: a.Decided})
	}
	return out
}

// NamingFromProto returns the version of one of the messages of NamingsToProto. The age counts from asOf. If that is
// anchored, it is never later than the time as of which the age was computed; else the control server counts as unknown, since the
// time may be late.
func NamingFromProto(m *rpc.ModelVersion, asOf time.Time, anchored bool) Version {
	if m.AgeMs >= unknownAge.Milliseconds() {
		return UnknownNaming(m.Version, asOf)
	}
	at := asOf.Add(-time.Duration(max(m.AgeMs, 0)) * time.Millisecond)
	if !anchored || m.AppliedBy == 0 {
		return Version{Number: m.Version, AppliedAt: at}
	}
	if m.Decided {
		return DecidedBy(m.AppliedBy, m.Version, at)
	}
	return AppliedBy(m.AppliedBy, m.Version, at)
}
