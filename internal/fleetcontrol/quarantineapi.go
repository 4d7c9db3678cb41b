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

// QuarantinePath is the path of the operators' API for suspect and quarantined contents: GET lists
// them, DELETE of a digest below it releases one.
const QuarantinePath = "/v1/held"

// QuarantineStatus is a suspect or quarantined content in the list for operators.
type QuarantineStatus struct {
	Content string `json:"content"`
	// Part is the id of the part of prompts, empty for the whole content of a request.
	Part    string   `json:"part,omitempty"`
	Verdict string   `json:"verdict"`
	Servers []string `json:"servers"`
	// QuarantinedMs is for how long the content has been quarantined, 0 if it is not.
	QuarantinedMs int64 `json:"held_ms"`
}

// MountQuarantine adds the operators' API for suspect and quarantined contents.
func (s *Server) MountQuarantine(e *echo.Echo) {
	e.GET(QuarantinePath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.hub.suspectContents(clock.Now())) })
	e.DELETE(QuarantinePath+"/:content", func(c echo.Context) error {
		d, err := quarantine.ParseDigest(c.Param("content"))
		if err != nil {
			return c.JSON(http.StatusBadRequest, map[string]string{"error": err.Error()})
		}
		if err := s.Release(c.Request().Context(), d, c.RealIP()); err != nil {
			return c.JSON(http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		}
		return c.NoContent(http.StatusNoContent)
	})
}

// suspectContents lists the suspect and quarantined contents.
func (h *hub) suspectContents(now time.Time) []QuarantineStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := []QuarantineStatus{}
	for _, e := range h.suspects.Entries(now) {
		w := QuarantineStatus{Content: e.Digest.String(), Part: e.Part, Verdict: e.Verdict.String(), Servers: e.Servers}
		if !e.Since.IsZero() {
			w.QuarantinedMs = now.Sub(e.Since).Milliseconds()
		}
		out = append(out, w)
	}
	return out
}

// Release ends the quarantine of a content: earlier crashes no longer count against it. by names the caller
// in the audit log. After ErrUnavailable the release may or may not have taken effect.
func (s *Server) Release(ctx context.Context, d quarantine.Digest, by string) error {
	err := s.submit(ctx, &rpc.FleetCommand{Lifted: d[:]})
	if err == nil {
		now := clock.Now()
		s.hub.mergeSuspicions([]quarantine.Update{{Digest: d, Cleared: true, At: now}})
	}
	s.cfg.Logger.Warn().Stringer("content", d).Str("by", by).Bool("accepted", err == nil).AnErr("error", err).Msg("release of quarantined content decided")
	return err
}
