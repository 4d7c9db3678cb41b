// Package intercept stands between a started process and the kernel, so that tests
// bring about from outside what a product must bear: a step of the time of day, a disk
// that stalls, is slow or refuses to sync, and connections that go over a proxy. The
// program under test is the product as it is built; nothing in it knows of this.
//
// How: the process starts stopped under trace. A few instructions are put over a
// function of Go's runtime that only debuggers call, and the one function through which
// Go makes system calls that may block is led over them. Later changes are words of
// memory, written through /proc. Only linux/amd64 has this; elsewhere Start returns
// ErrUnsupported.
//
// State: one Target for each process, with what is set for it.
package intercept

import "errors"

// ErrUnsupported says that this system has no interception.
var ErrUnsupported = errors.New("intercept: only on linux/amd64")

// Redirect leads connections to another port of the same address: those to Port at
// addresses of 127.0.0.0/8 whose last number is at most LastNumber. The zero value
// leads none.
type Redirect struct {
	Port, To   uint16
	LastNumber uint8
}
