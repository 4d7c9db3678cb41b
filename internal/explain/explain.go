// Package explain reconstructs from the logs of several daemons what happened
// to one request, and finds the log line that decided its result. Log lines
// are JSON objects and may follow a prefix. The package keeps no state.
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
	// before and after extend the time range of a request in which log lines
	// about its backend servers are included.
	before = 10 * time.Second
	after  = 2 * time.Second
	// maxLine bounds one log line, in bytes.
	maxLine = 1 << 20
	// messageEnded is the message of the last log line of a request.
	messageEnded = "request ended"
	// reasonServed is the reason of a request that was answered completely.
	reasonServed = "served"
)

// Line is one log line.
type Line struct {
	At      time.Time
	Daemon  string
	Message string
	Text    string
	Fields  map[string]any
}

// Report is the history of one request, collected from the logs.
type Report struct {
	// Lines are those of the request and of its backend servers, sorted by time.
	Lines []Line
	// Deciding is the index in Lines of the line that decided the result, -1 if
	// there is none.
	Deciding int
	// Ended is true when the logs contain the last line of the request.
	Ended bool
	Cause string
	// Reservation says how the request was ranked and what agents have decided on it, one statement each.
	Reservation []string
}

// Read collects the log lines of a request and of its backend servers. It
// fails if no line names the request.
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
			continue // not a log line of a daemon
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

// servers formats how many servers of the service were in each state when the
// request was refused.
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

// throttled formats the servers that were excluded because of their own signals.
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

// decide finds the line that decided the result: the last one about a failed
// attempt, or else the last line of the request.
func (r *Report) decide(request string) {
	end := -1
	for i, l := range r.Lines {
		if l.text("request") != request {
			continue
		}
		if l.Message == messageEnded {
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
	if r.Deciding < 0 || (l.text("reason") == reasonServed && l.number("sends") <= 1) {
		r.Deciding = end
	}
	r.Cause = cause(l, r.Lines[r.Deciding])
	r.Reservation = l.reservation()
}

// crashedServers formats the servers that crashed on the same request content, or on the same part of a prompt.
func (l Line) crashedServers() string {
	servers, _ := l.Fields["ended_servers"].([]any)
	if len(servers) == 0 {
		return ""
	}
	if part := l.text("part"); part != "" {
		return fmt.Sprintf(" (ended under part %q of the prompt: %v)", part, servers)
	}
	return fmt.Sprintf(" (ended under the same work %v: %v)", l.Fields["content"], servers)
}

// capacity formats the predicted and allowed waits of a request that no engine
// had a free slot for.
func (l Line) capacity() string {
	if _, predicted := l.Fields["soonest_ms"]; !predicted {
		return ""
	}
	return fmt.Sprintf(" (prompt of %.0f tokens, waited %.0f ms for room; least wait predicted at a server %.0f ms, longest allowed %.0f ms)",
		l.number("prompt"), l.number("waited_ms"), l.number("soonest_ms"), l.number("allowed_ms"))
}

// cause describes the result of a request from its last line and the line that
// decided it.
func cause(end, deciding Line) string {
	status, reason := int(end.number("status")), end.text("reason")
	switch {
	case reason == reasonServed && end.number("sends") > 1:
		return fmt.Sprintf("served, after %q at %s", deciding.Message, deciding.text("server"))
	case reason == reasonServed:
		return fmt.Sprintf("late at %s: first event after %.0f ms (predicted wait %.0f ms, queue %.0f, told %.0f ms before), longest pause %.0f ms",
			end.text("server"), end.number("first_ms"), end.number("wait_ms"), end.number("queue"), end.number("load_age_ms"), end.number("gap_ms"))
	case end.number("sends") == 0 && deciding.Message == messageEnded:
		return fmt.Sprintf("refused with %d before any send: %s", status, reason) + end.servers() + end.throttled() + end.capacity() + end.crashedServers()
	case deciding.Message != messageEnded:
		return fmt.Sprintf("ended with %d (%s) after %q at %s", status, reason, strings.TrimSpace(deciding.Message+" "+deciding.text("cause")), deciding.text("server")) + end.crashedServers()
	}
	return fmt.Sprintf("ended with %d: %s", status, reason)
}
