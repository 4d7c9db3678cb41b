package main

import (
	"fmt"
	"os"
	"time"

	"lynxgate.dev/lynxgate/internal/harness"
)

func main() {
	fleet, err := harness.NewFleet("out/demo", "bin")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	defer fleet.KillAll()
	s, err := start(fleet)
	fmt.Println("started", err)
	if err != nil {
		return
	}
	fmt.Println(s.operator.Apply("inventory-in.toml", s.inventory()))
	t := time.Now()
	fmt.Println(s.operator.Apply("rules-in.toml", rules("v1")))
	fmt.Println(harness.Wait(60*time.Second, "live", func() bool { return s.operator.Live(model, "v1") == 4 }), time.Since(t))
	out, _ := s.operator.Run("status")
	fmt.Println(out)
	fmt.Println("entries:", s.entries[0].CallersAddr, s.entries[1].CallersAddr)
	time.Sleep(20 * time.Second)
}
