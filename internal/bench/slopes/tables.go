package main

import (
	"fmt"
	"strings"
)

// names of the roles on the page.
var roleNames = map[role]string{
	leader: "control leader", follower: "control follower", entry: "entry", agent: "agent",
}

func runText(r *results) string {
	run := r.Run
	var sizes []string
	for _, s := range r.Sizes {
		sizes = append(sizes, fmt.Sprintf("%d+%d+%d", s.Servers, s.Entries, s.Agents))
	}
	return fmt.Sprintf(`Run: %s, %s after, %s for the whole run. Fleets (control servers + entries + agents): %s;
idle window %s, %d changes at each size.`,
		run, run.LoadAfter, run.Took, strings.Join(sizes, ", "), run.Window, run.Changes)
}

// idleTable holds the slopes of a quiet fleet.
func idleTable(r *results) string {
	t := slopeTable()
	for _, role := range roles {
		for _, res := range idleResources {
			addSlopeRow(t, r.slope(role, res.name))
		}
	}
	for _, role := range []role{leader, follower} {
		for _, res := range idleResources {
			addSlopeRow(t, r.slope(role, "server_"+res.name))
		}
	}
	return t.String()
}

func slopeTable() *table {
	return newTable("role", "resource", "slope", "per", "intercept", "residual", "at the target x", "comes to", "extrapolated")
}

func addSlopeRow(t *table, s slope) {
	if len(s.Points) == 0 {
		return
	}
	t.add(roleNames[s.Role], s.Resource, amount(s.Line.Slope, s.Unit), string(s.Per), amount(s.Line.Intercept, s.Unit),
		amount(s.Line.Residual, s.Unit), digits(s.Target), amount(s.value(), s.Unit), reachText(s))
}

// reachText says how far a figure lies beyond what was measured.
func reachText(s slope) string {
	switch {
	case s.level():
		return "no rise seen: mean"
	case s.reach() <= 1:
		return "no"
	}
	return digits(s.reach()) + " times"
}

// changeTable holds the slopes of one change.
func changeTable(r *results) string {
	t := slopeTable()
	for _, role := range roles {
		for _, res := range changeResources {
			addSlopeRow(t, r.slope(role, res.name))
		}
	}
	return t.String()
}

// keysTable holds the slopes over the number of keys.
func keysTable(r *results) string {
	t := slopeTable()
	for _, role := range roles {
		for _, name := range []string{"key_rss", "key_heap", "key_change_cpu"} {
			addSlopeRow(t, r.slope(role, name))
		}
	}
	return t.String()
}

// accountingTable sets the daemons' own counters beside the system's.
func accountingTable(r *results) string {
	t := newTable("fleet", "role", "CPU: system / own", "RSS: system / own", "of it anonymous", "heap",
		"read: system / own in", "written: system / own out")
	add := func(fleet string, idle bill) {
		for _, role := range roles {
			u := idle[role]
			if u.Seconds == 0 {
				continue
			}
			t.add(fleet, roleNames[role],
				fmt.Sprintf("%s%% / %s%%", digits(100*u.OSCPU/u.Seconds), digits(100*u.OwnCPU/u.Seconds)),
				size(u.OSRSS)+" / "+size(u.OwnRSS), size(u.OSAnon), size(u.Heap),
				size(u.OSRead/u.Seconds)+"/s / "+size(u.BytesIn/u.Seconds)+"/s",
				size(u.OSWritten/u.Seconds)+"/s / "+size(u.BytesOut/u.Seconds)+"/s")
		}
	}
	for _, s := range r.Sizes {
		add(fmt.Sprintf("%d+%d+%d", s.Servers, s.Entries, s.Agents), s.Idle)
	}
	if idle, ok := r.quietPath(); ok {
		add("1+1+1, the agent before an engine", idle)
	}
	return t.String()
}

// quietPath is the path of requests before any came.
func (r *results) quietPath() (bill, bool) {
	if len(r.Streams) == 0 || r.Streams[0].Streams != 0 {
		return nil, false
	}
	return r.Streams[0].Use, true
}

func restartTable(r *results) string {
	if r.Restart == nil {
		return "Not measured in this run."
	}
	t := newTable("daemon", "CPU", "bytes in", "bytes out", "messages in", "messages out")
	add := func(name string, u usage) {
		t.add(name, amount(u.OSCPU, "core seconds"), size(u.BytesIn), size(u.BytesOut), digits(u.MessagesIn), digits(u.MessagesOut))
	}
	x := r.Restart
	add(fmt.Sprintf("the restarted agent, its first %s s", digits(x.Agent.Seconds)), x.Agent)
	for _, role := range roles {
		add("each "+roleNames[role]+", above idle", x.Others[role])
	}
	return t.String()
}

// requestsTable holds the slopes of the path of requests and what they come
// to over the whole system.
func requestsTable(r *results) string {
	t := slopeTable()
	for _, role := range []role{entry, agent} {
		for _, name := range []string{"token_cpu", "request_cpu", "stream_rss", "stream_heap"} {
			addSlopeRow(t, r.slope(role, name))
		}
	}
	out := t.String() + "\n"
	total := newTable("over the system", "entries", "agents")
	cores := func(role role, name string, rate float64) string {
		return digits(r.slope(role, name).Line.Slope*rate) + " cores"
	}
	total.add(fmt.Sprintf("%d tokens a second", targetTokensPerSecond),
		cores(entry, "token_cpu", targetTokensPerSecond), cores(agent, "token_cpu", targetTokensPerSecond))
	total.add(fmt.Sprintf("%d requests a second", targetRequestsPerSecond),
		cores(entry, "request_cpu", targetRequestsPerSecond), cores(agent, "request_cpu", targetRequestsPerSecond))
	total.add(fmt.Sprintf("%.0f streams open at once, heap", targetStreams),
		size(r.slope(entry, "stream_heap").Line.Slope*targetStreams), size(r.slope(agent, "stream_heap").Line.Slope*targetStreams))
	return out + total.String()
}
