package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/adminclient"
)

// drainCommand sets or clears the drained mark of a VM.
type drainCommand struct {
	env         *environment
	connection  connection
	drained     bool
	operationID string
}

func (c *drainCommand) Name() string {
	if c.drained {
		return "drain"
	}
	return "undrain"
}

func (c *drainCommand) Synopsis() string {
	if c.drained {
		return "take a VM out of service gracefully"
	}
	return "let a drained VM take work again"
}

func (c *drainCommand) Usage() string {
	return "lynxctl " + c.Name() + " [flags] VM\n  " + c.Synopsis() + "\n"
}

func (c *drainCommand) SetFlags(f *flag.FlagSet) {
	c.connection.setFlags(c.env, f)
	f.StringVar(&c.operationID, "operation-id", "", "resend an operation whose result is unknown")
}

func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.env.badUsage("%s needs the name of one VM", c.Name())
	}
	return c.connection.withSession(ctx, c.env, func(ctx context.Context, s session) error {
		return c.drain(ctx, s, f.Arg(0))
	})
}

func (c *drainCommand) drain(ctx context.Context, s session, vm string) error {
	operationID := c.operationID
	if operationID == "" {
		operationID = adminclient.NewOperationID()
	}
	reply, err := s.client.SetDrained(ctx, operationID, vm, c.drained)
	if err != nil {
		return err
	}
	if s.json {
		return writeJSON(s.env.stdout, reply)
	}
	fmt.Fprintf(s.env.stdout, "%s: revision %d, operation %s\n",
		verdictText(string(reply.Verdict), reply.Repeated), reply.Revision, operationID)
	return nil
}
