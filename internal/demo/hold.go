package main

import (
	"context"
	"fmt"
	"os/signal"
	"strings"
	"syscall"

	"lynxgate.dev/lynxgate/internal/harness"
)

// Files that the tour applies, in the fleet's folder.
const (
	inventoryFile = "inventory.toml"
	rulesFile     = "rules.toml"
)

// hold leaves the fleet running until an interrupt and then stops it
// gracefully. Nothing is declared yet: the files to apply are written for
// whoever drives the fleet.
func (s *system) hold() error {
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer done()
	if err := s.writeFiles(); err != nil {
		return err
	}
	s.printAddresses()
	<-stop.Done()
	t := &table{}
	s.judgeStop(t)
	return t.failure()
}

// writeFiles puts the inventory and a rule for v1 into the fleet's folder.
func (s *system) writeFiles() error {
	if _, err := s.fleet.Write(inventoryFile, s.inventory()); err != nil {
		return err
	}
	_, err := s.fleet.Write(rulesFile, s.rules("v1"))
	return err
}

// printAddresses prints what a shell needs to drive the fleet.
func (s *system) printAddresses() {
	control := make([]string, len(s.control))
	for i, d := range s.control {
		control[i] = d.HTTPAddr
	}
	fmt.Printf("export LYNXGATE_CONTROL=%s\n", strings.Join(control, ","))
	fmt.Printf("export LYNXGATE_OPERATOR_KEY=%s\n", harness.Key("ops"))
	fmt.Printf("export CALLER_KEY=%s\n", harness.Key(deployment().Organisations[0].Name))
	for i, d := range s.entries {
		fmt.Printf("export ENTRY_%d=http://%s\n", i+1, d.CallersAddr)
	}
	fmt.Printf("export BACKOFFICE=http://%s\n", s.plain.BackendAddr)
	fmt.Printf("export ORIGIN=%s\n", s.origin.URL)
	fmt.Printf("export FLEET=%s\n", s.fleet.Dir)
	fmt.Println("# The fleet runs; Ctrl-C stops it gracefully.")
}
