// Command lynxctl is the operators' tool: it applies inventory and rules,
// shows what is in force, drains VMs and checks files offline.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Exit codes, as documented in docs/operating/lynxctl.md.
const (
	exitOK          subcommands.ExitStatus = 0
	exitFailed      subcommands.ExitStatus = 1
	exitBadInput    subcommands.ExitStatus = 2
	exitConflict    subcommands.ExitStatus = 3
	exitUnreachable subcommands.ExitStatus = 4
	exitUnknown     subcommands.ExitStatus = 5
)

// Groups of commands in the help text.
const (
	groupChange = "change"
	groupShow   = "show"
	groupFiles  = "offline"
)

// environment is what the commands take from the process.
type environment struct {
	stdout io.Writer
	stderr io.Writer
	getenv func(string) string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := &environment{stdout: os.Stdout, stderr: os.Stderr, getenv: os.Getenv}
	status := run(ctx, env, os.Args[1:])
	stop()
	os.Exit(int(status))
}

// run executes one command line.
func run(ctx context.Context, env *environment, args []string) subcommands.ExitStatus {
	flags := flag.NewFlagSet("lynxctl", flag.ContinueOnError)
	flags.SetOutput(env.stderr)
	commander := subcommands.NewCommander(flags, "lynxctl")
	commander.Output = env.stdout
	commander.Error = env.stderr
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&applyCommand{env: env}, groupChange)
	commander.Register(&drainCommand{env: env, drained: true}, groupChange)
	commander.Register(&drainCommand{env: env, drained: false}, groupChange)
	commander.Register(&serversCommand{env: env}, groupChange)
	commander.Register(&heldCommand{fleetControl{env: env}}, groupChange)
	commander.Register(&evacuateCommand{fleetControl: fleetControl{env: env}}, groupChange)
	commander.Register(&getCommand{env: env}, groupShow)
	commander.Register(&statusCommand{env: env}, groupShow)
	commander.Register(&auditCommand{env: env}, groupShow)
	commander.Register(&capacityCommand{env: env}, groupShow)
	commander.Register(&checkCommand{env: env}, groupFiles)
	commander.Register(&explainCommand{env: env}, groupFiles)
	commander.Register(&manifestCommand{env: env}, groupFiles)
	commander.Register(&replayCommand{env: env}, groupShow)
	if err := flags.Parse(args); err != nil {
		return exitBadInput
	}
	return commander.Execute(ctx)
}

// badUsage reports a command line that can't be understood.
func (env *environment) badUsage(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(env.stderr, "lynxctl: "+format+"\n", args...)
	return exitBadInput
}
