package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lynxgate.dev/lynxgate/internal/weights/swarm"
)

// timeRatio is the time to the last replica over the bound. It is infinite
// when replicas are missing.
func (r *result) timeRatio() float64 {
	if len(r.staged) < r.expected {
		return math.Inf(1)
	}
	return r.staged[len(r.staged)-1].Seconds() / r.bound().Seconds()
}

// liveP95 returns the probes' 95th percentile without and with the burst, ms.
func (r *result) liveP95() (quiet, burst float64) {
	var q, b []float64
	for _, f := range r.finals {
		q = append(q, f.QuietMS...)
		b = append(b, f.BurstMS...)
	}
	return percentile(q, 0.95), percentile(b, 0.95)
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	return values[int(p*float64(len(values)-1))]
}

func (r *result) mean(of func(*finalReport) float64) float64 {
	sum := 0.0
	for _, f := range r.finals {
		sum += of(f)
	}
	return sum / float64(max(1, len(r.finals)))
}

func (r *result) prefix() string {
	return fmt.Sprintf("weights.%s.%s.n%d", r.strategy, r.name(), r.n)
}

// detail prints what lies behind the figures of one run.
func (r *result) detail(w *os.File) {
	quiet, burst := r.liveP95()
	sum := func(metric string) float64 {
		return r.mean(func(f *finalReport) float64 { return f.Metrics["lynxgate_weights_"+metric] }) * float64(len(r.finals))
	}
	half := 0.0
	if len(r.staged) > 0 {
		half = r.staged[len(r.staged)/2].Seconds() / r.bound().Seconds()
	}
	fmt.Fprintf(w, "# %-34s ratio %.3f (half %.3f) copies %.3f staged %d/%d live p95 %.1f -> %.1f ms, "+
		"cpu/agent %.2f s, control/agent %.0f B, rss %.0f MB, busy %.0f stalled %.0f corrupt %.0f aside %.0f, sent %.2f x N, share %.2f least %.2f, machine %.1f cores busy\n",
		r.prefix(), r.timeRatio(), half, r.originCopies, len(r.staged), r.expected, quiet, burst,
		r.mean(func(f *finalReport) float64 { return f.CPUSeconds }),
		r.mean(func(f *finalReport) float64 { return f.ControlBytes }),
		r.mean(func(f *finalReport) float64 { return float64(f.MaxRSSBytes) })/(1<<20),
		sum("busy_answers_total"), sum("stalled_requests_total"), sum("corrupt_chunks_total"), sum("peers_set_aside_total"),
		sum("sent_bytes_total")/float64(r.size)/float64(r.n), sum("transfer_share_ratio")/float64(max(1, len(r.finals))), r.leastShare(), r.machineCores)
	for _, f := range r.finals {
		if f.Err != "" || !f.Staged {
			fmt.Fprintf(w, "#   agent: held %d, origin %d, peers %d, %s\n", f.Held, f.OriginBytes, f.PeerBytes, f.Err)
		}
	}
}

// leastShare is the smallest part of its link that an agent left to transfers
// when the burst ended.
func (r *result) leastShare() float64 {
	least := 1.0
	for _, f := range r.finals {
		least = min(least, f.Metrics["lynxgate_weights_transfer_share_ratio"])
	}
	return least
}

// overTime prints least, mean and most chunks held by an agent, in parts of
// the whole, and the copies drawn from the origin so far.
func (r *result) overTime(w *os.File) {
	chunks := float64((r.size + r.chunk - 1) / r.chunk)
	for i := range r.originOverTime {
		least, most, sum, count := math.Inf(1), 0.0, 0.0, 0.0
		for _, f := range r.finals {
			if i < len(f.HeldOverTime) {
				held := float64(f.HeldOverTime[i]) / chunks
				least, most, sum, count = min(least, held), max(most, held), sum+held, count+1
			}
		}
		at := float64(i+1) * sampleEvery.Seconds() / r.bound().Seconds()
		fmt.Fprintf(w, "#   %.2f T: held %.3f %.3f %.3f, origin %.3f\n", at, least, sum/count, most, r.originOverTime[i])
	}
}

// lines prints the measured figures in a fixed form.
func (r *result) lines(w *os.File) {
	quiet, burst := r.liveP95()
	fmt.Fprintf(w, "%s.time_ratio=%.3f\n", r.prefix(), r.timeRatio())
	fmt.Fprintf(w, "%s.origin_copies=%.3f\n", r.prefix(), r.originCopies)
	fmt.Fprintf(w, "%s.live_p95_ratio=%.3f\n", r.prefix(), burst/quiet)
}

// slopes prints how an agent's costs grow with n on quiet swarm runs, by least
// squares.
func slopes(w *os.File, results []*result) {
	var n, control, cpu []float64
	for _, r := range results {
		if r.strategy == swarm.StrategySwarm && !r.faults {
			n = append(n, float64(r.n))
			control = append(control, r.mean(func(f *finalReport) float64 { return f.ControlBytes }))
			cpu = append(cpu, r.mean(func(f *finalReport) float64 { return f.CPUSeconds }))
		}
	}
	if len(n) < 2 {
		return
	}
	a, b := fit(n, control)
	fmt.Fprintf(w, "weights.swarm.slope.control_bytes_per_agent=%.0f+%.1f*N\n", a, b)
	a, b = fit(n, cpu)
	fmt.Fprintf(w, "weights.swarm.slope.cpu_seconds_per_agent=%.4f+%.6f*N\n", a, b)
}

func fit(x, y []float64) (intercept, slope float64) {
	var mx, my, sxx, sxy float64
	for i := range x {
		mx += x[i] / float64(len(x))
		my += y[i] / float64(len(x))
	}
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
	}
	if sxx == 0 {
		return my, 0
	}
	slope = sxy / sxx
	return my - slope*mx, slope
}

// draw plots replicas over time for the largest quiet runs.
func draw(path string, results []*result, n int) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("replicas staged, N = %d, quiet", n)
	p.X.Label.Text = "time / bound"
	p.Y.Label.Text = "replicas"
	p.X.Min, p.Y.Min = 0, 0
	var curves []any
	for _, r := range results {
		if r.faults || r.n != n {
			continue
		}
		points := plotter.XYs{{X: 0, Y: 0}}
		for i, at := range r.staged {
			x := at.Seconds() / r.bound().Seconds()
			points = append(points, plotter.XY{X: x, Y: float64(i)}, plotter.XY{X: x, Y: float64(i + 1)})
		}
		curves = append(curves, string(r.strategy)+" "+r.name(), points)
	}
	if err := plotutil.AddLines(p, curves...); err != nil {
		return err
	}
	p.Legend.Top, p.Legend.Left = false, false
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return p.Save(8*vg.Inch, 5*vg.Inch, path)
}
