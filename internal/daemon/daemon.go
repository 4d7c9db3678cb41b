// Package daemon assembles a lynxgated process from its settings: the roles,
// the listeners they share, and a graceful stop in the right order.
//
// State: none beside the roles. On a stop every role first refuses new work
// and says so, then finishes what is in progress, then the listeners close.
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

// role is one duty of the daemon.
type role interface {
	// register adds the role's services to the daemon's drpc listener.
	register(mux *drpcmux.Mux) error
	// run works until ctx is done.
	run(ctx context.Context) error
	// leave refuses new work, tells so and waits for work in progress until
	// ctx is done. The role still runs meanwhile.
	leave(ctx context.Context) error
	// ready reports whether the role can do its work, with a reason if not.
	ready() (reason string, ok bool)
}

// Daemon is one running process.
type daemon struct {
	settings *settings.Settings
	log      zerolog.Logger
	registry *prometheus.Registry
	roles    []role
	// incarnation rises with every start of the process.
	incarnation uint64
}

// Run runs the daemon until stop is done, and then stops it gracefully. An
// error says that it could not start, failed, or cut work in progress.
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

// serve runs listeners and roles, and stops them in order.
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
	running, end := context.WithCancel(context.Background())
	defer end()
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
	end()
	return errors.Join(leaveErr, ignoreCanceled(group.Wait()))
}

// leave lets every role finish its work within the drain timeout.
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
