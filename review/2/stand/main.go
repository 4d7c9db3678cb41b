//go:build review

// Case 2: some heartbeats come from another writer, under an id that can't be read. Operator, workers, clients and the other writer are
// stand-ins in this process, the daemons are processes of their own.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"lynxgate.dev/lynxgate/platform/standin"
	"lynxgate.dev/lynxgate/review/bed"
)

const (
	// configApply is configApplyMs of the site, contact its contactMs.
	configApply = 2500 * time.Millisecond
	contact     = 4 * time.Second
	// heartbeat is heartbeatMs of the site: the time between two heartbeats of the other writer. It sends one to each control server.
	heartbeat = 1200 * time.Millisecond
	requests  = 20
)

func main() { bed.Main(run) }

// foreignBody is a heartbeat that can be read but for its id, which is in the path. Nothing listens at its address.
func foreignBody(addr string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":8,"state":"draining","coldLeftMs":0,"models":[],"seq":1}`, standin.PlainService, addr)
}

// dropped is a route of the first configuration that the second one does not have.
func dropped() string {
	return fmt.Sprintf(`{"name":"dropped","host":%q,"pathPrefix":"/dropped/","kind":"safe","timeoutMs":2000,"targetLatencyMs":150,"priority":2,"service":%q,"maxAttempts":2}`, standin.PlainHost, standin.PlainService)
}

func run() (int, error) {
	b, err := bed.New("review/2", bed.Shape{Controls: 3, Entries: 2, Models: 0, Plain: 2, Work: 20 * time.Millisecond})
	if err != nil {
		return bed.NotRun, err
	}
	defer b.End()
	if _, err := b.Put(standin.Document(1, b.Origin.Addr, dropped()), 1); err != nil {
		return bed.NotRun, err
	}
	if err := b.Ready(b.Job); err != nil {
		return bed.NotRun, err
	}
	time.Sleep(contact)
	addr := standin.WorkerAddr(b.IP())
	for _, control := range b.ControlAddrs() {
		if b.Trouble {
			status, body, err := standin.Call(context.Background(), http.MethodPut, control, "/lynxgate/instances/i-%FF%FE", foreignBody(addr))
			b.Logf("other writer: PUT /lynxgate/instances/i-%%FF%%FE to %s: %d %s %v", control, status, body, err)
		}
		time.Sleep(heartbeat)
	}
	acknowledged, err := b.Put(standin.Document(5, b.Origin.Addr), 5)
	if err != nil {
		return bed.NotRun, err
	}
	_, held, err := b.Operate(context.Background(), http.MethodGet, "/lynxgate/config", nil)
	if err != nil {
		return bed.NotRun, err
	}
	time.Sleep(time.Until(acknowledged.Add(configApply + 2*time.Second)))
	answered := 0
	for i := range requests {
		id := fmt.Sprintf("dropped-%d", i)
		b.Call(bed.Request{Entry: b.Entries[i%2], Method: http.MethodGet, Host: standin.PlainHost, Path: "/dropped/" + id, ID: id, Deadline: 2 * time.Second})
		if b.Job(b.Entries[i%2], fmt.Sprintf("kept-%d", i)).Status == http.StatusOK {
			answered++
		}
	}
	ran := 0
	for _, w := range b.Plain {
		for id, n := range w.Runs() {
			if len(id) > 8 && id[:8] == "dropped-" {
				b.Logf("worker %s ran %s, %d times", w.ID, id, n)
				ran++
			}
		}
	}
	b.LogRuns()
	current := string(held) == string(standin.Document(5, b.Origin.Addr))
	b.Logf("the configuration read back is the new one: %v", current)
	b.Logf("%d of %d requests on the dropped route ran, sent over %v after the acknowledgement; %d of %d on a kept route were served", ran, requests, configApply+2*time.Second, answered, requests)
	fmt.Printf("ran on the dropped route: %d of %d; served on a kept one: %d\n", ran, requests, answered)
	if answered < requests/2 {
		return bed.NotRun, errors.New("the kept route is not served")
	}
	if ran > 0 {
		b.Logf("CONFIG broken")
		return bed.Broken, nil
	}
	return bed.Held, nil
}
