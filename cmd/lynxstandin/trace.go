package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/trace"
)

// traceCommand writes a generated trace to standard output.
type traceCommand struct {
	deployment string
	expect     string
	settings   trace.Settings
	burst      trace.Burst
}

func (*traceCommand) Name() string     { return "trace" }
func (*traceCommand) Synopsis() string { return "write a generated trace to standard output" }
func (*traceCommand) Usage() string    { return "trace -deployment NAME [flags]: write a trace\n" }

func (c *traceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "", "folleto-andino or portvaktsbolaget")
	f.Uint64Var(&c.settings.Seed, "seed", 1, "seed; the same flags give the same trace")
	f.Float64Var(&c.settings.Rate, "rate", 10, "mean requests a second")
	f.DurationVar(&c.settings.Duration, "duration", 10*time.Second, "length of the trace")
	f.StringVar(&c.expect, "expect", string(trace.AnsweredWhole), "expected outcome of requests that are not at-most-once")
	f.StringVar(&c.burst.Organisation, "burst-organisation", "", "organisation that sends more for a while; empty: none")
	f.DurationVar(&c.burst.From, "burst-from", 0, "start of the burst")
	f.DurationVar(&c.burst.To, "burst-to", 0, "end of the burst")
	f.Float64Var(&c.burst.Factor, "burst-factor", 10, "how many times its share the organisation sends")
}

func (c *traceCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	c.settings.Expect = trace.Expectation(c.expect)
	if c.burst.Organisation != "" {
		c.settings.Burst = &c.burst
	}
	for _, deployment := range trace.Deployments() {
		if deployment.Name != c.deployment {
			continue
		}
		c.settings.Deployment = deployment
		if err := trace.Write(os.Stdout, trace.Generate(c.settings)); err != nil {
			return failure(err)
		}
		return subcommands.ExitSuccess
	}
	return usage(fmt.Errorf("no deployment %q", c.deployment))
}
