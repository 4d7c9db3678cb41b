// Command lynxstandin runs one fake of an outside system as a process: a
// model engine, a plain service, an origin of weights or a weight store; the
// subcommand trace writes a generated trace instead. It is for the demo, the
// tests and the benches.
//
// Once a fake listens it prints one line of JSON to standard output:
// {"listening":"127.0.0.1:4000"}. SIGTERM ends it when the requests in
// progress have ended. Exit codes: 0 stopped as asked, 1 failure, 2 wrong usage.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&engineCommand{}, "")
	subcommands.Register(&serviceCommand{}, "")
	subcommands.Register(&originCommand{}, "")
	subcommands.Register(&storeCommand{}, "")
	subcommands.Register(&traceCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
