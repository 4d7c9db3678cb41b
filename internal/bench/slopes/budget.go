package main

import "fmt"

// secondsPerDay spreads a day's changes.
const secondsPerDay = 86400

// revisionsPerRestart is how many revisions an agent's restart makes: it is
// leaving, it is back, and its assignment where it has one.
const revisionsPerRestart = 3

// revisionsPerDay are changes of operators and of members.
const revisionsPerDay = targetChangesPerDay + revisionsPerRestart*(targetRestartsPerDay+targetFailuresPerDay)

// segmentOverhead is what a message adds on the network where each travels in
// a segment of its own and is acknowledged by another: two headers of IP and
// TCP with time stamps. It is counted, not measured.
const segmentOverhead = 2 * 52

// atTarget is what a daemon of a role uses for control at the target's size.
type atTarget struct {
	// Cores, RSS in bytes and BytesPerSecond each way; over a day, changes
	// included.
	cores, rss, in, out float64
	// MessagesIn and messagesOut are those of a quiet second.
	messagesIn, messagesOut float64
	// changeCPU (core seconds), changeIn and changeOut are those of one change.
	changeCPU, changeIn, changeOut float64
}

// target works out a role from the slopes.
func (r *results) target(role role) atTarget {
	quiet := func(name string) float64 {
		value := r.slope(role, name).value()
		more := r.slope(role, "server_"+name)
		if more.level() {
			return value
		}
		return value + more.Line.Slope*(targetControl-baseServers)
	}
	changed := func(name string) float64 { return r.slope(role, name).value() }
	perDay := func(change float64) float64 { return change * revisionsPerDay / secondsPerDay }
	t := atTarget{
		messagesIn:  quiet("messages_in"),
		messagesOut: quiet("messages_out"),
		changeCPU:   changed("change_cpu") + r.keySlope(role, "key_change_cpu"),
		changeIn:    changed("change_bytes_in"),
		changeOut:   changed("change_bytes_out"),
		rss:         quiet("rss") + r.keySlope(role, "key_rss"),
	}
	t.cores = quiet("cpu") + perDay(t.changeCPU)
	t.in = quiet("bytes_in") + perDay(t.changeIn)
	t.out = quiet("bytes_out") + perDay(t.changeOut)
	return t
}

// keySlope is what the target's keys add to a role; the intercept belongs to
// the fleet that the keys were added to.
func (r *results) keySlope(role role, name string) float64 {
	s := r.slope(role, name)
	if s.level() {
		return 0
	}
	return s.Line.Slope * s.Target
}

// engineExtra is what an agent before an engine uses above one before a plain
// service that as many entries (one) watch: processor time and memory.
func (r *results) engineExtra() (cores, rss float64, ok bool) {
	idle, ok := r.quietPath()
	if !ok {
		return 0, 0, false
	}
	u := idle[agent]
	cores = u.OSCPU/u.Seconds - r.slope(agent, "cpu").Line.at(1)
	rss = u.OSRSS - r.slope(agent, "rss").Line.at(1)
	return max(0, cores), max(0, rss), true
}

// streamMemory is what a daemon's share of the answers in progress adds.
func (r *results) streamMemory(role role) float64 {
	s := r.slope(role, "stream_rss")
	return s.Line.Slope * s.Target
}

// rolesTable is what each role uses for control at the target's size.
func rolesTable(r *results) string {
	t := newTable("role", "daemons", "messages in / out", "bytes in / out, changes spread over the day",
		"CPU", "RSS", "one change: in / out / CPU")
	counts := map[role]int{leader: 1, follower: targetControl - 1, entry: targetEntries, agent: targetVMs}
	for _, role := range roles {
		x := r.target(role)
		t.add(roleNames[role], fmt.Sprint(counts[role]),
			digits(x.messagesIn)+" / "+digits(x.messagesOut)+" a second",
			size(x.in)+"/s / "+size(x.out)+"/s", amount(x.cores, "cores"), size(x.rss),
			size(x.changeIn)+" / "+size(x.changeOut)+" / "+amount(x.changeCPU, "core seconds"))
	}
	return t.String()
}

// verdictTable holds entries and agents against the limits. The control
// servers stand on VMs set aside for them.
func verdictTable(r *results) string {
	t := newTable("daemon", "limit", "comes to", "verdict")
	for _, role := range []role{entry, agent} {
		x := r.target(role)
		name := roleNames[role]
		t.add(name, "3% of a core", amount(x.cores, "cores"), verdict(x.cores, limitCores))
		t.add(name, "32 MB", size(x.rss), verdict(x.rss, limitRSS))
		whole := x.rss + r.streamMemory(role)
		t.add(name+", streams at the peak included", "32 MB", size(whole), verdict(whole, limitRSS))
		t.add(name, "2 KB/s, both ways together", size(x.in+x.out)+"/s", verdict(x.in+x.out, limitBytesPerSecond))
		wire := x.in + x.out + segmentOverhead*(x.messagesIn+x.messagesOut)
		t.add(name+", headers of TCP and IP included", "2 KB/s, both ways together", size(wire)+"/s", verdict(wire, limitBytesPerSecond))
	}
	if cpu, rss, ok := r.engineExtra(); ok {
		x := r.target(agent)
		t.add("agent before an engine, idle", "3% of a core", amount(x.cores+cpu, "cores"), verdict(x.cores+cpu, limitCores))
		t.add("agent before an engine, idle", "32 MB", size(x.rss+rss), verdict(x.rss+rss, limitRSS))
	}
	for _, role := range []role{leader, follower} {
		x := r.target(role)
		t.add(roleNames[role], "a VM of its own", fmt.Sprintf("%s, %s, %s/s", amount(x.cores, "cores"), size(x.rss), size(x.in+x.out)), "fits")
	}
	t.add("the system", "6 VMs set aside", fmt.Sprintf("%d control servers", targetControl), "fits")
	return t.String()
}

func verdict(value, limit float64) string {
	share := fmt.Sprintf("%.0f%% of the limit", 100*value/limit)
	if value > limit {
		return "**does not fit**: " + share
	}
	return "fits: " + share
}
