// Package wire converts reservations to the messages between entries and agents, and back.
//
// State: none. Messages: rpc.ReserveRequest, rpc.ReserveResponse.
package wire

import (
	"time"

	"lynxgate.dev/lynxgate/internal/reservation"
	"lynxgate.dev/lynxgate/internal/rpc"
)

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// RequestToProto returns the message that asks for a slot of the engine at addr, whose incarnation started at born
// (Unix ms, 0 if not known).
func RequestToProto(addr string, born int64, r reservation.Request) *rpc.ReserveRequest {
	return &rpc.ReserveRequest{
		Id: r.ID, Entry: r.Entry, Addr: addr, Born: born, Rank: uint32(r.Rank), Weight: r.Weight, Retry: r.Retry, Resumed: r.Resumed,
		Prompt: uint32(r.Prompt), Answer: uint32(r.Answer), DueUs: r.Due.Microseconds(), BudgetUs: r.Budget.Microseconds(),
		GapUs: r.Gap.Microseconds(), LeftUs: r.Left.Microseconds(), Version: r.Version, Anyway: r.AcceptLate,
	}
}

// RequestFromProto is the inverse of RequestToProto.
func RequestFromProto(r *rpc.ReserveRequest) reservation.Request {
	return reservation.Request{
		ID: r.Id, Entry: r.Entry, Rank: int(r.Rank), Weight: r.Weight, Retry: r.Retry, Resumed: r.Resumed,
		Prompt: int(r.Prompt), Answer: int(r.Answer), Due: micros(r.DueUs), Budget: micros(r.BudgetUs),
		Gap: micros(r.GapUs), Left: micros(r.LeftUs), Version: r.Version, AcceptLate: r.Anyway,
	}
}

// DecisionToProto returns the message for a decision.
func DecisionToProto(d reservation.Decision) *rpc.ReserveResponse {
	return &rpc.ReserveResponse{
		Granted: d.Granted, Reason: d.Reason.String(),
		WaitUs: d.Wait.Microseconds(), FirstUs: d.FirstEvent.Microseconds(), EndUs: d.End.Microseconds(), AgainUs: d.Again.Microseconds(),
		Running: uint32(d.Load.Running), Waiting: uint32(d.Load.Waiting), Reserved: uint32(d.Load.Reserved), Pace: d.Load.Pace,
		ReportAgeUs: d.Load.Age.Microseconds(), Version: d.Load.Version, Loading: d.Load.Loading, Born: d.Load.StartUnixMs,
	}
}

// DecisionFromProto is the inverse of DecisionToProto. A reason of a later version counts as
// reservation.ReasonUnknown.
func DecisionFromProto(r *rpc.ReserveResponse) reservation.Decision {
	d := reservation.Decision{
		Granted: r.Granted, Wait: micros(r.WaitUs), FirstEvent: micros(r.FirstUs), End: micros(r.EndUs), Again: micros(r.AgainUs),
		Load: reservation.Load{
			Running: int(r.Running), Waiting: int(r.Waiting), Reserved: int(r.Reserved), Pace: r.Pace, Age: micros(r.ReportAgeUs),
			Version: r.Version, Loading: r.Loading, StartUnixMs: r.Born,
		},
	}
	if !r.Granted {
		d.Reason = reservation.ParseReason(r.Reason)
	}
	return d
}
