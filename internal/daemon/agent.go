package daemon

import (
	"context"
	"path/filepath"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/agent"
	"lynxgate.dev/lynxgate/internal/configfeed"
	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/inventory"
	"lynxgate.dev/lynxgate/internal/rpc"
	"lynxgate.dev/lynxgate/internal/weights/swarm"
	"lynxgate.dev/lynxgate/internal/weights/transfer"
)

const (
	// chunksDir and floorFile are names in an agent's scratch folder. floorFile
	// stores the revision floor of the configuration feed.
	chunksDir = "weights"
	floorFile = "revision"
)

// agentRole runs the agent beside a backend server.
type agentRole struct {
	agent     *agent.Agent
	feed      *configfeed.Client
	control   *controlclient.Client
	transfers *transfer.Manager
}

func newAgentRole(d *daemon) (role, error) {
	s := d.settings
	feed, err := d.newFeed(s.Agent.Feeds, s.Agent.Control, s.Agent.ScratchDir, agentPrefixes)
	if err != nil {
		return nil, err
	}
	r := &agentRole{
		feed:    feed,
		control: controlclient.New(controlclient.Config{Addrs: s.Agent.Control}),
	}
	var transfers agent.Transfers
	if s.Agent.Kind == inventory.KindModel {
		r.transfers, err = transfer.New(transferConfig(d))
		if err != nil {
			return nil, err
		}
		transfers = r.transfers
	}
	r.agent, err = agent.New(agentConfig(d), feed, r.control, transfers)
	return r, err
}

// agentPrefixes are the prefixes of the configuration keys that an agent
// subscribes to.
var agentPrefixes = []string{inventory.PrefixAssign, inventory.PrefixModel}

// newFeed returns a client of the configuration feed. It prefers the sources in
// feeds to the control servers, each in a rendezvous order by the daemon's name
// that spreads the subscribers over the sources.
func (d *daemon) newFeed(feeds, control []string, dir string, prefixes []string) (*configfeed.Client, error) {
	upstreams := configfeed.RendezvousOrder(d.settings.Name, feeds)
	upstreams = append(upstreams, configfeed.RendezvousOrder(d.settings.Name, control)...)
	cfg := configfeed.ClientConfig{
		Name:       d.settings.Name,
		Upstreams:  upstreams,
		Prefixes:   prefixes,
		Logger:     d.log,
		Registerer: d.registry,
	}
	if dir != "" {
		cfg.FloorPath = filepath.Join(dir, floorFile)
	}
	return configfeed.NewClient(cfg)
}

func agentConfig(d *daemon) agent.Config {
	s := d.settings
	return agent.Config{
		VM:            s.Name,
		Zone:          s.Zone,
		Addr:          s.RPCAddr,
		AdminAddr:     s.HTTPAddr,
		Service:       s.Agent.Service,
		Kind:          s.Agent.Kind,
		BackendAddr:   s.Agent.BackendAddr,
		ChecksFencing: s.Agent.ChecksFencing,
		LoadTimeout:   s.Agent.LoadTimeout,
		Capacity:      s.Agent.Capacity,
		ScratchDir:    s.Agent.ScratchDir,
		Incarnation:   d.incarnation,
		Logger:        d.log,
		Registerer:    d.registry,
	}
}

func transferConfig(d *daemon) transfer.Config {
	s := d.settings
	return transfer.Config{
		VM:                 s.Name,
		Zone:               s.Zone,
		Dir:                filepath.Join(s.Agent.ScratchDir, chunksDir),
		MaxBytes:           s.Agent.ScratchMaxBytes,
		UpBytesPerSecond:   float64(s.Agent.LinkUpBytesPerSecond),
		DownBytesPerSecond: float64(s.Agent.LinkDownBytesPerSecond),
		Strategy:           swarm.Strategy(s.Agent.Strategy),
		Registerer:         d.registry,
		Logger:             d.log,
	}
}

func (r *agentRole) register(mux *drpcmux.Mux) error {
	if err := rpc.DRPCRegisterDispatch(mux, r.agent); err != nil {
		return err
	}
	if r.transfers == nil {
		return nil
	}
	return rpc.DRPCRegisterWeights(mux, r.transfers)
}

func (r *agentRole) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.feed.Run(ctx) })
	group.Go(func() error { return r.agent.Serve(ctx) })
	err := group.Wait()
	if r.transfers != nil {
		_ = r.transfers.Close()
	}
	_ = r.control.Close()
	return err
}

func (r *agentRole) leave(ctx context.Context) error { return r.agent.Leave(ctx) }
func (r *agentRole) ready() (string, bool)           { return r.agent.Ready() }
