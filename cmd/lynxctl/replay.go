package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/replay"
	"lynxgate.dev/lynxgate/internal/trace"
)

// replayCommand sends a recorded trace and checks the stated outcomes.
type replayCommand struct {
	env     *environment
	output  outputFlag
	entries string
	plain   string
	keys    string
	speed   float64
	digests fileList
	// plainURLs are parsed from plain.
	plainURLs []string
}

func (*replayCommand) Name() string     { return "replay" }
func (*replayCommand) Synopsis() string { return "replay a recorded trace against stated outcomes" }
func (*replayCommand) Usage() string {
	return `lynxctl replay -entries URL,... [flags] TRACE
  Sends the requests of a trace (JSON lines) to the entries at their recorded
  times and checks each answer against the outcome that the trace states. The
  backend servers must be the fakes of lynxstandin: only there is the right
  answer known. Exits 0 only when every request ended as stated.
`
}

func (c *replayCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(c.env, f)
	f.StringVar(&c.entries, "entries", "", "base URLs of entries, such as http://10.1.0.21:8080, separated by commas")
	f.StringVar(&c.plain, "plain", "", "base URLs of fake plain services, asked how often each idempotency key ran")
	f.StringVar(&c.keys, "keys", "", "TOML or JSON file of API keys by organisation")
	f.Float64Var(&c.speed, "speed", 1, "how many times faster than recorded")
	f.Var(&c.digests, "digest", "SERVICE=HEX of weights that may answer; may be given several times")
}

// replayOutput is the JSON output of replay.
type replayOutput struct {
	OK       bool `json:"ok"`
	Requests int  `json:"requests"`
	*replay.Report
	// Runs is absent when no plain service was asked.
	Runs *replay.RunCheck `json:"runs,omitempty"`
}

func (c *replayCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.env.badUsage("replay needs one trace file")
	}
	cfg, err := c.config()
	if err != nil {
		return c.env.badUsage("%v", err)
	}
	requests, err := readTrace(f.Arg(0))
	if err != nil {
		return c.env.badUsage("%v", err)
	}
	out, err := c.replay(ctx, cfg, requests)
	if err != nil {
		fmt.Fprintf(c.env.stderr, "lynxctl: %v\n", err)
		return exitFailed
	}
	if err := c.print(out); err != nil || !out.OK {
		return exitFailed
	}
	return exitOK
}

func (c *replayCommand) config() (replay.Config, error) {
	if err := c.output.check(); err != nil {
		return replay.Config{}, err
	}
	if c.speed <= 0 {
		return replay.Config{}, errors.New("-speed must be above 0")
	}
	cfg := replay.Config{Speed: c.speed}
	var err error
	if cfg.Targets, err = baseURLs("-entries", c.entries); err != nil {
		return cfg, err
	}
	if len(cfg.Targets) == 0 {
		return cfg, errors.New("replay needs -entries")
	}
	if c.plainURLs, err = baseURLs("-plain", c.plain); err != nil {
		return cfg, err
	}
	if cfg.Digests, err = c.digestsByService(); err != nil {
		return cfg, err
	}
	if c.keys != "" {
		cfg.Keys, err = replay.LoadKeys(c.keys)
	}
	return cfg, err
}

func (c *replayCommand) digestsByService() (map[string][]string, error) {
	digests := map[string][]string{}
	for _, pair := range c.digests {
		service, digest, found := strings.Cut(pair, "=")
		if !found || service == "" || digest == "" {
			return nil, fmt.Errorf("-digest %q is not SERVICE=HEX", pair)
		}
		digests[service] = append(digests[service], digest)
	}
	return digests, nil
}

// baseURLs splits a list of URLs with IP numbers.
func baseURLs(flagName, list string) ([]string, error) {
	if list == "" {
		return nil, nil
	}
	urls := strings.Split(list, ",")
	for i, text := range urls {
		parsed, err := url.Parse(text)
		if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return nil, fmt.Errorf("%s: %q is not a URL such as http://10.1.0.21:8080", flagName, text)
		}
		if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
			return nil, fmt.Errorf("%s: %q must name IP:port", flagName, text)
		}
		urls[i] = strings.TrimSuffix(text, "/")
	}
	return urls, nil
}

func readTrace(path string) ([]trace.Request, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	defer file.Close()
	requests, err := trace.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return requests, nil
}

func (c *replayCommand) replay(ctx context.Context, cfg replay.Config, requests []trace.Request) (replayOutput, error) {
	report, err := replay.Run(ctx, cfg, requests)
	if err != nil {
		return replayOutput{}, fmt.Errorf("replay: %w", err)
	}
	out := replayOutput{Requests: len(requests), Report: report}
	if len(c.plainURLs) > 0 {
		runs, err := replay.FetchRuns(ctx, http.DefaultClient, c.plainURLs)
		if err != nil {
			return out, fmt.Errorf("ask plain services: %w", err)
		}
		check := report.CheckRuns(runs)
		out.Runs = &check
	}
	out.OK = len(report.Differences) == 0 && report.Counts.Unsent == 0
	return out, nil
}

// printDifferences lists the requests that ended otherwise than stated.
func (c *replayCommand) printDifferences(differences []replay.Difference) error {
	if len(differences) == 0 {
		return nil
	}
	t := newTable(c.env.stdout, "REQUEST", "EXPECTED", "OUTCOME", "WHY")
	for _, d := range differences {
		why := strings.TrimSpace(string(d.Problem) + " " + d.Detail)
		t.row(d.ID, string(d.Expected), string(d.Outcome), why)
	}
	return t.flush()
}

func (c *replayCommand) print(out replayOutput) error {
	if c.output.isJSON() {
		return writeJSON(c.env.stdout, out)
	}
	if err := c.printDifferences(out.Differences); err != nil {
		return err
	}
	fmt.Fprintln(c.env.stdout, strings.TrimSpace(out.Summary()))
	if out.Runs != nil {
		fmt.Fprintf(c.env.stdout, "runs: doubled %d, lost %d, wrongly not run %d\n",
			out.Runs.Doubled, out.Runs.Lost, out.Runs.WronglyNotRun)
	}
	return nil
}
