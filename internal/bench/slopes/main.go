// Slopes measures what the daemons cost for control and on the path of
// requests at several sizes of a fleet on this machine, fits straight lines
// and works out docs/CAPACITY.md from them. It is a tool of the developers
// and starts real daemons through internal/harness.
//
// State: the fleet under measurement and the series gathered so far. It reads
// the daemons' /metrics and the operating system's accounting in /proc, and
// writes results.json and the tables of the page.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// config says what to measure.
type config struct {
	dir, bin, page string
	// from is a file of results to write the page from without measuring.
	from string
	// sizes are numbers of light daemons (entries and agents), rising.
	sizes []int
	// wide are the sizes measured with five control servers as well.
	wide    []int
	window  time.Duration
	changes int
	// streams are numbers of answers streamed at once.
	streams []int
}

func main() {
	var cfg config
	var sizes, wide, streams string
	flag.StringVar(&cfg.dir, "dir", "out/slopes", "folder for results, settings and logs; emptied first")
	flag.StringVar(&cfg.bin, "bin", "bin", "folder with the programs")
	flag.StringVar(&cfg.page, "page", "docs/CAPACITY.md", "page whose tables are written again; empty for none")
	flag.StringVar(&cfg.from, "from", "", "results.json of an earlier run to write the page from; nothing is measured")
	flag.StringVar(&sizes, "sizes", "25,50,100,200", "numbers of light daemons, rising")
	flag.StringVar(&wide, "wide", "25", "numbers of light daemons with five control servers, rising")
	flag.StringVar(&streams, "streams", "125,250", "numbers of answers streamed at once")
	flag.DurationVar(&cfg.window, "window", 10*time.Second, "time over which a size is measured")
	flag.IntVar(&cfg.changes, "changes", 2, "changes applied at each size")
	flag.Parse()
	var err error
	for _, list := range []struct {
		text string
		into *[]int
	}{{sizes, &cfg.sizes}, {wide, &cfg.wide}, {streams, &cfg.streams}} {
		if *list.into, err = parseSizes(list.text); err != nil {
			fmt.Fprintln(os.Stderr, "bench-slopes:", err)
			os.Exit(2)
		}
	}
	if err := run(cfg); err != nil {
		fmt.Fprintln(os.Stderr, "bench-slopes:", err)
		os.Exit(1)
	}
}

// parseSizes reads "25,50"; an empty text is no sizes.
func parseSizes(text string) ([]int, error) {
	var sizes []int
	if text == "" {
		return sizes, nil
	}
	for _, field := range strings.Split(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 1 {
			return nil, fmt.Errorf("%q is not a size", field)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

func run(cfg config) error {
	if cfg.from != "" {
		r, err := readResults(cfg.from)
		if err != nil {
			return err
		}
		return rewritePage(cfg.page, r)
	}
	if err := os.RemoveAll(cfg.dir); err != nil {
		return err
	}
	if err := os.MkdirAll(cfg.dir, 0o755); err != nil {
		return err
	}
	r := &results{Run: describeRun(cfg)}
	fmt.Println(r.Run)
	steps := []struct {
		name    string
		measure func(config, *results) error
	}{
		{"fleets with three control servers", measureFleet},
		{"fleets with five control servers", measureWide},
		{"requests", measureRequests},
	}
	for _, step := range steps {
		fmt.Println("measuring", step.name)
		if err := step.measure(cfg, r); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	r.Run.finish()
	r.fit()
	for _, line := range r.lines() {
		fmt.Println(line)
	}
	if err := r.write(filepath.Join(cfg.dir, "results.json")); err != nil {
		return err
	}
	if cfg.page == "" {
		return nil
	}
	return rewritePage(cfg.page, r)
}
