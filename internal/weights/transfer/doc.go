// Package transfer fetches the wanted model versions to this VM and serves held
// chunks to other members of the swarm.
//
// State: one loop per wanted version owns a swarm.State and the links to its
// peers. Messages: rpc.Weights between members, HTTP to the origin and the weight
// store. Chunks are stored in the scratch folder; Config.MemoryBytes bounds
// memory whatever the model's size.
package transfer
