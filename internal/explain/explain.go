// Package explain finds, in the logs of several daemons, what happened to one
// request, and the line that decided how it ended. State: none. Messages: log
// lines, JSON objects that may stand behind a prefix.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// before and after are the times around a request in which changes of belief
	// about its backend servers are shown.
	before = 10 * time.Second
	after  = 2 * time.Second
	// maxLine bounds one log line, in bytes.
	maxLine = 1 << 20
	// ended is the message of a request's last line.
	ended = "request ended"
	// served is the reason of a request that was answered whole.
	served = "served"
)

// Line is one log line.
type Line struct {
	At      time.Time
	Daemon  string
	Message string
	Text    string
	Fields  map[string]any
}

// Report is what the logs tell of a request.
type Report struct {
	// Lines in the order of their times: the request's, and those about its
	// backend servers.
	Lines []Line
	// Deciding is the index of the line that decided, -1 if there is none.
	Deciding int
	// Ended: the logs hold the request's last line.
	Ended bool
	Cause string
}

// Read finds a request in logs.
func Read(request string, logs ...io.Reader) (*Report, error) {
	var all []Line
	for _, log := range logs {
		lines, err := parse(log)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	own := func(l Line) bool { return l.text("request") == request }
	first := slices.IndexFunc(all, own)
	if first < 0 {
		return nil, fmt.Errorf("no line names request %q: it was served at once, or the line was dropped", request)
	}
	servers := map[string]bool{}
	last := first
	for i, l := range all {
		if own(l) {
			last = i
			if server := l.text("server"); server != "" {
				servers[server] = true
			}
		}
	}
	report := &Report{Deciding: -1}
	for _, l := range all {
		near := l.At.After(all[first].At.Add(-before)) && l.At.Before(all[last].At.Add(after))
		about := l.text("request") == "" && servers[l.text("server")] && l.Daemon == all[first].Daemon
		if own(l) || (near && about) {
			report.Lines = append(report.Lines, l)
		}
	}
	report.decide(request)
	return report, nil
}

func parse(log io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(scanner.Bytes()[start:], &fields); err != nil {
			continue // not a line of a daemon
		}
		l := Line{Fields: fields, Text: string(scanner.Bytes()[start:])}
		l.Daemon, l.Message = l.text("daemon"), l.text("message")
		// A line without a readable time sorts first.
		l.At, _ = time.Parse(time.RFC3339Nano, l.text("time"))
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

func (l Line) text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

func (l Line) number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// servers puts into words why the servers of the service did not take a request.
func (l Line) servers() string {
	counts, ok := l.Fields["servers"].(map[string]any)
	if !ok {
		return ""
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if n, _ := counts[name].(float64); n > 0 {
			parts = append(parts, fmt.Sprintf("%s %.0f", strings.ToLower(name), n))
		}
	}
	return " (servers: " + strings.Join(parts, ", ") + ")"
}

// throttled names servers that were not chosen because of their own signals.
func (l Line) throttled() string {
	list, _ := l.Fields["throttled"].([]any)
	var parts []string
	for _, item := range list {
		if s, ok := item.(map[string]any); ok {
			age, _ := s["age_ms"].(float64)
			opens, _ := s["opens_ms"].(float64)
			parts = append(parts, fmt.Sprintf("%v by its %v, signalled %.0f ms before, free after %.0f ms", s["server"], s["signal"], age, opens))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " (throttled: " + strings.Join(parts, "; ") + ")"
}

// decide names the line that decided: the last one about a send that failed, or
// the end itself.
func (r *Report) decide(request string) {
	end := -1
	for i, l := range r.Lines {
		if l.text("request") != request {
			continue
		}
		if l.Message == ended {
			end = i
		} else {
			r.Deciding = i
		}
	}
	r.Ended = end >= 0
	if !r.Ended {
		r.Cause = "the request has not ended in these logs"
		return
	}
	l := r.Lines[end]
	if r.Deciding < 0 || (l.text("reason") == served && l.number("sends") <= 1) {
		r.Deciding = end
	}
	r.Cause = cause(l, r.Lines[r.Deciding])
}

// endedServers names those that ended under the same work.
func (l Line) endedServers() string {
	servers, _ := l.Fields["ended_servers"].([]any)
	if len(servers) == 0 {
		return ""
	}
	return fmt.Sprintf(" (ended under the same work %v: %v)", l.Fields["content"], servers)
}

// room tells of a request to an engine that found none how long it might have waited there, and would have.
func (l Line) room() string {
	if _, told := l.Fields["soonest_ms"]; !told {
		return ""
	}
	return fmt.Sprintf(" (prompt of %.0f tokens, waited %.0f ms for room; least wait predicted at a server %.0f ms, longest allowed %.0f ms)",
		l.number("prompt"), l.number("waited_ms"), l.number("soonest_ms"), l.number("allowed_ms"))
}

// cause puts the end of a request and the line that decided into words.
func cause(end, deciding Line) string {
	status, reason := int(end.number("status")), end.text("reason")
	switch {
	case reason == served && end.number("sends") > 1:
		return fmt.Sprintf("served, after %q at %s", deciding.Message, deciding.text("server"))
	case reason == served:
		return fmt.Sprintf("late at %s: first event after %.0f ms (predicted wait %.0f ms, queue %.0f, told %.0f ms before), longest pause %.0f ms",
			end.text("server"), end.number("first_ms"), end.number("wait_ms"), end.number("queue"), end.number("load_age_ms"), end.number("gap_ms"))
	case end.number("sends") == 0 && deciding.Message == ended:
		return fmt.Sprintf("refused with %d before any send: %s", status, reason) + end.servers() + end.throttled() + end.room() + end.endedServers()
	case deciding.Message != ended:
		return fmt.Sprintf("ended with %d (%s) after %q at %s", status, reason, strings.TrimSpace(deciding.Message+" "+deciding.text("cause")), deciding.text("server")) + end.endedServers()
	}
	return fmt.Sprintf("ended with %d: %s", status, reason)
}
