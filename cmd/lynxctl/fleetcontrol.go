package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/subcommands"
)

// fleetCallTimeout bounds one call: a change is decided within a second.
const fleetCallTimeout = 5 * time.Second

// fleetControl calls a control server of a fleet whose backend servers announce themselves.
type fleetControl struct {
	env  *environment
	addr string
}

func (c *fleetControl) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "control", "", "operators' address of a control server, `ip:port`")
}

// maxAnswerBytes bounds an answer of a control server; that with all backend servers of the target size takes some 1 MB.
const maxAnswerBytes = 64 << 20

// call returns the status and the body of an answer of the control server.
func (c *fleetControl) call(ctx context.Context, method, path string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("the answer of %s exceeds %d bytes", c.addr, maxAnswerBytes)
	}
	return resp.StatusCode, body, err
}

// get decodes the answer to a GET into v; the status is not exitOK if that has failed.
func (c *fleetControl) get(ctx context.Context, path string, v any) subcommands.ExitStatus {
	status, body, err := c.call(ctx, http.MethodGet, path)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, v)
	}
	if err != nil || status != http.StatusOK {
		return c.failed(status, body, err)
	}
	return exitOK
}

// failed prints why a call failed.
func (c *fleetControl) failed(status int, body []byte, err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(c.env.stderr, "lynxctl:", err)
		return exitUnreachable
	}
	fmt.Fprintf(c.env.stderr, "lynxctl: %s answers %d: %s\n", c.addr, status, body)
	return exitFailed
}
