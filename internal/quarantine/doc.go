// Package quarantine finds request content that crashes the backend servers it is dispatched to, and
// distinguishes it from content that was merely in flight when a server crashed. Content is identified
// by a Digest, whatever the id of the attempt. A server counts as crashed when its VM refuses
// connections and it had not announced that it leaves.
//
// Each entry and each control server has one Table: a set of facts "this content was in flight at
// this incarnation of a server when it crashed", each of which a complete answer clears. Merging is
// idempotent and commutative, so that updates in any order and repetition, also from both sides of a
// network partition, give the same verdicts. Messages: Update. Time is an argument.
package quarantine
