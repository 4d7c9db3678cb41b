package fleetcontrol

import "lynxgate.dev/lynxgate/internal/backpressure"

// signalled merges what backend servers have said to entries, and passes on to entries and control
// servers what is new.
func (h *hub) signalled(news []backpressure.News) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var fresh []backpressure.News
	for _, n := range news {
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
			f.notify()
		}
	}
}
