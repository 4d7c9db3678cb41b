package fleetcontrol

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/quarantine"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// HeldPath is where operators see work under which servers ended; below it, by digest, they let
// it go.
const HeldPath = "/v1/held"

// HeldWork is one piece of such work, as operators see it.
type HeldWork struct {
	Content string   `json:"content"`
	Verdict string   `json:"verdict"`
	Servers []string `json:"servers"`
	// HeldMs is for how long it is held, 0 if it is not.
	HeldMs int64 `json:"held_ms"`
}

// MountHeld adds the operators' calls about work that is held.
func (s *Server) MountHeld(e *echo.Echo) {
	e.GET(HeldPath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.hub.heldWork(clock.Now())) })
	e.DELETE(HeldPath+"/:content", func(c echo.Context) error {
		d, err := quarantine.ParseDigest(c.Param("content"))
		if err != nil {
			return c.JSON(http.StatusBadRequest, map[string]string{"error": err.Error()})
		}
		if err := s.LetGo(c.Request().Context(), d, c.RealIP()); err != nil {
			return c.JSON(http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		}
		return c.NoContent(http.StatusNoContent)
	})
}

// heldWork lists what anything counts against.
func (h *hub) heldWork(now time.Time) []HeldWork {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := []HeldWork{}
	for _, e := range h.suspects.Entries(now) {
		w := HeldWork{Content: e.Digest.String(), Verdict: e.Verdict.String(), Servers: e.Servers}
		if !e.Since.IsZero() {
			w.HeldMs = now.Sub(e.Since).Milliseconds()
		}
		out = append(out, w)
	}
	return out
}

// LetGo lets work run again: nothing that is known of it until now counts. by names who asked,
// for the audit trail. After ErrUnavailable it may or may not be let go.
func (s *Server) LetGo(ctx context.Context, d quarantine.Digest, by string) error {
	err := s.submit(ctx, &rpc.FleetCommand{Lifted: d[:]})
	if err == nil {
		now := clock.Now()
		s.hub.suspected([]quarantine.News{{Digest: d, Cleared: true, At: now}})
	}
	s.cfg.Logger.Warn().Stringer("content", d).Str("by", by).Bool("accepted", err == nil).AnErr("error", err).Msg("held work let go")
	return err
}
