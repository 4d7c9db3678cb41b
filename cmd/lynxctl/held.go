package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/fleetcontrol"
)

// heldTimeout bounds one call: a change is decided within a second.
const heldTimeout = 5 * time.Second

// heldCommand lists work under which backend servers ended, or lets a piece of it go.
type heldCommand struct {
	env  *environment
	addr string
}

func (*heldCommand) Name() string     { return "held" }
func (*heldCommand) Synopsis() string { return "list or let go work under which backend servers ended" }
func (*heldCommand) Usage() string {
	return `lynxctl held -control IP:PORT [CONTENT]
  Lists the work under which backend servers ended, with those servers. With a
  content, as the list and the entries' logs show it, lets that work run again.
`
}

func (c *heldCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "control", "", "operators' address of a control server, `ip:port`")
}

func (c *heldCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.addr == "" || f.NArg() > 1 {
		return c.env.badUsage("held takes -control and at most one content")
	}
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	if f.NArg() == 1 {
		return c.letGo(ctx, f.Arg(0))
	}
	return c.list(ctx)
}

// call returns the status and the body of an answer of the control server.
func (c *heldCommand) call(ctx context.Context, method, path string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+fleetcontrol.QuarantinePath+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

func (c *heldCommand) list(ctx context.Context) subcommands.ExitStatus {
	status, body, err := c.call(ctx, http.MethodGet, "")
	if err != nil || status != http.StatusOK {
		return c.failed(status, body, err)
	}
	var works []fleetcontrol.QuarantineStatus
	if err := json.Unmarshal(body, &works); err != nil {
		return c.failed(status, body, err)
	}
	for _, w := range works {
		held := ""
		if w.QuarantinedMs > 0 {
			held = " for " + (time.Duration(w.QuarantinedMs) * time.Millisecond).Round(time.Second).String()
		}
		fmt.Fprintf(c.env.stdout, "%s %s%s, ended under it: %s\n", w.Content, w.Verdict, held, strings.Join(w.Servers, " "))
	}
	return exitOK
}

func (c *heldCommand) letGo(ctx context.Context, content string) subcommands.ExitStatus {
	status, body, err := c.call(ctx, http.MethodDelete, "/"+url.PathEscape(content))
	switch {
	case err == nil && status == http.StatusNoContent:
		fmt.Fprintln(c.env.stdout, content, "is let go")
		return exitOK
	case err == nil && status == http.StatusBadRequest:
		return c.env.badUsage("%s", body)
	}
	return c.failed(status, body, err)
}

func (c *heldCommand) failed(status int, body []byte, err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(c.env.stderr, "lynxctl:", err)
		return exitUnreachable
	}
	fmt.Fprintf(c.env.stderr, "lynxctl: %s answers %d: %s\n", c.addr, status, body)
	return exitFailed
}
