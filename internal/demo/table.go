package main

import (
	"fmt"
	"os"
	"text/tabwriter"
)

// table collects what happened.
type table struct {
	rows   []row
	failed int
}

type row struct {
	what, seen, verdict string
}

// note adds a figure that no promise is held against.
func (t *table) note(what string, seen any) {
	t.rows = append(t.rows, row{what, fmt.Sprint(seen), ""})
}

// check adds a figure with a promise.
func (t *table) check(what string, seen any, held bool) {
	verdict := "held"
	if !held {
		verdict = "BROKEN"
		t.failed++
	}
	t.rows = append(t.rows, row{what, fmt.Sprint(seen), verdict})
}

func (t *table) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nWHAT\tSEEN\tPROMISE")
	for _, r := range t.rows {
		fmt.Fprintf(w, "%s\t%s\t%s\n", r.what, r.seen, r.verdict)
	}
	w.Flush()
}

func (t *table) failure() error {
	if t.failed > 0 {
		return fmt.Errorf("%d promises broken", t.failed)
	}
	return nil
}
