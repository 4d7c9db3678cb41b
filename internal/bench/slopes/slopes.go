package main

import "fmt"

// kind tells what a slope's x counts.
type kind string

const (
	perDaemon  kind = "announced daemon"
	perServer  kind = "control server"
	perWatched kind = "agent watched"
	perWatcher kind = "entry watching"
	perKey     kind = "key held"
	perStream  kind = "open stream"
	perToken   kind = "token/s"
	perRequest kind = "request/s"
)

// slope is a resource of a role as a line over what makes it grow.
type slope struct {
	Role     role    `json:"role"`
	Resource string  `json:"resource"`
	Unit     string  `json:"unit"`
	Per      kind    `json:"per"`
	Line     line    `json:"line"`
	Target   float64 `json:"target_x"`
	Points   []point `json:"points"`
}

// value is the line at the target, or the mean of the points where no rise
// shows: noise must not be multiplied by how far the target lies beyond.
func (s slope) value() float64 {
	if s.level() {
		var sum float64
		for _, p := range s.Points {
			sum += p.Y
		}
		return sum / float64(max(1, len(s.Points)))
	}
	return s.Line.at(s.Target)
}

// level reports whether the line falls, or rises by less over the measured
// range than twice the residual. No cost falls with the size of the fleet.
func (s slope) level() bool {
	if len(s.Points) == 0 {
		return true
	}
	low, high := s.Points[0].X, s.Points[0].X
	for _, p := range s.Points {
		low, high = min(low, p.X), max(high, p.X)
	}
	return s.Line.Slope*(high-low) <= 2*s.Line.Residual
}

// reach says how many times the largest measured x the target is.
func (s slope) reach() float64 {
	var largest float64
	for _, p := range s.Points {
		largest = max(largest, p.X)
	}
	if largest == 0 {
		return 0
	}
	return s.Target / largest
}

// String is the line that the bench prints.
func (s slope) String() string {
	return fmt.Sprintf("slope.%s.%s=%.6g intercept=%.6g residual=%.3g unit=%q per=%q points=%d",
		s.Role, s.Resource, s.Line.Slope, s.Line.Intercept, s.Line.Residual, s.Unit, s.Per, len(s.Points))
}

// resource takes one figure out of a usage.
type resource struct {
	name, unit string
	of         func(usage) float64
}

func perSecond(of func(usage) float64) func(usage) float64 {
	return func(u usage) float64 { return of(u) / u.Seconds }
}

// idleResources are those of a quiet fleet, per daemon.
var idleResources = []resource{
	{"cpu", "cores", perSecond(func(u usage) float64 { return u.OSCPU })},
	{"rss", "bytes", func(u usage) float64 { return u.OSRSS }},
	{"bytes_in", "bytes/s", perSecond(func(u usage) float64 { return u.BytesIn })},
	{"bytes_out", "bytes/s", perSecond(func(u usage) float64 { return u.BytesOut })},
	{"messages_in", "messages/s", perSecond(func(u usage) float64 { return u.MessagesIn })},
	{"messages_out", "messages/s", perSecond(func(u usage) float64 { return u.MessagesOut })},
}

// changeResources are those of one change, per daemon.
var changeResources = []resource{
	{"change_cpu", "core seconds", func(u usage) float64 { return u.OSCPU }},
	{"change_bytes_in", "bytes", func(u usage) float64 { return u.BytesIn }},
	{"change_bytes_out", "bytes", func(u usage) float64 { return u.BytesOut }},
	{"change_messages_in", "messages", func(u usage) float64 { return u.MessagesIn }},
	{"change_messages_out", "messages", func(u usage) float64 { return u.MessagesOut }},
}

// fit works out all slopes.
func (r *results) fit() {
	r.Slopes = nil
	for _, role := range roles {
		r.fitSizes(role)
	}
	for _, role := range []role{leader, follower} {
		r.fitServers(role)
	}
	for _, role := range roles {
		r.fitKeys(role)
	}
	for _, role := range []role{entry, agent} {
		r.fitPath(role)
	}
}

// idleKind is what the idle cost of a role grows with, and its target.
func idleKind(r role) (kind, float64) {
	switch r {
	case entry:
		return perWatched, targetWatched
	case agent:
		return perWatcher, targetWatchers
	}
	return perDaemon, targetDaemons
}

// idleX is how much there was of it in a measured fleet.
func idleX(r role, s sizeResult) float64 {
	switch r {
	case entry:
		return s.Idle[agent].Watchers * float64(s.Agents) / float64(s.Entries)
	case agent:
		return s.Idle[agent].Watchers
	}
	return s.daemons()
}

func (r *results) fitSizes(role role) {
	per, target := idleKind(role)
	for _, res := range idleResources {
		s := slope{Role: role, Resource: res.name, Unit: res.unit, Per: per, Target: target}
		for _, size := range r.sizesFor(role) {
			s.Points = append(s.Points, point{idleX(role, size), res.of(size.Idle[role])})
		}
		r.addSlope(s)
	}
	for _, res := range changeResources {
		s := slope{Role: role, Resource: res.name, Unit: res.unit, Per: perDaemon, Target: targetDaemons}
		for _, size := range r.sizesFor(role) {
			s.Points = append(s.Points, point{size.daemons(), res.of(size.Change[role])})
		}
		r.addSlope(s)
	}
}

// baseServers is the number of control servers that the slopes of control
// servers hold for; what more of them cost is a slope of its own.
const baseServers = 3

// sizesFor returns the fleets that a role's slopes over their size are fitted
// on: for control servers, those with baseServers of them.
func (r *results) sizesFor(role role) []sizeResult {
	var out []sizeResult
	for _, s := range r.Sizes {
		if role == entry || role == agent || s.Servers == baseServers {
			out = append(out, s)
		}
	}
	return out
}

// fitServers fits what a further control server costs the others, from fleets
// that differ in nothing else.
func (r *results) fitServers(role role) {
	for _, res := range idleResources {
		s := slope{Role: role, Resource: "server_" + res.name, Unit: res.unit, Per: perServer, Target: targetControl}
		for _, a := range r.Sizes {
			for _, b := range r.Sizes {
				if a.Servers == baseServers && b.Servers > baseServers && a.Entries == b.Entries && a.Agents == b.Agents {
					s.Points = append(s.Points,
						point{float64(a.Servers), res.of(a.Idle[role])},
						point{float64(b.Servers), res.of(b.Idle[role])})
				}
			}
		}
		r.addSlope(s)
	}
}

// fitKeys fits memory and the processor time of a change over added keys.
func (r *results) fitKeys(role role) {
	target := float64(targetKeys)
	if role == agent {
		target = targetAgentKeys
	}
	for _, res := range []resource{
		{"key_rss", "bytes", func(u usage) float64 { return u.OSRSS }},
		{"key_heap", "bytes", func(u usage) float64 { return u.Heap }},
	} {
		s := slope{Role: role, Resource: res.name, Unit: res.unit, Per: perKey, Target: target}
		for _, k := range r.Keys {
			s.Points = append(s.Points, point{float64(k.Keys), res.of(k.Changing[role])})
		}
		r.addSlope(s)
	}
	s := slope{Role: role, Resource: "key_change_cpu", Unit: "core seconds", Per: perKey, Target: target}
	for _, k := range r.Keys {
		s.Points = append(s.Points, point{float64(k.Keys), k.Changing[role].OSCPU / float64(k.Changes)})
	}
	r.addSlope(s)
}

// fitPath fits the path of requests over tokens, streams and requests.
func (r *results) fitPath(role role) {
	share := 1.0 / targetEntries
	if role == agent {
		share = 1.0 / targetWorkers
	}
	cpu := slope{Role: role, Resource: "token_cpu", Unit: "cores", Per: perToken, Target: targetTokensPerSecond * share}
	rss := slope{Role: role, Resource: "stream_rss", Unit: "bytes", Per: perStream, Target: targetStreams * share}
	heap := slope{Role: role, Resource: "stream_heap", Unit: "bytes", Per: perStream, Target: targetStreams * share}
	for _, p := range r.Streams {
		u := p.Use[role]
		cpu.Points = append(cpu.Points, point{p.PerSecond, u.OSCPU / u.Seconds})
		rss.Points = append(rss.Points, point{p.Streams, u.OSRSS})
		heap.Points = append(heap.Points, point{p.Streams, u.Heap})
	}
	short := slope{Role: role, Resource: "request_cpu", Unit: "cores", Per: perRequest, Target: targetRequestsPerSecond * share}
	for _, p := range r.Requests {
		u := p.Use[role]
		short.Points = append(short.Points, point{p.PerSecond, u.OSCPU / u.Seconds})
	}
	for _, s := range []slope{cpu, rss, heap, short} {
		r.addSlope(s)
	}
}

// addSlope fits a slope and keeps it, unless nothing was measured for it.
func (r *results) addSlope(s slope) {
	if len(s.Points) == 0 {
		return
	}
	s.Line = fitLine(s.Points)
	r.Slopes = append(r.Slopes, s)
}

// slope returns that of a role and resource; the zero slope if there is none.
func (r *results) slope(role role, resource string) slope {
	for _, s := range r.Slopes {
		if s.Role == role && s.Resource == resource {
			return s
		}
	}
	return slope{Role: role, Resource: resource}
}

func (r *results) lines() []string {
	var out []string
	for _, s := range r.Slopes {
		out = append(out, s.String())
	}
	return out
}
