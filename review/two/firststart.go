//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lynxgate.dev/lynxgate/platform/standin"
)

const (
	// lostAfter is when, counted from its start, one of the three seeds is gone for good; replacedAfter is when, counted from then, an
	// empty machine comes at another address (replace_core, x = 2).
	lostAfter     = 100 * time.Millisecond
	replacedAfter = 2 * time.Second
	// contact and ackBound are contactMs and ackMs. The core is stable contact after the last start in it.
	contact  = 3 * time.Second
	ackBound = 4 * time.Second
	// watched is for how long the operator is watched after the core is stable: several times ackBound.
	watched     = 30 * time.Second
	resendPause = 200 * time.Millisecond
)

// seedLostAtFirstStart takes one of three control servers away at the first start of the whole system and replaces it. Gate rule Acks: the
// operator's configuration is acknowledged within ackMs while the core is stable.
func seedLostAtFirstStart(ctx context.Context, b *bed, trouble bool) (breaks []string, err error) {
	b.document = func(version int) []byte { return standin.Document(version, "127.0.0.1:1") }
	b.fleet.AddControls(3)
	b.fleet.AddEntries(1)
	for _, ip := range b.fleet.Controls {
		if _, err := b.fleet.StartControl(ip, true); err != nil {
			return nil, err
		}
		b.logf("platform: control server %s starts, for the first time", ip)
	}
	if _, err := b.fleet.StartEntry(b.fleet.Entries[0]); err != nil {
		return nil, err
	}
	running := b.fleet.Controls
	if trouble {
		time.Sleep(lostAfter)
		lost := b.fleet.Controls[2]
		if err := b.fleet.Process(b.fleet.Name(lost)).Kill(); err != nil {
			return nil, err
		}
		b.logf("platform: control server %s is gone for good", lost)
		time.Sleep(replacedAfter)
		b.fleet.AddControls(1)
		added := b.fleet.Controls[3]
		if _, err := b.fleet.StartControl(added, false); err != nil {
			return nil, err
		}
		b.logf("platform: control server %s starts in its place, with an empty disk", added)
		running = []string{b.fleet.Controls[0], b.fleet.Controls[1], added}
	}
	lastStart := time.Now()
	stable := lastStart.Add(contact)
	for n := 0; ctx.Err() == nil && time.Now().Before(stable.Add(watched)); n++ {
		addr := standin.ControlAddr(running[n%len(running)])
		status, body, callErr := standin.Call(ctx, http.MethodPut, addr, "/lynxgate/config", b.document(1))
		b.logf("operator: configuration 1 to %s: status %d, %.100s, %v", addr, status, body, callErr)
		if callErr == nil && status == http.StatusOK {
			late := time.Since(stable)
			b.logf("operator: acknowledged %.3f s after the core was stable", late.Seconds())
			if late > ackBound {
				breaks = append(breaks, fmt.Sprintf("the first configuration was acknowledged %.3f s after the core was stable", late.Seconds()))
			}
			return breaks, nil
		}
		time.Sleep(resendPause)
	}
	return []string{fmt.Sprintf("no acknowledgement of the first configuration for %.0f s in which the core was stable: all three control servers ran, connected to each other",
		watched.Seconds())}, ctx.Err()
}
