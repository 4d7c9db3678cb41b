// Command bench-config measures how accepted changes come into force: through
// real control servers, relays and many subscribed processes on one machine.
// It prints one "name=value" line per figure. A tool of the developers.
//
// Relays and subscribers are this program, started again with -mode relay or
// -mode subscribe; control servers are lynxgated from the folder -bin.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

// options are the flags of all modes.
type options struct {
	mode string
	// of the run
	bin      string
	dir      string
	changes  int
	interval time.Duration
	sizes    string
	// of relays and subscribers
	name      string
	listen    string
	upstreams string
	control   string
	floor     string
}

func main() {
	var o options
	flag.StringVar(&o.mode, "mode", "run", "run, relay or subscribe")
	flag.StringVar(&o.bin, "bin", "bin", "folder with lynxgated and this program")
	flag.StringVar(&o.dir, "dir", "out/bench-config", "folder for settings, logs and data")
	flag.IntVar(&o.changes, "changes", 40, "changes measured for each size")
	flag.DurationVar(&o.interval, "interval", 250*time.Millisecond, "time between two changes")
	flag.StringVar(&o.sizes, "sizes", "3x100,3x200,5x100,5x200", "control servers x subscribed processes")
	flag.StringVar(&o.name, "name", "", "name of this relay or subscriber")
	flag.StringVar(&o.listen, "listen", "", "IP:port that a relay serves on")
	flag.StringVar(&o.upstreams, "upstreams", "", "sources to subscribe to, comma-separated")
	flag.StringVar(&o.control, "control", "", "rpc addresses of control servers, comma-separated")
	flag.StringVar(&o.floor, "floor", "", "file for the revision floor")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "bench-config:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	switch o.mode {
	case "run":
		return runAll(o)
	case "relay":
		return runRelay(o)
	case "subscribe":
		return runSubscriber(o)
	default:
		return fmt.Errorf("unknown mode %q", o.mode)
	}
}

func list(text string) []string { return strings.Split(text, ",") }
