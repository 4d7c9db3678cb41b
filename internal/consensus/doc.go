// Package consensus is the pure core of the replicated log: the Raft protocol
// as a state machine without I/O, clock or random source of its own.
//
// The caller feeds it with Step (a message), Tick (a step of logical time)
// and the Propose functions, takes the outcome with Ready, makes the durable
// part of it durable, sends the messages and then calls Advance. Names follow
// the Raft paper.
//
// Beyond the paper's core: pre-vote, check-quorum, read-index, leadership
// transfer, snapshots, learners, membership changes of one voter at a time,
// server identities that include the incarnation of the disk, and a bootstrap
// that needs every initial voter (see found.go).
package consensus
