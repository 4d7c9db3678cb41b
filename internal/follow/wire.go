package follow

import (
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// ServerToProto returns the wire form of a record as of now.
func ServerToProto(b *fleet.BackendServer, now time.Time) *rpc.BackendServer {
	out := &rpc.BackendServer{
		Id: b.ID, Service: b.Service, Addr: b.Addr, Zone: b.Zone, Slots: uint32(b.Slots),
		State: uint32(b.State), Seq: b.Seq, ColdMs: b.Cold.Milliseconds(),
		AgeMs: now.Sub(b.SeenAt).Milliseconds(),
	}
	for _, m := range b.Models {
		out.Models = append(out.Models, &rpc.LoadedModel{
			Model: m.Model, Version: m.Version, FromLayer: uint32(m.From), ToLayer: uint32(m.To),
		})
	}
	return out
}

// ServerFromProto is the inverse of ServerToProto.
func ServerFromProto(s *rpc.BackendServer, now time.Time) fleet.BackendServer {
	b := fleet.BackendServer{
		ID: s.Id, Service: s.Service, Addr: s.Addr, Zone: s.Zone, Slots: int(s.Slots),
		State: fleet.State(s.State), Seq: s.Seq, Cold: time.Duration(s.ColdMs) * time.Millisecond,
		SeenAt: now.Add(-time.Duration(s.AgeMs) * time.Millisecond),
	}
	for _, m := range s.Models {
		b.Models = append(b.Models, fleet.Loaded{
			Model: m.Model, Version: m.Version, From: int(m.FromLayer), To: int(m.ToLayer),
		})
	}
	return b
}
