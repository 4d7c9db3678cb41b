// Package rpc holds the messages and services spoken between lynxgate's own
// processes. The .proto files are the source; the generated Go code is
// committed so that a build needs no generator. Regenerate with
// "make generate".
package rpc
