package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/adminclient"
)

// Environment variables.
const (
	envControl = "LYNXGATE_CONTROL"
	envKey     = "LYNXGATE_OPERATOR_KEY"
)

// connection holds the flags of commands that talk to control servers.
type connection struct {
	control string
	keyFile string
	caFile  string
	timeout time.Duration
	output  outputFlag
}

func (c *connection) setFlags(env *environment, f *flag.FlagSet) {
	f.StringVar(&c.control, "control", "", "addresses of operators' APIs, ip:port or https://ip:port, separated by commas; default $"+envControl)
	f.StringVar(&c.keyFile, "key-file", "", "file that holds the operator's key; default $"+envKey+", the key itself")
	f.StringVar(&c.caFile, "ca-file", "", "PEM file of a certificate authority to trust")
	f.DurationVar(&c.timeout, "timeout", adminclient.DefaultPatience, "how long to go on until a control server answers")
	c.output.setFlags(env, f)
}

// open returns a client, or an error about the flags.
func (c *connection) open(env *environment) (*adminclient.Client, error) {
	if err := c.output.check(); err != nil {
		return nil, err
	}
	control := c.control
	if control == "" {
		control = env.getenv(envControl)
	}
	if control == "" {
		return nil, errors.New("no control server: give -control or set " + envControl)
	}
	key, err := c.key(env)
	if err != nil {
		return nil, err
	}
	return adminclient.New(adminclient.Config{
		Addrs:    strings.Split(control, ","),
		Key:      key,
		CAFile:   c.caFile,
		Patience: c.timeout,
	})
}

func (c *connection) key(env *environment) (string, error) {
	if c.keyFile == "" {
		if key := env.getenv(envKey); key != "" {
			return key, nil
		}
		return "", errors.New("no operator's key: give -key-file or set " + envKey)
	}
	data, err := os.ReadFile(c.keyFile)
	if err != nil {
		return "", fmt.Errorf("read key: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// session is one opened command.
type session struct {
	env    *environment
	client *adminclient.Client
	json   bool
}

// withSession opens the connection, runs the work and maps its error to an
// exit code.
func (c *connection) withSession(ctx context.Context, env *environment, work func(context.Context, session) error) subcommands.ExitStatus {
	client, err := c.open(env)
	if err != nil {
		return env.badUsage("%v", err)
	}
	err = work(ctx, session{env: env, client: client, json: c.output.isJSON()})
	if err == nil {
		return exitOK
	}
	if c.output.isJSON() {
		_ = writeJSON(env.stdout, failureOutput(err))
	}
	fmt.Fprintf(env.stderr, "lynxctl: %v\n", err)
	return exitStatus(err)
}

// inputError is a fault in what the operator gave.
type inputError struct{ err error }

func (e *inputError) Error() string { return e.err.Error() }
func (e *inputError) Unwrap() error { return e.err }

// exitStatus maps an error to the documented exit code.
func exitStatus(err error) subcommands.ExitStatus {
	var input *inputError
	var refused *adminclient.APIError
	switch {
	case errors.As(err, new(*adminclient.UnknownError)):
		return exitUnknown
	case errors.As(err, new(*adminclient.UnreachableError)):
		return exitUnreachable
	case errors.As(err, &input):
		return exitBadInput
	case errors.As(err, &refused):
		return refusedStatus(refused.Status)
	default:
		return exitFailed
	}
}

func refusedStatus(status int) subcommands.ExitStatus {
	switch status {
	case http.StatusConflict:
		return exitConflict
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return exitBadInput
	default:
		return exitFailed
	}
}

// failure is the JSON output of a command that failed.
type failure struct {
	Error       string   `json:"error"`
	ExitCode    int      `json:"exit_code"`
	Revision    uint64   `json:"revision,omitempty"`
	Problems    []string `json:"problems,omitempty"`
	OperationID string   `json:"operation_id,omitempty"`
}

func failureOutput(err error) failure {
	out := failure{Error: err.Error(), ExitCode: int(exitStatus(err))}
	var refused *adminclient.APIError
	if errors.As(err, &refused) {
		out.Error = refused.Body.Error
		out.Revision = refused.Body.Revision
		out.Problems = refused.Body.Problems
		out.OperationID = refused.Body.OperationID
	}
	var unknown *adminclient.UnknownError
	if errors.As(err, &unknown) {
		out.Error = unknown.Error()
		out.OperationID = unknown.OperationID
	}
	return out
}

// compactJSON returns raw JSON on one line.
func compactJSON(raw json.RawMessage) string {
	if raw == nil {
		return "null"
	}
	return string(raw)
}
