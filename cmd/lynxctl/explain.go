package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/explain"
)

// explainCommand puts together what the logs tell of one request.
type explainCommand struct{ env *environment }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "find in logs what happened to a request" }
func (*explainCommand) Usage() string {
	return `lynxctl explain REQUEST-ID FILE...
  Reads the logs of daemons and prints all lines that name the request, and those
  about its backend servers, in order, with the line that decided how it ended,
  its rank, and what the agents have decided that were asked for a slot.
`
}
func (*explainCommand) SetFlags(*flag.FlagSet) {}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return c.env.badUsage("explain takes a request id and the log files")
	}
	var logs []io.Reader
	for _, path := range f.Args()[1:] {
		file, err := os.Open(path)
		if err != nil {
			return c.env.badUsage("%v", err)
		}
		defer file.Close()
		logs = append(logs, file)
	}
	report, err := explain.Read(f.Arg(0), logs...)
	if err != nil {
		fmt.Fprintln(c.env.stderr, "lynxctl:", err)
		return exitFailed
	}
	for i, l := range report.Lines {
		mark := " "
		if i == report.Deciding {
			mark = ">"
		}
		fmt.Fprintln(c.env.stdout, mark, l.Text)
	}
	fmt.Fprintln(c.env.stdout, "cause:", report.Cause)
	for _, statement := range report.Reservation {
		fmt.Fprintln(c.env.stdout, statement)
	}
	return exitOK
}
