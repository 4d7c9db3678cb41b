package admin

import (
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v4"

	"lynxgate.dev/lynxgate/internal/inventory"
)

func (a *API) getServers(c echo.Context) error {
	servers, err := a.backend.Members(c.Request().Context())
	if err != nil {
		return readFailure(err)
	}
	return c.JSON(http.StatusOK, ServersReply{Servers: servers})
}

func (a *API) postServer(c echo.Context) error {
	var body ServerBody
	if err := readJSON(c, &body); err != nil {
		return err
	}
	if !inventory.IsName(body.Name) {
		return badRequest("name must be a server's name: " + inventory.AllowedName)
	}
	if _, err := netip.ParseAddrPort(body.Addr); err != nil {
		return badRequest("addr must be the IP:port of the server's rpc_addr")
	}
	if err := a.backend.AddServer(c.Request().Context(), body.Name, body.Addr); err != nil {
		return changeFailure(err, "")
	}
	a.cfg.Logger.Info().Str("operator", operatorOf(c)).Str("server", body.Name).Str("addr", body.Addr).Msg("control server added")
	return a.getServers(c)
}

func (a *API) deleteServer(c echo.Context) error {
	name := c.Param("name")
	if err := a.backend.RemoveServer(c.Request().Context(), name); err != nil {
		return changeFailure(err, "")
	}
	a.cfg.Logger.Info().Str("operator", operatorOf(c)).Str("server", name).Msg("control server removed")
	return a.getServers(c)
}
