package follow

import (
	"slices"
	"time"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// ServerToProto returns the wire form of a record; its age is as of now.
func ServerToProto(b *fleet.BackendServer, now time.Time) *rpc.BackendServer {
	out := &rpc.BackendServer{
		Id: b.ID, Service: b.Service, Addr: b.Addr, Zone: b.Zone, Slots: uint32(b.Slots),
		State: uint32(b.State), Seq: b.Seq, Born: b.StartUnixMs, ColdMs: b.Cold.Milliseconds(),
		AgeMs: now.Sub(b.SeenAt).Milliseconds(),
	}
	out.Models = ModelsToProto(b.Models)
	return out
}

// ServerFromProto is the inverse of ServerToProto.
func ServerFromProto(s *rpc.BackendServer, now time.Time) fleet.BackendServer {
	b := fleet.BackendServer{
		ID: s.Id, Service: s.Service, Addr: s.Addr, Zone: s.Zone, Slots: int(s.Slots),
		State: fleet.State(s.State), Seq: s.Seq, StartUnixMs: s.Born, Cold: time.Duration(s.ColdMs) * time.Millisecond,
		SeenAt: now.Add(-time.Duration(s.AgeMs) * time.Millisecond),
	}
	b.Models = ModelsFromProto(s.Models)
	return b
}

// SeenAt returns when a control server received the announcement of a renewal that is read at a time.
func SeenAt(s *rpc.ServerSeen, now time.Time) time.Time {
	return now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
}

// ModelsToProto returns the wire form of the models that an engine has loaded.
func ModelsToProto(models []fleet.Loaded) []*rpc.LoadedModel {
	var out []*rpc.LoadedModel
	for _, m := range models {
		out = append(out, &rpc.LoadedModel{
			Model: m.Model, Version: m.Version, FromLayer: uint32(m.From), ToLayer: uint32(m.To),
		})
	}
	return out
}

// ModelsFromProto is the inverse of ModelsToProto.
func ModelsFromProto(models []*rpc.LoadedModel) []fleet.Loaded {
	var out []fleet.Loaded
	for _, m := range models {
		out = append(out, fleet.Loaded{
			Model: m.Model, Version: m.Version, From: int(m.FromLayer), To: int(m.ToLayer),
		})
	}
	return out
}

// SameModels reports whether two engines have loaded the same models.
func SameModels(a, b []*rpc.LoadedModel) bool {
	return slices.Equal(ModelsFromProto(a), ModelsFromProto(b))
}
