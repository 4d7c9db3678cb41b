// Command weights measures the distribution of weights: N real agent processes
// on loopback, each a transfer.Manager with its link paced, and a paced origin.
//
// It is a tool for developers and starts processes; no process of the product
// does. For each strategy and case it prints the time to N replicas over the
// bound, the copies drawn from the origin, and the 95th percentile of a live
// exchange's latency with the burst over that without.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

// options are the bench's flags.
type options struct {
	sizes      []int
	strategies []string
	bytes      int64
	chunk      int64
	bound      time.Duration
	cases      string
	policies   []string
	scratch    string
	out        string
	repeat     int
	profile    string
	verbose    bool
}

func main() {
	isAgent := flag.Bool("agent", false, "run as one agent of a bench (used by the bench itself)")
	n := flag.String("n", "16,48,96", "numbers of agents")
	strategies := flag.String("strategies", "swarm,origin,zone-tree,chain", "strategies to run")
	bytes := flag.Int64("bytes", 8<<20, "size of the weights")
	chunk := flag.Int64("chunk", 32<<10, "chunk size")
	bound := flag.Duration("bound", 2500*time.Millisecond, "bound T of runs, longer for the swarm with more than 48 agents; gives the links' rate")
	cases := flag.String("cases", "quiet,faults", "cases to run")
	policies := flag.String("policies", "time,origin-bytes", "policies of the swarm to run")
	scratch := flag.String("scratch", os.TempDir(), "folder for the agents' scratch folders")
	out := flag.String("out", "out/weights-replicas.svg", "plot to write")
	repeat := flag.Int("repeat", 1, "runs of each case")
	profile := flag.String("profile", "", "folder for CPU profiles of the agents' last bursts")
	verbose := flag.Bool("v", false, "print chunks held over time")
	flag.Parse()
	if *isAgent {
		exitOn(runAgent())
		return
	}
	opts := options{
		strategies: strings.Split(*strategies, ","), bytes: *bytes, chunk: *chunk, bound: *bound,
		cases: *cases, policies: strings.Split(*policies, ","), scratch: *scratch, out: *out, repeat: *repeat, profile: *profile, verbose: *verbose,
	}
	for _, s := range strings.Split(*n, ",") {
		count, err := strconv.Atoi(s)
		exitOn(err)
		opts.sizes = append(opts.sizes, count)
	}
	exitOn(opts.bench())
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench-weights:", err)
		os.Exit(1)
	}
}

func (o options) bench() error {
	var results []*result
	for _, group := range grouped(o.runs()) {
		done, err := executeAll(group)
		if err != nil {
			return err
		}
		for _, res := range done {
			res.detail(os.Stdout)
			if o.verbose {
				res.overTime(os.Stdout)
			}
		}
		results = append(results, done...)
	}
	if err := draw(o.out, results, slices.Max(o.sizes)); err != nil {
		return err
	}
	fmt.Println("# plot:", o.out)
	slopes(os.Stdout, results)
	for _, r := range results {
		r.lines(os.Stdout)
	}
	return nil
}

// agentsAtOnce is how many agents small runs may add up to, so that they run
// side by side, and above which a swarm run's bound grows, since all agents share
// one machine's processors.
const agentsAtOnce = 48

// grouped puts runs together that may run at the same time.
func grouped(runs []run) [][]run {
	var groups [][]run
	agents := 0
	for _, r := range runs {
		if len(groups) == 0 || agents+r.n > agentsAtOnce {
			groups = append(groups, nil)
			agents = 0
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], r)
		agents += r.n
	}
	return groups
}

func executeAll(runs []run) ([]*result, error) {
	results := make([]*result, len(runs))
	var group errgroup.Group
	for i, r := range runs {
		group.Go(func() error {
			var err error
			results[i], err = r.execute()
			return err
		})
	}
	return results, group.Wait()
}

// runs lists the cases. Baselines run quiet at every n, with faults only at
// the smallest, where they do not outlast the bench.
func (o options) runs() []run {
	var list []run
	for _, n := range o.sizes {
		for _, strategy := range o.strategies {
			for _, name := range strings.Split(o.cases, ",") {
				list = append(list, o.policyRuns(swarm.Strategy(strategy), n, name == "faults")...)
			}
		}
	}
	return list
}

func (o options) policyRuns(strategy swarm.Strategy, n int, faults bool) []run {
	bound := o.bound
	if strategy == swarm.StrategySwarm {
		bound = time.Duration(float64(bound) * max(1, float64(n)/agentsAtOnce))
	}
	rate := float64(o.bytes) / bound.Seconds()
	base := run{
		strategy: strategy, faults: faults, n: n, size: o.bytes, chunk: o.chunk, rate: rate,
		limit: 3 * bound, scratch: o.scratch, profile: o.profile, prefer: inventory.PreferTime,
	}
	var list []run
	switch {
	case strategy == swarm.StrategySwarm:
		for _, policy := range o.policies {
			base.prefer = inventory.Preference(policy)
			list = append(list, base)
		}
	case faults && n != slices.Min(o.sizes):
		return nil
	case strategy == swarm.StrategyOrigin:
		base.size = originSize(o, n)
		list = append(list, base)
	default:
		list = append(list, base)
	}
	var repeated []run
	for range o.repeat {
		repeated = append(repeated, list...)
	}
	return repeated
}

// originSize shortens the runs in which the origin alone sends N copies: their
// ratio to the bound does not depend on the size.
func originSize(o options, n int) int64 {
	chunks := max(4, o.bytes/o.chunk*2/int64(n))
	return chunks * o.chunk
}
