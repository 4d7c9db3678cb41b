package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/admin"
)

// serversCommand lists and changes the consensus members.
type serversCommand struct {
	env        *environment
	connection connection
}

func (*serversCommand) Name() string     { return "servers" }
func (*serversCommand) Synopsis() string { return "list, add or remove control servers" }
func (*serversCommand) Usage() string {
	return `lynxctl servers [flags] list
lynxctl servers [flags] add NAME IP:PORT
lynxctl servers [flags] remove NAME
  An added server joins as a learner and votes once it has caught up. Change
  one server at a time.
`
}
func (c *serversCommand) SetFlags(f *flag.FlagSet) { c.connection.setFlags(c.env, f) }

// serversCall asks for the members, or changes them.
type serversCall func(context.Context, session) ([]admin.Server, error)

func (c *serversCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	call := serversCallOf(f.Args())
	if call == nil {
		return c.env.badUsage("servers needs: list | add NAME IP:PORT | remove NAME")
	}
	return c.connection.withSession(ctx, c.env, func(ctx context.Context, s session) error {
		servers, err := call(ctx, s)
		if err != nil {
			return err
		}
		if s.json {
			return writeJSON(s.env.stdout, servers)
		}
		return s.printServers(servers)
	})
}

// serversCallOf returns nil when the arguments can't be understood.
func serversCallOf(args []string) serversCall {
	if len(args) == 0 {
		return nil
	}
	verb, rest := args[0], args[1:]
	switch {
	case verb == "list" && len(rest) == 0:
		return func(ctx context.Context, s session) ([]admin.Server, error) {
			return s.client.Servers(ctx)
		}
	case verb == "add" && len(rest) == 2:
		return func(ctx context.Context, s session) ([]admin.Server, error) {
			return s.client.AddServer(ctx, rest[0], rest[1])
		}
	case verb == "remove" && len(rest) == 1:
		return func(ctx context.Context, s session) ([]admin.Server, error) {
			return s.client.RemoveServer(ctx, rest[0])
		}
	default:
		return nil
	}
}

func (s session) printServers(servers []admin.Server) error {
	t := newTable(s.env.stdout, "SERVER", "ADDRESS", "ROLE")
	for _, server := range servers {
		t.row(server.Name, server.Addr, serverRole(server))
	}
	return t.flush()
}

func serverRole(server admin.Server) string {
	switch {
	case server.Leader:
		return "leader"
	case server.Learner:
		return "learner"
	default:
		return "voter"
	}
}
