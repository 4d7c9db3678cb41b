package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc, 1/100 s on Linux.
const clockTick = 10 * time.Millisecond

// usage is what a process has used so far.
type usage struct {
	cpu time.Duration
	// bytes read and written with system calls: its connections, mostly.
	bytes int64
	rss   int64
}

func readUsage(pid int) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// the fields after the command's closing parenthesis; utime and stime are
	// the 12th and 13th of them
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return u, err
		}
		u.cpu += time.Duration(ticks) * clockTick
	}
	io, err := readFields(pid, "io")
	if err != nil {
		return u, err
	}
	u.bytes = io["rchar"] + io["wchar"]
	status, err := readFields(pid, "status")
	u.rss = status["VmRSS"] * 1024
	return u, err
}

// readFields reads the "name: number" lines of a file in /proc.
func readFields(pid int, name string) (map[string]int64, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/%s", pid, name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	out := make(map[string]int64)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		key, rest, ok := strings.Cut(lines.Text(), ":")
		words := strings.Fields(rest)
		if !ok || len(words) == 0 {
			continue
		}
		if n, err := strconv.ParseInt(words[0], 10, 64); err == nil {
			out[key] = n
		}
	}
	return out, lines.Err()
}

// revisionLine is one line that a relay or subscriber logged.
type revisionLine struct {
	revision uint64
	at       time.Time
	held     int
}

// readRevisions reads a child's log.
func readRevisions(path string) ([]revisionLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var out []revisionLine
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line revisionLine
		var nanos int64
		if n, _ := fmt.Sscanf(lines.Text(), "rev %d %d %d", &line.revision, &nanos, &line.held); n == 3 {
			line.at = time.Unix(0, nanos)
			out = append(out, line)
		}
	}
	return out, lines.Err()
}

// reached returns when the child had the revision in force.
func reached(lines []revisionLine, revision uint64) (time.Time, bool) {
	for _, l := range lines {
		if l.revision >= revision {
			return l.at, true
		}
	}
	return time.Time{}, false
}

// fell reports whether a revision or the versions held ever went down.
func fell(lines []revisionLine) bool {
	for i := 1; i < len(lines); i++ {
		if lines[i].revision < lines[i-1].revision || lines[i].held < lines[i-1].held {
			return true
		}
	}
	return false
}
