// Package replica runs one member of the replicated log. It connects the core of
// package consensus, which does no I/O, to a clock, the durable log of package
// raftlog and drpc streams to the other members, and applies committed commands
// to the caller's state machine.
//
// One goroutine, the event loop, owns the core and the log; another applies
// committed entries; one per peer sends messages. A message that depends on
// durable state (a vote, an acknowledged entry) is sent only after the sync.
package replica
