package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"

	"github.com/google/subcommands"
	dto "github.com/prometheus/client_model/go"
)

// noRank is the rank of requests to services without ranks.
const noRank = "-"

// agentResults are the decisions of agents, askResults what entries got when they asked for one.
var (
	agentResults = []string{"granted", "full", "slow", "rank", "loading", "version", "unknown"}
	askResults   = append(slices.Clone(agentResults), "no answer")
)

// capacityCommand sums the metrics of daemons on demand, reservations and ranks.
type capacityCommand struct {
	env    *environment
	output outputFlag
}

func (*capacityCommand) Name() string     { return "capacity" }
func (*capacityCommand) Synopsis() string { return "show demand, reservations and ranks by metrics" }
func (*capacityCommand) Usage() string {
	return `lynxctl capacity [-o json] [NAME=]FILE|URL...
  Reads the metrics of entries and agents in the Prometheus text format, from files or
  from URLs such as http://10.1.0.21:9102/metrics, and prints what callers got by
  service and rank, what agents have decided, and the load of their engines. Counts are
  those since the start of each daemon. Daemons with the same NAME, such as that of
  their zone, are summed.
`
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) { c.output.setFlags(c.env, f) }

func (c *capacityCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.env.badUsage("%v", err)
	}
	if f.NArg() == 0 {
		return c.env.badUsage("capacity needs files or URLs with metrics")
	}
	var out capacityOutput
	status := exitOK
	for _, arg := range f.Args() {
		name, source := metricsSource(arg)
		families, err := readMetrics(ctx, source)
		if err != nil { // the metrics of the others are printed all the same
			fmt.Fprintf(c.env.stderr, "lynxctl: %s: %v\n", source, err)
			status = exitFailed
			continue
		}
		out.add(name, families)
	}
	out.finish()
	if err := c.print(&out); err != nil {
		return exitFailed
	}
	return status
}

// capacityOutput is the JSON output of capacity. Totals are the requests to all entries together.
type capacityOutput struct {
	Requests []*requestCounts `json:"requests"`
	Totals   []*requestCounts `json:"totals"`
	Entries  []*daemonCounts  `json:"entries"`
	Agents   []*daemonCounts  `json:"agents"`
}

// requestCounts are the requests to a service with one rank, by what their callers got. Asked includes callers that
// left; the shares are those of the others.
type requestCounts struct {
	Name        string  `json:"name,omitempty"`
	Service     string  `json:"service"`
	Rank        string  `json:"rank"`
	Asked       float64 `json:"asked"`
	InTime      float64 `json:"in_time"`
	Late        float64 `json:"late"`
	Refused     float64 `json:"refused"`
	Failed      float64 `json:"failed"`
	Left        float64 `json:"left"`
	InTimeShare float64 `json:"in_time_share"`
	ServedShare float64 `json:"served_share"`
}

// daemonCounts are what agents decided by result: as received by entries, or as counted by agents with the states of
// their engines as of the last request for a slot. Pace is the highest one.
type daemonCounts struct {
	Name        string             `json:"name"`
	Daemons     int                `json:"daemons"`
	Results     map[string]float64 `json:"results"`
	Unavailable float64            `json:"agents_unavailable,omitempty"`
	Slots       float64            `json:"slots,omitempty"`
	Running     float64            `json:"running,omitempty"`
	Open        float64            `json:"open,omitempty"`
	Pace        float64            `json:"pace,omitempty"`
	MeanWaitMs  float64            `json:"mean_wait_ms,omitempty"`
	waits       float64
}

func daemons(rows *[]*daemonCounts, name string) *daemonCounts {
	d := row(rows, func(d *daemonCounts) bool { return d.Name == name }, daemonCounts{Name: name, Results: map[string]float64{}})
	d.Daemons++
	return d
}

// row returns the row that is sought, and appends it if there is none.
func row[T any](rows *[]*T, is func(*T) bool, first T) *T {
	i := slices.IndexFunc(*rows, is)
	if i < 0 {
		i = len(*rows)
		*rows = append(*rows, &first)
	}
	return (*rows)[i]
}

// add adds the metrics of a daemon. Gauges without labels, which are always present, tell its roles.
func (o *capacityOutput) add(name string, families map[string]*dto.MetricFamily) {
	if unavailable := families["lynxgate_gateway_agents_unavailable"]; unavailable != nil {
		e := daemons(&o.Entries, name)
		e.Unavailable += total(unavailable)
		addByResult(e.Results, families["lynxgate_gateway_reservations_total"])
		o.addRequests(name, families)
	}
	if open := families["lynxgate_reservations_open"]; open != nil {
		a := daemons(&o.Agents, name)
		a.Open += total(open)
		a.Slots += total(families["lynxgate_reservations_slots"])
		a.Running += total(families["lynxgate_reservations_running"])
		a.Pace = max(a.Pace, total(families["lynxgate_reservations_pace"]))
		addByResult(a.Results, families["lynxgate_reservations_decided_total"])
		for _, m := range families["lynxgate_reservations_predicted_wait_seconds"].GetMetric() {
			a.MeanWaitMs += 1000 * m.GetHistogram().GetSampleSum() // until finish the sum
			a.waits += float64(m.GetHistogram().GetSampleCount())
		}
	}
}

// addRequests counts requests by rank, or if their service has no ranks, by the metric of all requests to engines.
func (o *capacityOutput) addRequests(name string, families map[string]*dto.MetricFamily) {
	ranked := map[string]bool{}
	for _, m := range families["lynxgate_gateway_ranked_requests_total"].GetMetric() {
		service := label(m, "service")
		ranked[service] = true
		o.count(name, service, label(m, "rank"), label(m, "got"), value(m))
	}
	for _, m := range families["lynxgate_gateway_sized_requests_total"].GetMetric() {
		if service := label(m, "service"); !ranked[service] {
			o.count(name, service, noRank, label(m, "got"), value(m))
		}
	}
}

func (o *capacityOutput) count(name, service, rank, got string, n float64) {
	same := func(r *requestCounts) bool { return r.Service == service && r.Rank == rank }
	named := row(&o.Requests, func(r *requestCounts) bool { return r.Name == name && same(r) }, requestCounts{Name: name, Service: service, Rank: rank})
	for _, r := range []*requestCounts{named, row(&o.Totals, same, requestCounts{Service: service, Rank: rank})} {
		r.Asked += n
		switch got {
		case "in time":
			r.InTime += n
		case "late":
			r.Late += n
		case "refused":
			r.Refused += n
		case "left":
			r.Left += n
		default:
			r.Failed += n
		}
	}
}

// finish computes what follows from the sums, and sorts the rows.
func (o *capacityOutput) finish() {
	for _, r := range slices.Concat(o.Requests, o.Totals) {
		stayed := max(r.Asked-r.Left, 1)
		r.InTimeShare, r.ServedShare = r.InTime/stayed, (r.InTime+r.Late)/stayed
	}
	for _, a := range o.Agents {
		a.MeanWaitMs /= max(a.waits, 1)
	}
	byRank := func(a, b *requestCounts) int { // ranks are numbers, so that a longer one is higher
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name), cmp.Compare(len(a.Rank), len(b.Rank)), cmp.Compare(a.Rank, b.Rank))
	}
	slices.SortFunc(o.Requests, byRank)
	slices.SortFunc(o.Totals, byRank)
	byName := func(a, b *daemonCounts) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(o.Entries, byName)
	slices.SortFunc(o.Agents, byName)
}

func (c *capacityCommand) print(out *capacityOutput) error {
	if c.output.isJSON() {
		return writeJSON(c.env.stdout, out)
	}
	requests := newTable(c.env.stdout, "REQUESTS TO", "SERVICE", "RANK", "ASKED", "IN TIME", "LATE", "REFUSED", "FAILED", "LEFT", "IN TIME SHARE", "SERVED SHARE")
	for _, r := range slices.Concat(out.Requests, out.Totals) {
		requests.row(cmp.Or(r.Name, "all"), r.Service, r.Rank, count(r.Asked), count(r.InTime), count(r.Late), count(r.Refused), count(r.Failed), count(r.Left),
			strconv.FormatFloat(r.InTimeShare, 'f', 3, 64), strconv.FormatFloat(r.ServedShare, 'f', 3, 64))
	}
	if err := requests.flush(); err != nil {
		return err
	}
	fmt.Fprintln(c.env.stdout)
	entries := newTable(c.env.stdout, append([]string{"ENTRIES", "DAEMONS", "AGENTS UNAVAILABLE"}, headings(askResults)...)...)
	for _, e := range out.Entries {
		entries.row(append([]string{e.Name, strconv.Itoa(e.Daemons), count(e.Unavailable)}, counts(askResults, e.Results)...)...)
	}
	if err := entries.flush(); err != nil {
		return err
	}
	fmt.Fprintln(c.env.stdout)
	agents := newTable(c.env.stdout, append([]string{"AGENTS", "DAEMONS", "SLOTS", "RUNNING", "OPEN", "PACE", "MEAN WAIT"}, headings(agentResults)...)...)
	for _, a := range out.Agents {
		agents.row(append([]string{a.Name, strconv.Itoa(a.Daemons), count(a.Slots), count(a.Running), count(a.Open),
			strconv.FormatFloat(a.Pace, 'f', 2, 64), count(a.MeanWaitMs) + " ms"}, counts(agentResults, a.Results)...)...)
	}
	return agents.flush()
}
