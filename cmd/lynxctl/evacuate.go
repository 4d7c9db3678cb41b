package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/fleetcontrol"
)

// evacuateCommand lists the orders about availability zones, evacuates a zone, or withdraws that.
type evacuateCommand struct {
	fleetControl
	withdraw bool
}

func (*evacuateCommand) Name() string     { return "evacuate" }
func (*evacuateCommand) Synopsis() string { return "send no more requests to the servers of a zone" }
func (*evacuateCommand) Usage() string {
	return `lynxctl evacuate -control IP:PORT [-withdraw] [ZONE]
  Orders that the backend servers of an availability zone get no more requests;
  those in progress finish. With -withdraw the zone is used again. Without a
  zone, lists the last order about each zone.
`
}

func (c *evacuateCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.BoolVar(&c.withdraw, "withdraw", false, "use the zone again")
}

func (c *evacuateCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.addr == "" || f.NArg() > 1 || c.withdraw && f.NArg() == 0 {
		return c.env.badUsage("evacuate takes -control, at most one zone, and -withdraw only with one")
	}
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	if f.NArg() == 1 {
		return c.order(ctx, f.Arg(0))
	}
	return c.list(ctx)
}

func (c *evacuateCommand) order(ctx context.Context, zone string) subcommands.ExitStatus {
	method, done := http.MethodPost, "is evacuated"
	if c.withdraw {
		method, done = http.MethodDelete, "is used again"
	}
	status, body, err := c.call(ctx, method, fleetcontrol.EvacuationsPath+"/"+url.PathEscape(zone))
	switch {
	case err == nil && status == http.StatusNoContent:
		fmt.Fprintln(c.env.stdout, zone, done)
		return exitOK
	case err == nil && status == http.StatusBadRequest:
		return c.env.badUsage("%s", body)
	}
	return c.failed(status, body, err)
}

func (c *evacuateCommand) list(ctx context.Context) subcommands.ExitStatus {
	var zones []fleetcontrol.EvacuationStatus
	if status := c.get(ctx, fleetcontrol.EvacuationsPath, &zones); status != exitOK {
		return status
	}
	for _, z := range zones {
		state := "in use"
		if z.Evacuated {
			state = "evacuated"
		}
		fmt.Fprintf(c.env.stdout, "%s %s, order %d\n", z.Zone, state, z.Order)
	}
	return exitOK
}
