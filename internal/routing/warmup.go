package routing

import "time"

// warmUpShare is the share of requests of a replica that became live at since. It
// rises linearly from WarmUpFloor to 1.
func warmUpShare(now, since time.Time, cfg *Config) float64 {
	if since.IsZero() {
		return 1
	}
	done := float64(now.Sub(since)) / float64(cfg.WarmUp)
	if done >= 1 {
		return 1
	}
	return cfg.WarmUpFloor + (1-cfg.WarmUpFloor)*max(0, done)
}
