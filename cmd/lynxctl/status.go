package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/admin"
)

// statusCommand prints what the system does now.
type statusCommand struct {
	env        *environment
	connection connection
}

func (*statusCommand) Name() string { return "status" }
func (*statusCommand) Synopsis() string {
	return "print revisions in force, replicas, transfers and unmet rules"
}
func (*statusCommand) Usage() string {
	return `lynxctl status [flags]
  Prints the revision in force at every daemon, the lowest, who lags and why,
  replicas by model version, transfers under way and rules that can't be met.
`
}
func (c *statusCommand) SetFlags(f *flag.FlagSet) { c.connection.setFlags(c.env, f) }

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return c.env.badUsage("status takes flags only")
	}
	return c.connection.withSession(ctx, c.env, func(ctx context.Context, s session) error {
		status, err := s.client.Status(ctx)
		if err != nil {
			return err
		}
		if s.json {
			return writeJSON(s.env.stdout, status)
		}
		return s.printStatus(status)
	})
}

func (s session) printStatus(status admin.Status) error {
	fmt.Fprintf(s.env.stdout, "revision %d, lowest in force %d, leader %s, term %d, quorum %s\n",
		status.Revision, status.LowestRevision, orDash(status.Leader), status.Term, yesNo(status.Quorum))
	if status.Server != status.Leader {
		fmt.Fprintf(s.env.stdout, "as known to %s, which is not the leader\n", orDash(status.Server))
	}
	for _, print := range []func(admin.Status) error{
		s.printDaemons, s.printLaggards, s.printReplicas, s.printTransfers, s.printUnmet,
	} {
		if err := print(status); err != nil {
			return err
		}
	}
	return nil
}

func (s session) printDaemons(status admin.Status) error {
	t := s.section(len(status.Daemons), "DAEMON", "ROLE", "ZONE", "SERVICE", "STATE", "REVISION", "CONFIRMED", "LAST SEEN")
	for _, d := range status.Daemons {
		t.row(d.Name, d.Role, d.Zone, orDash(d.Service), daemonState(d), formatUint(d.Revision),
			yesNo(!d.Unconfirmed), d.LastSeen.Round(time.Millisecond).String()+" ago")
	}
	return t.flush()
}

func (s session) printLaggards(status admin.Status) error {
	t := s.section(len(status.Laggards), "LAGGARD", "REVISION", "BEHIND", "REASON")
	for _, l := range status.Laggards {
		t.row(l.Name, formatUint(l.Revision), formatUint(l.Behind), l.Reason)
	}
	return t.flush()
}

func (s session) printReplicas(status admin.Status) error {
	t := s.section(len(status.Replicas), "MODEL", "VERSION", "WANTED", "LIVE", "STAGED", "FETCHING", "FAILED")
	for _, r := range status.Replicas {
		t.row(r.Model, r.Version, strconv.Itoa(r.Wanted), strconv.Itoa(r.Live),
			strconv.Itoa(r.Staged), strconv.Itoa(r.Fetching), strconv.Itoa(r.Failed))
	}
	return t.flush()
}

func (s session) printTransfers(status admin.Status) error {
	t := s.section(len(status.Transfers), "TRANSFER TO", "MODEL", "VERSION", "PROGRESS", "FROM ORIGIN", "FROM PEERS", "ERROR")
	for _, x := range status.Transfers {
		t.row(x.VM, x.Model, x.Version, progress(x.Held, x.Total),
			formatBytes(x.OriginBytes), formatBytes(x.PeerBytes), orDash(x.Error))
	}
	return t.flush()
}

func (s session) printUnmet(status admin.Status) error {
	t := s.section(len(status.Unmet), "UNMET RULE", "WANTED", "POSSIBLE", "REASON")
	for _, u := range status.Unmet {
		t.row(u.Rule, strconv.Itoa(u.Wanted), strconv.Itoa(u.Possible), u.Reason)
	}
	return t.flush()
}

// section starts a table after an empty line; without rows it prints nothing.
func (s session) section(rows int, columns ...string) table {
	if rows == 0 {
		return newTable(io.Discard, columns...)
	}
	fmt.Fprintln(s.env.stdout)
	return newTable(s.env.stdout, columns...)
}

func daemonState(d admin.DaemonStatus) string {
	if d.Leaving {
		return "leaving"
	}
	return orDash(d.State)
}

func progress(held, total int) string {
	if total == 0 {
		return "-"
	}
	const percent = 100
	return fmt.Sprintf("%d/%d chunks %d%%", held, total, held*percent/total)
}

func formatBytes(n uint64) string {
	const step = 1024
	if n < step {
		return fmt.Sprintf("%d B", n)
	}
	value, units := float64(n), "KMGTP"
	for value >= step && len(units) > 0 {
		value /= step
		if value < step || len(units) == 1 {
			break
		}
		units = units[1:]
	}
	return fmt.Sprintf("%.1f %siB", value, units[:1])
}

func orDash(text string) string {
	if strings.TrimSpace(text) == "" {
		return "-"
	}
	return text
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
