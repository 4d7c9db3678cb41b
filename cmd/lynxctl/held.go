package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/fleetcontrol"
)

// heldCommand lists work under which backend servers ended, or lets a piece of it go.
type heldCommand struct{ fleetControl }

func (*heldCommand) Name() string     { return "held" }
func (*heldCommand) Synopsis() string { return "list or let go work under which backend servers ended" }
func (*heldCommand) Usage() string {
	return `lynxctl held -control IP:PORT [CONTENT]
  Lists the work under which backend servers ended, with those servers. With a
  content, as the list and the entries' logs show it, lets that work run again.
`
}

func (c *heldCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
}

func (c *heldCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.addr == "" || f.NArg() > 1 {
		return c.env.badUsage("held takes -control and at most one content")
	}
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	if f.NArg() == 1 {
		return c.letGo(ctx, f.Arg(0))
	}
	return c.list(ctx)
}

func (c *heldCommand) list(ctx context.Context) subcommands.ExitStatus {
	var works []fleetcontrol.QuarantineStatus
	if status := c.get(ctx, fleetcontrol.QuarantinePath, &works); status != exitOK {
		return status
	}
	for _, w := range works {
		held := ""
		if w.QuarantinedMs > 0 {
			held = " for " + (time.Duration(w.QuarantinedMs) * time.Millisecond).Round(time.Second).String()
		}
		part := ""
		if w.Part != "" {
			part = " part " + strconv.Quote(w.Part)
		}
		fmt.Fprintf(c.env.stdout, "%s%s %s%s, ended under it: %s\n", w.Content, part, w.Verdict, held, strings.Join(w.Servers, " "))
	}
	return exitOK
}

func (c *heldCommand) letGo(ctx context.Context, content string) subcommands.ExitStatus {
	status, body, err := c.call(ctx, http.MethodDelete, fleetcontrol.QuarantinePath+"/"+url.PathEscape(content))
	switch {
	case err == nil && status == http.StatusNoContent:
		fmt.Fprintln(c.env.stdout, content, "is let go")
		return exitOK
	case err == nil && status == http.StatusBadRequest:
		return c.env.badUsage("%s", body)
	}
	return c.failed(status, body, err)
}
