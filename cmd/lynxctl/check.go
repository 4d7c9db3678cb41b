package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/settings"
	"lynxgate.dev/lynxgate/internal/tomlfile"
)

// checkCommand checks settings and inventory without any server.
type checkCommand struct {
	env      *environment
	output   outputFlag
	settings fileList
}

// fileList is a flag that may be given several times.
type fileList []string

func (l *fileList) String() string { return strings.Join(*l, ",") }

// Set adds one file.
func (l *fileList) Set(file string) error {
	*l = append(*l, file)
	return nil
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check settings and inventory files offline" }
func (*checkCommand) Usage() string {
	return `lynxctl check [-settings FILE]... [INVENTORY FILE|FOLDER]...
  Checks settings of lynxgated one by one, and the inventory files together as
  a whole. Prints every fault with file, line and key.
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(c.env, f)
	f.Var(&c.settings, "settings", "settings file of lynxgated; may be given several times")
}

// checkOutput is the JSON output of check.
type checkOutput struct {
	OK       bool         `json:"ok"`
	Problems []checkFault `json:"problems"`
}

type checkFault struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
	text    string
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.output.check(); err != nil {
		return c.env.badUsage("%v", err)
	}
	if len(c.settings) == 0 && f.NArg() == 0 {
		return c.env.badUsage("check needs -settings FILE or inventory files")
	}
	out := checkOutput{Problems: []checkFault{}}
	for _, file := range c.settings {
		_, err := settings.Load(file)
		out.add(err)
	}
	if f.NArg() > 0 {
		_, err := inventory.Load(f.Args()...)
		out.add(err)
	}
	out.OK = len(out.Problems) == 0
	if err := c.print(out); err != nil {
		return exitFailed
	}
	if !out.OK {
		return exitBadInput
	}
	return exitOK
}

func (o *checkOutput) add(err error) {
	if err == nil {
		return
	}
	var problems tomlfile.Problems
	if !errors.As(err, &problems) {
		o.Problems = append(o.Problems, checkFault{Message: err.Error(), text: err.Error()})
		return
	}
	for _, p := range problems {
		o.Problems = append(o.Problems, checkFault{File: p.File, Line: p.Line, Key: p.Key, Message: p.Message, text: p.String()})
	}
}

func (c *checkCommand) print(out checkOutput) error {
	if c.output.isJSON() {
		return writeJSON(c.env.stdout, out)
	}
	if out.OK {
		_, err := fmt.Fprintln(c.env.stdout, "ok")
		return err
	}
	for _, fault := range out.Problems {
		fmt.Fprintln(c.env.stderr, fault.text)
	}
	return nil
}
