package main

import (
	"context"
	"errors"
	"flag"
	"strings"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/standin/origin"
	"lynxgate.dev/lynxgate/internal/standin/store"
)

// filesFlags say which weights an origin or a store serves.
type filesFlags struct {
	cfg       origin.Config
	generated origin.Generated
	versions  string
}

func (o *filesFlags) set(f *flag.FlagSet) {
	f.StringVar(&o.cfg.Dir, "dir", "", "folder with {model}/{version}/weights files")
	f.StringVar(&o.generated.Model, "model", "", "model to generate weights for")
	f.StringVar(&o.versions, "versions", "v1", "versions to generate, separated by commas")
	f.Int64Var(&o.generated.Size, "size", 64<<20, "size of each generated version in bytes")
	f.Uint64Var(&o.generated.Seed, "seed", 1, "seed of generated weights and of faults")
	f.Float64Var(&o.generated.SharedFraction, "shared-fraction", 0, "fraction of chunks that all generated versions share")
	f.Int64Var(&o.cfg.ChunkSize, "chunk-size", origin.DefaultChunkSize, "chunk size of manifests in bytes")
	f.Float64Var(&o.cfg.LinkBytesPerSecond, "link-bytes-per-second", 0, "rate of the link, shared by all transfers; 0: no limit")
}

// open makes the origin and prints one line of JSON for each version.
func (o *filesFlags) open() (*origin.Origin, error) {
	if o.cfg.Dir == "" && o.generated.Model == "" {
		return nil, errors.New("one of -dir and -model is needed")
	}
	if o.generated.Model != "" {
		o.generated.Versions = strings.Split(o.versions, ",")
		o.cfg.Generated = []origin.Generated{o.generated}
	}
	o.cfg.Seed = o.generated.Seed
	files, err := origin.New(o.cfg)
	if err != nil {
		return nil, err
	}
	for _, version := range files.Versions() {
		printLine(version)
	}
	return files, nil
}

// originFaults names the fault settings of origins and stores.
const originFaults = "corrupt, stall, die (shares of responses), refuse, slow"

// originCommand runs a fake origin.
type originCommand struct {
	listenFlags
	files filesFlags
}

func (*originCommand) Name() string     { return "origin" }
func (*originCommand) Synopsis() string { return "run a fake origin of weights" }
func (*originCommand) Usage() string    { return "origin [flags]: run a fake origin of weights\n" }

func (c *originCommand) SetFlags(f *flag.FlagSet) {
	c.listenFlags.set(f, originFaults)
	c.files.set(f)
}

func (c *originCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.decodeFaults(&c.files.cfg.Faults); err != nil {
		return usage(err)
	}
	files, err := c.files.open()
	if err != nil {
		return usage(err)
	}
	return serve(ctx, "origin", c.listen, files)
}

// storeCommand runs a fake weight store.
type storeCommand struct {
	listenFlags
	files filesFlags
	cfg   store.Config
}

func (*storeCommand) Name() string     { return "store" }
func (*storeCommand) Synopsis() string { return "run a fake rate-limited weight store" }
func (*storeCommand) Usage() string    { return "store [flags]: run a fake rate-limited weight store\n" }

func (c *storeCommand) SetFlags(f *flag.FlagSet) {
	c.listenFlags.set(f, originFaults)
	c.files.set(f)
	f.Float64Var(&c.cfg.RequestsPerSecond, "requests-per-second", 20, "requests within the limit; 0: no limit")
	f.IntVar(&c.cfg.Burst, "burst", 10, "requests that may come at once")
	f.Uint64Var(&c.cfg.UnavailableEvery, "unavailable-every", 0, "answer every n-th request within the limit with 503; 0: none")
}

func (c *storeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.decodeFaults(&c.files.cfg.Faults); err != nil {
		return usage(err)
	}
	files, err := c.files.open()
	if err != nil {
		return usage(err)
	}
	return serve(ctx, "store", c.listen, store.New(c.cfg, files))
}
