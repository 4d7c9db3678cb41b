package control

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// register is the state of one key in the linearizability check.
type register struct {
	value    string
	revision uint64
}

// registerInput is a change of the key based on a revision, or a read.
type registerInput struct {
	write bool
	base  uint64
	value string
}

type registerOutput struct {
	accepted bool
	register
}

var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(s, in, out any) (bool, any) {
		now, i, o := s.(register), in.(registerInput), out.(registerOutput)
		if !i.write {
			return o.register == now, now
		}
		if !o.accepted {
			return now.revision > i.base, now
		}
		return now.revision <= i.base && o.revision > now.revision, register{i.value, o.revision}
	},
}

// TestChangesAreLinearizable changes one key by concurrent operators through all
// servers while a leader stops, and checks that the results are linearizable.
func TestChangesAreLinearizable(t *testing.T) {
	c := startCluster(t, 3)
	c.leader()
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	record := func(client int, in registerInput, out registerOutput, call time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out,
			Call: int64(call), Return: int64(time.Since(began))})
	}
	servers := append([]*testServer(nil), c.servers...)
	down := c.leader()
	var wg sync.WaitGroup
	for op := range 4 {
		wg.Go(func() {
			var seen register
			for i := range 40 {
				if op == 0 && i == 20 {
					c.servers[down].stop()
				}
				call := time.Since(began)
				if read, ok := readRegister(servers[(op+i)%3]); ok {
					seen = read
					record(op, registerInput{}, registerOutput{register: read}, call)
				}
				in := registerInput{write: true, base: seen.revision, value: fmt.Sprintf("r%d-%d", op, i)}
				call = time.Since(began)
				res := applyAnywhere(servers, zoneChange(fmt.Sprint(op, "-", i), in.base, in.value))
				if res.Verdict == inventory.VerdictAccepted {
					record(op, in, registerOutput{true, register{in.value, res.Revision}}, call)
					continue
				}
				record(op, in, registerOutput{}, call)
			}
		})
	}
	wg.Wait()
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, history, waitLong))
}

func readRegister(s *testServer) (register, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	snapshot, err := s.Get(ctx, "zone/z")
	if err != nil {
		return register{}, false
	}
	if len(snapshot.Keys) == 0 {
		return register{}, true
	}
	var z inventory.Zone
	if json.Unmarshal(snapshot.Keys[0].Value, &z) != nil {
		return register{}, false
	}
	return register{z.Region, snapshot.Keys[0].Revision}, true
}

// applyAnywhere sends a request to the servers in turn until one returns a result.
func applyAnywhere(servers []*testServer, req inventory.ChangeRequest) inventory.ChangeResult {
	for {
		for _, s := range servers {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			res, err := s.Apply(ctx, req)
			cancel()
			if err == nil {
				return res
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}
