// Package systest proves the promises of the system under failure: its tests
// start fleets of separate lynxgated and lynxstandin processes on loopback,
// kill, freeze and wipe them, and judge what callers and operators see.
//
// State: none. The tests wait on conditions; how fast the machine is decides
// no verdict. docs/PROVED.md lists the promises with their tests.
package systest
