// Package consensus implements the Raft protocol as a deterministic state
// machine without I/O, clock or random source of its own.
//
// The caller passes input with Step (a message), Tick (a step of logical time)
// and the Propose functions. It takes the output with Ready, persists and
// applies it, sends the messages and then calls Advance. Names follow the Raft
// paper.
//
// Beyond the basic protocol: pre-vote, check-quorum, read-index, leadership transfer,
// snapshots, learners, membership changes of one voter at a time, server
// identities that include the incarnation of the disk, and a bootstrap that
// needs every initial voter (see bootstrap.go).
package consensus
