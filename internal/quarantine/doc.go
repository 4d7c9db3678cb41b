// Package quarantine tells requests that end the backend servers that run them from those
// that only stood beside one. Work is what a request asks for, by whom, whatever the id of the
// attempt: see Digest. A server has ended when its VM refuses connections and it had not said that
// it leaves.
//
// State: a Table, of which each entry and each control server has one. It is a set of facts
// "this work was in flight at this start of a server when it ended", and which of them were
// cleared by an answer. Merging is idempotent and commutative, so that any order and repetition
// of news, from both sides of a cut too, gives the same verdicts. Messages: News. Time is an
// argument.
package quarantine
