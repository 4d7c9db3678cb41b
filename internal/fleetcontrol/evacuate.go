package fleetcontrol

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Evacuate orders that the backend servers of a zone get no more requests, or with inForce false
// withdraws that. by names the caller in the audit log. The order is in the log when it returns nil.
// It fails with fleet.ErrUnknownZone; after ErrUnavailable the order may or may not have taken
// effect.
//
// An order is given on top of the last one about the zone, as a linearizable read shows it. If
// another one comes in between, the two are concurrent, and this one counts as the earlier.
func (s *Server) Evacuate(ctx context.Context, zone string, inForce bool, by string) error {
	if !s.knowsZone(zone) {
		return fmt.Errorf("%w: %q", fleet.ErrUnknownZone, zone)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	last, err := s.order(ctx, zone, inForce)
	event := s.cfg.Logger.Info()
	if err != nil {
		event = s.cfg.Logger.Warn().Err(err)
	}
	event.Str("zone", zone).Bool("evacuated", inForce).Uint64("last_order", last).Str("by", by).Bool("accepted", err == nil).Msg("evacuation of a zone decided")
	return err
}

// order commits an order about a zone unless it is in force already, and returns the order on top
// of which it was given.
func (s *Server) order(ctx context.Context, zone string, inForce bool) (last uint64, err error) {
	state, err := s.readState(ctx)
	if err != nil {
		return 0, err
	}
	known := state.Evacuations[zone]
	if known.InForce == inForce {
		return known.Order, nil
	}
	// A caller that has left resends its order elsewhere, and may have given a later one since.
	if err := ctx.Err(); err != nil {
		return known.Order, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return known.Order, s.submit(ctx, &rpc.FleetCommand{Evacuation: &rpc.Evacuation{Zone: zone, InForce: inForce, Order: known.Order}})
}

// knowsZone reports whether the settings name a zone or a backend server is known there.
func (s *Server) knowsZone(zone string) bool {
	return s.cfg.RegionOf != nil && s.cfg.RegionOf(zone) != "" || s.hub.hasServersIn(zone)
}

func (h *hub) hasServersIn(zone string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return zone != "" && slices.ContainsFunc(h.servers.All(), func(b *fleet.BackendServer) bool { return b.Zone == zone })
}

// EvacuationsPath is the path of the operators' API for evacuated zones: GET lists the last order
// about each zone, POST of a zone below it evacuates it, DELETE withdraws that.
const EvacuationsPath = "/v1/evacuations"

// EvacuationStatus is the last order about a zone in the list for operators.
type EvacuationStatus struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	Order     uint64 `json:"order"`
}

// MountEvacuations adds the operators' API for evacuated zones.
func (s *Server) MountEvacuations(e *echo.Echo) {
	e.GET(EvacuationsPath, s.listEvacuations)
	e.POST(EvacuationsPath+"/:zone", func(c echo.Context) error { return s.evacuate(c, true) })
	e.DELETE(EvacuationsPath+"/:zone", func(c echo.Context) error { return s.evacuate(c, false) })
}

func (s *Server) evacuate(c echo.Context, inForce bool) error {
	err := s.Evacuate(c.Request().Context(), c.Param("zone"), inForce, c.RealIP())
	switch {
	case errors.Is(err, fleet.ErrUnknownZone):
		return c.JSON(http.StatusBadRequest, map[string]string{"error": err.Error()})
	case err != nil:
		return c.JSON(http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) listEvacuations(c echo.Context) error {
	state, err := s.readState(c.Request().Context())
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
	}
	out := []EvacuationStatus{}
	for zone, e := range state.Evacuations {
		out = append(out, EvacuationStatus{Zone: zone, Evacuated: e.InForce, Order: e.Order})
	}
	slices.SortFunc(out, func(a, b EvacuationStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return c.JSON(http.StatusOK, out)
}
