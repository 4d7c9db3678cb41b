package daemon

import (
	"context"

	"github.com/labstack/echo/v4"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/claims"
	"lynxgate.dev/lynxgate/internal/control"
	"lynxgate.dev/lynxgate/internal/control/state"
	"lynxgate.dev/lynxgate/internal/replica"
	"lynxgate.dev/lynxgate/internal/settings"
)

// controlRole runs a control server and its operators' API.
type controlRole struct {
	server *control.Server
	api    *admin.API
}

func newControlRole(d *daemon) (role, error) {
	server, err := control.New(controlConfig(d), func(fsm replica.FSM) (control.Log, error) {
		return replica.Start(replicaConfig(d), fsm)
	})
	if err != nil {
		return nil, err
	}
	api, err := admin.New(adminConfig(d), server)
	if err != nil {
		return nil, err
	}
	return &controlRole{server: server, api: api}, nil
}

func controlConfig(d *daemon) control.Config {
	s := d.settings
	cfg := control.Config{
		Name:        s.Name,
		Zone:        s.Zone,
		Addr:        s.RPCAddr,
		AdminAddr:   s.HTTPAddr,
		Incarnation: d.incarnation,
		AdminAddrs:  map[string]string{},
		Lease:       s.Control.Lease,
		Limits:      state.DefaultLimits,
		ClaimLimits: claims.DefaultLimits,
		Logger:      d.log,
		Registerer:  d.registry,
	}
	cfg.Limits.AuditWindow = s.Control.AuditWindow
	cfg.ClaimLimits.Window = s.Control.ClaimWindow
	for _, peer := range s.Control.Peers {
		cfg.Peers = append(cfg.Peers, peer.Addr)
		cfg.AdminAddrs[peer.Name] = peer.AdminAddr
	}
	return cfg
}

func replicaConfig(d *daemon) replica.Config {
	s := d.settings
	cfg := replica.Config{
		Name:            s.Name,
		Addr:            s.RPCAddr,
		Dir:             s.Control.DataDir,
		TickInterval:    s.Control.TickInterval,
		ElectionTicks:   s.Control.ElectionTicks,
		HeartbeatTicks:  s.Control.HeartbeatTicks,
		SnapshotEntries: s.Control.SnapshotEntries,
		Logger:          d.log,
	}
	for _, peer := range s.Control.Peers {
		cfg.Peers = append(cfg.Peers, replica.Member{Name: peer.Name, Addr: peer.Addr})
	}
	return cfg
}

func adminConfig(d *daemon) admin.Config {
	cfg := admin.Config{Logger: d.log, Registerer: d.registry}
	for _, op := range d.settings.Control.Operators {
		cfg.Operators = append(cfg.Operators, adminOperator(op))
	}
	return cfg
}

func adminOperator(op settings.Operator) admin.Operator {
	return admin.Operator{Name: op.Name, KeyHash: op.KeyHash}
}

func (r *controlRole) register(mux *drpcmux.Mux) error { return r.server.Register(mux) }
func (r *controlRole) run(ctx context.Context) error   { return r.server.Run(ctx) }
func (r *controlRole) leave(ctx context.Context) error { return r.server.Stop(ctx) }
func (r *controlRole) mount(e *echo.Echo)              { r.api.Register(e) }

func (r *controlRole) ready() (string, bool) {
	if !r.server.Confirmed() {
		return "not in contact with a quorum of control servers", false
	}
	return "", true
}
