// Package standin holds small fakes of the systems outside lynxgate, for the
// demo, the tests and the benches: a model engine, a plain service, an origin
// of weights and a rate-limited weight store. Each is an http.Handler in a
// sub-package, and cmd/lynxstandin runs each as its own process.
//
// The fakes verify nothing on behalf of the system under test. They report
// what they were given (digests, run counts, bytes sent), so that a test can
// judge it. Faults are settings that can be changed while a fake runs, by
// POST /_faults.
package standin
