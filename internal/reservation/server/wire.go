package server

import (
	"time"

	"lynxgate.dev/lynxgate/internal/reservation"
	"lynxgate.dev/lynxgate/internal/rpc"
)

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func requestFromProto(r *rpc.ReserveRequest) reservation.Request {
	return reservation.Request{
		ID: r.Id, Rank: int(r.Rank), Weight: r.Weight, Retry: r.Retry, Resumed: r.Resumed,
		Prompt: int(r.Prompt), Answer: int(r.Answer), Due: micros(r.DueUs), Budget: micros(r.BudgetUs),
		Gap: micros(r.GapUs), Left: micros(r.LeftUs), Version: r.Version, Anyway: r.Anyway,
	}
}

func decisionToProto(d reservation.Decision) *rpc.ReserveResponse {
	return &rpc.ReserveResponse{
		Granted: d.Granted, Reason: d.Reason.String(),
		WaitUs: d.Wait.Microseconds(), FirstUs: d.FirstEvent.Microseconds(), EndUs: d.End.Microseconds(), AgainUs: d.Again.Microseconds(),
		Running: uint32(d.Load.Running), Waiting: uint32(d.Load.Waiting), Reserved: uint32(max(d.Load.Reserved, 0)), Pace: d.Load.Pace,
		ReportAgeUs: d.Load.Age.Microseconds(), Version: d.Load.Version, Loading: d.Load.Loading, Born: d.Load.StartUnixMs,
	}
}
