package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/admin"
)

// getCommand prints the configuration in force.
type getCommand struct {
	env        *environment
	connection connection
}

func (*getCommand) Name() string     { return "get" }
func (*getCommand) Synopsis() string { return "print the configuration in force" }
func (*getCommand) Usage() string {
	return `lynxctl get [flags] [PREFIX]
  Prints the records whose keys begin with PREFIX, such as vm/ or rule/, as
  confirmed with a quorum. member/ and assign/ hold what the system derived.
`
}
func (c *getCommand) SetFlags(f *flag.FlagSet) { c.connection.setFlags(c.env, f) }

func (c *getCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 1 {
		return c.env.badUsage("get takes one prefix at most")
	}
	return c.connection.withSession(ctx, c.env, func(ctx context.Context, s session) error {
		snapshot, err := s.client.Config(ctx, f.Arg(0))
		if err != nil {
			return err
		}
		if s.json {
			return writeJSON(s.env.stdout, snapshot)
		}
		fmt.Fprintf(s.env.stdout, "revision %d\n", snapshot.Revision)
		t := newTable(s.env.stdout, "KEY", "REVISION", "VALUE")
		for _, kv := range snapshot.Keys {
			t.row(kv.Key, formatUint(kv.Revision), compactJSON(kv.Value))
		}
		return t.flush()
	})
}

// auditCommand prints the audit trail.
type auditCommand struct {
	env        *environment
	connection connection
	query      admin.AuditQuery
}

func (*auditCommand) Name() string     { return "audit" }
func (*auditCommand) Synopsis() string { return "print the audit trail of changes" }
func (*auditCommand) Usage() string {
	return "lynxctl audit [flags]\n  Prints accepted changes, oldest first.\n"
}

func (c *auditCommand) SetFlags(f *flag.FlagSet) {
	c.connection.setFlags(c.env, f)
	f.Uint64Var(&c.query.Since, "since", 0, "print changes after this revision")
	f.IntVar(&c.query.Limit, "limit", admin.DefaultAuditLimit, "print at most so many records")
	f.StringVar(&c.query.Operator, "operator", "", "print changes of this operator")
	f.StringVar(&c.query.Key, "key", "", `print changes of this key, or below it when it ends in "/"`)
}

func (c *auditCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return c.env.badUsage("audit takes flags only")
	}
	return c.connection.withSession(ctx, c.env, func(ctx context.Context, s session) error {
		records, err := s.client.Audit(ctx, c.query)
		if err != nil {
			return err
		}
		if s.json {
			return writeJSON(s.env.stdout, records)
		}
		return s.printAudit(records)
	})
}

func (s session) printAudit(records []admin.AuditItem) error {
	t := newTable(s.env.stdout, "REVISION", "TIME", "OPERATOR", "OPERATION", "CHANGES")
	for _, record := range records {
		t.row(formatUint(record.Revision), record.Time, record.Operator, record.OperationID, changeSummary(record.Changes))
	}
	return t.flush()
}

// changeSummary lists keys, deleted ones with a minus sign.
func changeSummary(changes []admin.ChangeItem) string {
	texts := make([]string, len(changes))
	for i, change := range changes {
		texts[i] = change.Key
		if change.Value == nil {
			texts[i] = "-" + change.Key
		}
	}
	return strings.Join(texts, " ")
}

func formatUint(value uint64) string { return strconv.FormatUint(value, 10) }
