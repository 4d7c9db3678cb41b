//go:build review

// Command two plays the scripted cases of the second review. It starts the project's daemons as processes on loopback, with stand-ins
// around them, and checks one rule by what clients and backend servers have seen.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	maxLength = 116 * time.Second
)

// record is what a case writes to its record.txt.
type record struct {
	start time.Time
	mu    sync.Mutex
	out   *os.File
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// play runs a case: it returns the breaks of the rule, one line each, or an error if the case could not run. trouble: the disruption is
// played.
type play func(ctx context.Context, b *bed, trouble bool) (breaks []string, err error)

var plays = map[string]play{
	"4": lastTenantLeaves,
	"5": ownStatusAfterRun,
	"6": silentAcrossTheBound,
	"7": unframedWhileWeightsChange,
	"8": wholeUntilBound,
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names, with the record in the file that the second one names.
func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: two CASE RECORD")
		return couldNot
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer out.Close()
	r := &record{start: time.Now(), out: out}
	dir, err := os.MkdirTemp("", "lynxgate-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer os.RemoveAll(dir)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxLength)
	defer cancel()
	b, err := newBed(r, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer b.close()
	breaks, err := plays[os.Args[1]](ctx, b, os.Getenv("TROUBLE") != "0")
	b.keepLogs(os.Getenv("KEEP_LOGS"))
	if err == nil {
		err = ctx.Err()
	}
	return conclude(r, breaks, err)
}

func conclude(r *record, breaks []string, err error) int {
	switch {
	case err != nil:
		r.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return couldNot
	case len(breaks) > 0:
		r.logf("BROKEN %d times:\n%s", len(breaks), strings.Join(breaks, "\n"))
		fmt.Printf("broken %d times; the first: %s\n", len(breaks), breaks[0])
		return broken
	}
	r.logf("the rule held")
	fmt.Println("the rule held")
	return held
}
