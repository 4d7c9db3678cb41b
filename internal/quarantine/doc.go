// Package quarantine finds requests that crash the backend servers they are dispatched to, and
// distinguishes them from requests that were merely in flight when a server crashed. Each request has several
// candidate causes, identified by a Digest: its whole content, whatever the id of the attempt, and the parts of its prompt, which
// other requests may share. A server counts as crashed when its VM refuses
// connections and it had not announced that it leaves.
//
// A whole content is cleared by its answer. A part is in many requests, most of them sound: those on which servers
// have written are known as sound, and do not count at all.
//
// Each entry and each control server has one Table: a set of facts "this content was in flight at
// this incarnation of a server when it crashed", each of which a complete answer clears. Merging is
// idempotent and commutative, so that updates in any order and repetition, also from both sides of a
// network partition, give the same verdicts. Messages: Update. Time is an argument.
package quarantine
