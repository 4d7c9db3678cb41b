// Demo runs lynxgate's main job as separate processes on loopback: it brings
// a model live on some VMs, serves a recorded load, rolls to a second version
// under that load, kills an entry and the control leader on the way, stops
// everything gracefully and prints what happened. It exits 0 only if every
// promise held.
//
// With -hold it only starts the fleet, writes the files to apply, prints how to
// reach it and leaves it running until it is interrupted.
//
// With -live it replays one load on a quiet fleet and again while all VMs fetch
// a new version, and prints the times that callers see.
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
	hold := flag.Bool("hold", false, "start the fleet and leave it running until interrupted")
	live := flag.Bool("live", false, "compare callers' times with and without a burst of weights instead")
	copies := flag.Int("copies", defaultCopies, "VMs that hold the model, each with an engine and an agent")
	flag.Parse()
	if err := run(*dir, *bin, *hold, *live, *copies); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(dir, bin string, hold, live bool, copies int) error {
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	fleet, err := harness.NewFleet(dir, bin)
	if err != nil {
		return err
	}
	defer fleet.KillAll()
	s, err := start(fleet, copies)
	if err != nil {
		return err
	}
	if hold {
		return s.hold()
	}
	if live {
		return s.compareLive()
	}
	return s.play()
}
