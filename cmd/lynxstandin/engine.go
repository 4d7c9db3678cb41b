package main

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/standin/engine"
	"lynxgate.dev/lynxgate/internal/standin/plain"
)

// engineCommand runs a fake model engine.
type engineCommand struct {
	listenFlags
	cfg engine.Config
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a fake model engine" }
func (*engineCommand) Usage() string    { return "engine [flags]: run a fake model engine\n" }

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	c.set(f, "stall, die_after_tokens, slow, refuse, hang_load, load_error")
	f.IntVar(&c.cfg.Concurrency, "concurrency", engine.DefaultConcurrency, "requests that advance together")
	f.IntVar(&c.cfg.MaxQueued, "max-queued", 0, "requests that may wait for a slot; 0: no limit")
	f.DurationVar(&c.cfg.TokenTime, "token-time", 20*time.Millisecond, "time per step; each step is one token of every running request")
	f.IntVar(&c.cfg.PrefillWords, "prefill-words", engine.DefaultPrefillWords, "words of a prompt that one step reads")
	f.IntVar(&c.cfg.CacheBlocks, "cache-blocks", engine.DefaultCacheBlocks, "prefix cache in blocks of 16 words")
	f.DurationVar(&c.cfg.LoadTime, "load-time", 0, "time of a load order")
	f.DurationVar(&c.cfg.LoadLag, "load-lag", 0, "age of the load reported")
	f.DurationVar(&c.cfg.EventDelay, "event-delay", 0, "age at which cache events are published")
	f.Uint64Var(&c.cfg.EventLoseEvery, "event-lose-every", 0, "lose every n-th cache event; 0: none")
	f.BoolVar(&c.cfg.CheckFencing, "check-fencing", false, "refuse orders with an old fencing number")
	f.StringVar(&c.cfg.Role, "role", "mixed", "role at start: mixed, prefill or decode")
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.decodeFaults(&c.cfg.Faults); err != nil {
		return usage(err)
	}
	e := engine.New(c.cfg)
	defer e.Close()
	return serve(ctx, "engine", c.listen, e)
}

// serviceCommand runs a fake plain service.
type serviceCommand struct {
	listenFlags
	cfg plain.Config
}

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "run a fake plain service" }
func (*serviceCommand) Usage() string    { return "service [flags]: run a fake plain service\n" }

func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	c.set(f, "die_after_run, stall, refuse, slow")
	f.StringVar(&c.cfg.Name, "name", "plain", "name given in answers")
	f.DurationVar(&c.cfg.Latency, "latency", 5*time.Millisecond, "time of a run")
}

func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.decodeFaults(&c.cfg.Faults); err != nil {
		return usage(err)
	}
	return serve(ctx, "service", c.listen, plain.New(c.cfg))
}
