package balance

import "time"

// The load percentage is the fourth figure of a server's load header. At plain services it indicates how
// long requests take there, 100 being usual. At engines it says nothing about the engine's own speed; their
// agents report a pace.

// maxPercent bounds a reported percentage, so that no cost overflows.
const maxPercent = 10_000

// percentage is a server's last load percentage, 0 if there is none.
type percentage struct {
	value int
	at    time.Time
}

// hostLoad returns the server's load percentage relative to the usual one: 1 for engines, and without a
// recent figure.
func (s *Server) hostLoad(now time.Time) float64 {
	if s.engine != nil || s.percent.value <= 0 || now.Sub(s.percent.at) >= maxLoadAge {
		return 1
	}
	return float64(min(s.percent.value, maxPercent)) / 100
}

// notePercent records a load percentage, 0 if the server's header had none.
func (b *Balancer) notePercent(s *Server, now time.Time, percent int) {
	if percent <= 0 {
		return
	}
	s.percent = percentage{value: percent, at: now}
	b.sharedHosts[s.record.Service] = true
}

// SharedHosts reports whether any server of a service has sent a load percentage since the service was
// declared. Such servers share their hosts with other work.
func (b *Balancer) SharedHosts(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sharedHosts[service]
}

// keepDeclaredHosts forgets services that are not declared any more.
func (b *Balancer) keepDeclaredHosts() {
	if b.view.Table == nil {
		return
	}
	for service := range b.sharedHosts {
		if b.view.Table.Service(service) == nil {
			delete(b.sharedHosts, service)
		}
	}
}
