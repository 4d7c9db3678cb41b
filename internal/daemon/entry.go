package daemon

import (
	"context"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/configfeed"
	"lynxgate.dev/lynxgate/internal/controlclient"
	"lynxgate.dev/lynxgate/internal/entry"
	"lynxgate.dev/lynxgate/internal/routing"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// entryRole serves callers and relays the configuration to agents.
type entryRole struct {
	entry   *entry.Entry
	feed    *configfeed.Client
	source  *configfeed.Source
	control *controlclient.Client
}

func newEntryRole(d *daemon) (role, error) {
	s := d.settings
	feed, err := d.newFeed(nil, append(s.Entry.Control[:len(s.Entry.Control):len(s.Entry.Control)], s.Entry.Feeds...), "", nil)
	if err != nil {
		return nil, err
	}
	control := controlclient.New(controlclient.Config{Addrs: s.Entry.Control})
	source := configfeed.NewSource(configfeed.SourceConfig{
		Store:      feed.Store(),
		Confirmed:  feed.Confirmed,
		Confirm:    control.ReadIndex,
		Registerer: d.registry,
	})
	return &entryRole{
		entry:   entry.New(entryConfig(d), feed, control),
		feed:    feed,
		source:  source,
		control: control,
	}, nil
}

func entryConfig(d *daemon) entry.Config {
	s := d.settings
	return entry.Config{
		Name:              s.Name,
		Zone:              s.Zone,
		Addr:              s.RPCAddr,
		AdminAddr:         s.HTTPAddr,
		CallersAddr:       s.Entry.CallersAddr,
		TLSCert:           s.Entry.TLSCert,
		TLSKey:            s.Entry.TLSKey,
		MaxBodyBytes:      s.Entry.MaxBodyBytes,
		MaxHeaderBytes:    s.Entry.MaxHeaderBytes,
		ReadHeaderTimeout: s.Entry.ReadHeaderTimeout,
		IdleTimeout:       s.Entry.IdleTimeout,
		MaxConnections:    s.Entry.MaxConnections,
		DefaultDeadline:   s.Entry.DefaultDeadline,
		RetryBudgetRatio:  s.Entry.RetryBudgetRatio,
		WatchSubset:       s.Entry.WatchSubset,
		Policy:            routingPolicy(s.Entry.Policy),
		QueueLength:       s.Entry.QueueLength,
		Incarnation:       d.incarnation,
		Logger:            d.log,
		Registerer:        d.registry,
	}
}

// routingPolicy returns the policy with the name in the settings. All except
// the default are baselines for comparison.
func routingPolicy(name string) routing.Policy {
	switch name {
	case "random":
		return routing.Random{}
	case "round-robin":
		return &routing.RoundRobin{}
	}
	return routing.Balanced{}
}

func (r *entryRole) register(mux *drpcmux.Mux) error { return rpc.DRPCRegisterFeed(mux, r.source) }

func (r *entryRole) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.feed.Run(ctx) })
	group.Go(func() error { return r.entry.Serve(ctx) })
	err := group.Wait()
	_ = r.control.Close()
	return err
}

func (r *entryRole) leave(ctx context.Context) error { return r.entry.Leave(ctx) }
func (r *entryRole) ready() (string, bool)           { return r.entry.Ready() }
