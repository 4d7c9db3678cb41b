package agent

import (
	"lynxgate.dev/lynxgate/internal/orders"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/transfer"
)

// Values of rpc.ReplicaReport.Phase.
const (
	phaseFetching = "fetching"
	phaseStaged   = "staged"
	phaseLoading  = "loading"
	phaseLive     = "live"
	phaseFailed   = "failed"
)

func (a *Agent) announcement() *rpc.AnnounceRequest {
	view := a.feed.View()
	return &rpc.AnnounceRequest{
		Name:          a.cfg.VM,
		Role:          "agent",
		Zone:          a.cfg.Zone,
		Addr:          a.cfg.Addr,
		AdminAddr:     a.cfg.AdminAddr,
		Service:       a.cfg.Service,
		Incarnation:   a.incarnation,
		Leaving:       a.gate.state().leaving,
		Revision:      view.Revision(),
		Unconfirmed:   a.feed.Unconfirmed(),
		Replicas:      *a.replicas.Load(),
		ChecksFencing: a.cfg.ChecksFencing,
		Capacity:      uint32(a.cfg.Capacity),
	}
}

// replicaReports returns a report on every wanted version and on the version
// being served.
func (l *loop) replicaReports() []*rpc.ReplicaReport {
	var reports []*rpc.ReplicaReport
	serving := l.machine.Serving()
	covered := false
	for _, p := range l.transfers.Status() {
		report := l.replicaReport(p)
		covered = covered || (p.Model == serving.Model && p.Version == serving.Version)
		reports = append(reports, report)
	}
	if serving != (orders.Ref{}) && !covered {
		reports = append(reports, &rpc.ReplicaReport{
			Model: serving.Model, Version: serving.Version, Phase: phaseLive,
		})
	}
	return reports
}

func (l *loop) replicaReport(p transfer.Progress) *rpc.ReplicaReport {
	report := &rpc.ReplicaReport{
		Model:       p.Model,
		Version:     p.Version,
		ChunksHeld:  uint32(p.Held),
		ChunksTotal: uint32(p.Total),
		OriginBytes: uint64(p.OriginBytes),
		PeerBytes:   uint64(p.PeerBytes),
		Error:       p.Err,
	}
	report.Phase = l.replicaPhase(orders.Ref{Model: p.Model, Version: p.Version}, p.Staged)
	if report.Phase == phaseFailed {
		report.Error = l.machine.LastError()
	}
	return report
}

func (l *loop) replicaPhase(ref orders.Ref, staged bool) string {
	if l.machine.Serving() == ref {
		return phaseLive
	}
	if !staged {
		return phaseFetching
	}
	target, loading := l.machine.Loading()
	switch {
	case target != ref:
		return phaseStaged
	case l.machine.LastError() != "":
		return phaseFailed
	case loading:
		return phaseLoading
	}
	return phaseStaged
}
