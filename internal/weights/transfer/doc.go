// Package transfer is the runtime that brings wanted model versions onto this
// VM and serves held chunks to other members of the swarm.
//
// State: one loop per wanted version owns a swarm.State; links to peers are
// shared by all versions. Messages: rpc.Weights between members, HTTP to the
// origin and the weight store. Chunks go through the scratch folder; memory
// is bounded by Config.MemoryBytes whatever the model's size.
package transfer
