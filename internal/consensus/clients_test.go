package consensus

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

const simClients = 4

// clientOp is one operation of a client.
type clientOp struct {
	client int
	call   int64
	input  registerInput
	term   uint64 // of the proposal
	index  uint64 // that must be applied before a read is answered
	done   bool
}

// registerInput is the input of an operation of the model.
type registerInput struct {
	write      bool
	key, value string
}

// clients runs one operation per client at a time and records the history.
type clients struct {
	sim      *sim
	busy     [simClients]*clientOp
	history  []porcupine.Operation
	writes   int
	contexts uint64
}

func newClients(s *sim) *clients { return &clients{sim: s} }

func (c *clients) begin(client int, input registerInput) *clientOp {
	c.sim.clock++
	op := &clientOp{client: client, call: c.sim.clock, input: input}
	c.busy[client] = op
	return op
}

func (c *clients) end(op *clientOp) bool {
	if op.done {
		return false
	}
	op.done = true
	if c.busy[op.client] == op {
		c.busy[op.client] = nil
	}
	return true
}

func (c *clients) record(op *clientOp, output string, returned int64) {
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history), Input: op.input, Output: output, Call: op.call, Return: returned,
	})
}

func (c *clients) succeeded(op *clientOp, output string) {
	if c.end(op) {
		c.sim.clock++
		c.record(op, output, c.sim.clock)
	}
}

// unknown ends an operation that may take effect at any later time.
func (c *clients) unknown(op *clientOp) {
	if c.end(op) && op.input.write {
		c.record(op, "", math.MaxInt64)
	}
}

// failed ends an operation that took no effect.
func (c *clients) failed(op *clientOp) { c.end(op) }

// write proposes a write on a server.
func (c *clients) write(client int, v *simServer, key string) {
	if c.busy[client] != nil || v.core == nil || v.frozen {
		return
	}
	c.writes++
	value := fmt.Sprint(c.writes)
	data, _ := json.Marshal(command{Key: key, Value: value})
	index, term, err := v.core.Propose(data)
	if err != nil {
		return
	}
	op := c.begin(client, registerInput{write: true, key: key, value: value})
	op.term = term
	if old, ok := v.proposals[index]; ok {
		c.failed(old)
	}
	v.proposals[index] = op
	c.sim.process(v)
}

// applied ends the operation whose proposal had the index of an applied entry.
func (c *clients) applied(op *clientOp, term uint64) {
	if term == op.term {
		c.succeeded(op, "")
		return
	}
	c.failed(op)
}

// read starts a linearizable read on a server.
func (c *clients) read(client int, v *simServer, key string) {
	if c.busy[client] != nil || v.core == nil || v.frozen {
		return
	}
	c.contexts++
	if v.core.ReadIndex(c.contexts) != nil {
		return
	}
	v.reads[c.contexts] = c.begin(client, registerInput{key: key})
	c.sim.process(v)
}

func (c *clients) readConfirmed(v *simServer, op *clientOp, state ReadState) {
	if state.Reject {
		c.failed(op)
		return
	}
	op.index = state.Index
	v.waiting = append(v.waiting, op)
}

// finishReads ends the reads whose index is applied.
func (c *clients) finishReads(v *simServer) {
	var remaining []*clientOp
	for _, op := range v.waiting {
		if op.index > v.applied {
			remaining = append(remaining, op)
			continue
		}
		c.succeeded(op, v.state[op.input.key])
	}
	v.waiting = remaining
}

// giveUp makes a client stop waiting.
func (c *clients) giveUp(client int) {
	if op := c.busy[client]; op != nil {
		c.unknown(op)
	}
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(registerInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output == state, state
	},
}

// linearizable checks the whole history.
func (c *clients) linearizable() porcupine.CheckResult {
	for client := range simClients {
		c.giveUp(client)
	}
	return porcupine.CheckOperationsTimeout(registerModel, c.history, time.Minute)
}
