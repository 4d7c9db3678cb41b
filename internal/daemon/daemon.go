// Package daemon assembles a lynxgated process from its settings: the roles,
// the listeners they share, and the order of a graceful stop.
//
// On a stop, every role first refuses new work and announces that it leaves,
// then finishes work in progress; then the listeners close. The package keeps
// no state except the roles.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"lynxgate.dev/lynxgate/internal/rpcconn"
	"lynxgate.dev/lynxgate/internal/settings"
)

// role is one of the services that a daemon can run: control, entry or agent.
type role interface {
	// register adds the role's services to the daemon's drpc listener.
	register(mux *drpcmux.Mux) error
	// run runs the role until ctx is done.
	run(ctx context.Context) error
	// leave refuses new work, announces that, and waits for work in progress until
	// ctx is done. It is called while run is still running.
	leave(ctx context.Context) error
	// ready reports whether the role can serve requests, with a reason if not.
	ready() (reason string, ok bool)
}

// daemon is the state of one running process.
type daemon struct {
	settings *settings.Settings
	log      zerolog.Logger
	registry *prometheus.Registry
	roles    []role
	// incarnation identifies this start of the process; later ones are higher.
	incarnation uint64
}

// Run runs the daemon until stop is done, and then stops it gracefully. It
// returns an error if the daemon can't start, fails, or aborts work in progress.
func Run(stop context.Context, s *settings.Settings, log zerolog.Logger) error {
	tuneMemory()
	d := &daemon{
		settings:    s,
		log:         log,
		registry:    prometheus.NewRegistry(),
		incarnation: uint64(time.Now().UnixNano()),
	}
	d.registry.MustRegister(collectors.NewGoCollector())
	d.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.registry.MustRegister(rpcconn.Collectors()...)
	if err := d.assemble(); err != nil {
		return err
	}
	return d.serve(stop)
}

func (d *daemon) assemble() error {
	builders := []struct {
		role  settings.Role
		build func(*daemon) (role, error)
	}{
		{settings.RoleControl, newControlRole},
		{settings.RoleEntry, newEntryRole},
		{settings.RoleAgent, newAgentRole},
	}
	for _, b := range builders {
		if !d.settings.Has(b.role) {
			continue
		}
		r, err := b.build(d)
		if err != nil {
			return fmt.Errorf("start role %s: %w", b.role, err)
		}
		d.roles = append(d.roles, r)
	}
	return nil
}

// serve runs the listeners and roles until stop is done or one of them fails,
// and then stops the roles before the listeners.
func (d *daemon) serve(stop context.Context) error {
	mux := drpcmux.New()
	for _, r := range d.roles {
		if err := r.register(mux); err != nil {
			return fmt.Errorf("register services: %w", err)
		}
	}
	lis, err := net.Listen("tcp", d.settings.RPCAddr)
	if err != nil {
		return fmt.Errorf("rpc_addr: %w", err)
	}
	web, err := d.newWebServer()
	if err != nil {
		lis.Close()
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(running)
	group.Go(func() error { return rpcconn.Serve(ctx, lis, mux) })
	group.Go(func() error { return web.serve(ctx) })
	for _, r := range d.roles {
		group.Go(func() error { return r.run(ctx) })
	}
	d.log.Info().Strs("roles", d.settings.Roles).Str("rpc_addr", d.settings.RPCAddr).Msg("running")
	select {
	case <-stop.Done():
	case <-ctx.Done():
	}
	leaveErr := d.leave()
	cancel()
	return errors.Join(leaveErr, ignoreCanceled(group.Wait()))
}

// leave calls leave of all roles concurrently, bounded by the drain timeout.
func (d *daemon) leave() error {
	d.log.Info().Msg("stopping: refusing new work, finishing work in progress")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
	defer cancel()
	var group errgroup.Group
	for _, r := range d.roles {
		group.Go(func() error { return r.leave(ctx) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("forced stop: %w", err)
	}
	return nil
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
