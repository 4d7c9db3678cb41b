package fleetcontrol

import "lynxgate.dev/lynxgate/internal/backpressure"

// mergeSignals merges signals of backend servers that entries have received, and marks new ones
// for entries and control servers.
func (h *hub) mergeSignals(updates []backpressure.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var fresh []backpressure.Update
	for _, n := range updates {
		if merged, isNew := h.signals.Merge(n); isNew {
			fresh = append(fresh, merged)
		}
	}
	if len(fresh) == 0 {
		return
	}
	for f := range h.followers {
		if f.role != RoleAgent {
			f.signals = append(f.signals, fresh...)
			f.notifyUrgent()
		}
	}
}
