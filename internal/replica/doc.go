// Package replica runs one member of the replicated log: it drives the pure
// core of package consensus with a clock, the synced log of package raftlog
// and drpc streams to the other members, and applies committed commands to
// the caller's state machine.
//
// One goroutine owns the core and the log (the event loop); one applies
// committed entries; one per peer sends. A message that promises something
// (a vote, an acknowledged entry) leaves only after the sync it depends on.
package replica
