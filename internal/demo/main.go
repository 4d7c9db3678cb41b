// Demo runs lynxgate's main job as separate processes on loopback: it brings
// a model live on four VMs, serves a recorded load, rolls to a second version
// under that load, kills an entry and the control leader on the way, stops
// everything gracefully and prints what happened. It exits 0 only if every
// promise held.
package main

import (
	"flag"
	"fmt"
	"os"

	"lynxgate.dev/lynxgate/internal/harness"
)

func main() {
	dir := flag.String("dir", "out/demo", "folder for settings, logs and data; emptied first")
	bin := flag.String("bin", "bin", "folder with the programs")
	flag.Parse()
	if err := run(*dir, *bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(dir, bin string) error {
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	fleet, err := harness.NewFleet(dir, bin)
	if err != nil {
		return err
	}
	defer fleet.KillAll()
	s, err := start(fleet)
	if err != nil {
		return err
	}
	return s.play()
}
