package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// outputFlag is the flag -o.
type outputFlag struct{ format string }

// setFlags adds the flag, and sends what the flag package prints to stderr.
func (o *outputFlag) setFlags(env *environment, f *flag.FlagSet) {
	f.SetOutput(env.stderr)
	f.StringVar(&o.format, "o", formatText, "output format: text or json")
}

func (o *outputFlag) check() error {
	if o.format != formatText && o.format != formatJSON {
		return fmt.Errorf("-o %s is not allowed; allowed: text, json", o.format)
	}
	return nil
}

func (o *outputFlag) isJSON() bool { return o.format == formatJSON }

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, columns ...string) table {
	const padding = 2
	t := table{w: tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)}
	t.row(columns...)
	return t
}

func (t table) row(cells ...string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t table) flush() error { return t.w.Flush() }
