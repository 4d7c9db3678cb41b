package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"strings"

	"github.com/google/subcommands"

	"lynxgate.dev/lynxgate/internal/admin"
	"lynxgate.dev/lynxgate/internal/adminclient"
	"lynxgate.dev/lynxgate/internal/inventory"
)

// applyCommand makes the configuration in force what the files declare.
type applyCommand struct {
	env           *environment
	connection    connection
	dryRun        bool
	deleteMissing bool
	operationID   string
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "apply inventory and rules from TOML files" }
func (*applyCommand) Usage() string {
	return `lynxctl apply [flags] FILE|FOLDER...
  Makes the records that the files declare those in force, all in one revision
  or none. Records that the files don't name stay, unless -delete-missing is
  given. A VM's drained mark stays as it is unless a file sets it.
`
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.connection.setFlags(c.env, f)
	f.BoolVar(&c.dryRun, "dry-run", false, "print what would change and change nothing")
	f.BoolVar(&c.deleteMissing, "delete-missing", false, "delete the records in force that no file names")
	f.StringVar(&c.operationID, "operation-id", "", "resend an operation whose result is unknown")
}

// applyOutput is the JSON output of apply.
type applyOutput struct {
	Verdict      string            `json:"verdict"`
	Revision     uint64            `json:"revision"`
	OperationID  string            `json:"operation_id,omitempty"`
	Repeated     bool              `json:"repeated,omitempty"`
	BaseRevision uint64            `json:"base_revision"`
	Changes      []describedChange `json:"changes"`
}

type describedChange struct {
	admin.ChangeItem
	Text string `json:"text"`
}

// Verdicts of apply besides those of the API.
const (
	verdictUnchanged = "unchanged"
	verdictDryRun    = "dry-run"
)

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.env.badUsage("apply needs files or folders")
	}
	return c.connection.withSession(ctx, c.env, func(ctx context.Context, s session) error {
		return c.apply(ctx, s, f.Args())
	})
}

func (c *applyCommand) apply(ctx context.Context, s session, paths []string) error {
	declaration, err := inventory.LoadPart(paths...)
	if err != nil {
		return &inputError{err}
	}
	snapshot, err := s.client.Config(ctx, "")
	if err != nil {
		return err
	}
	inForce := recordsOf(snapshot)
	changes := inventory.Diff(inForce, c.target(inForce, declaration))
	out := applyOutput{BaseRevision: snapshot.Revision, Revision: snapshot.Revision, Changes: describe(inForce, changes)}
	if len(changes) == 0 {
		out.Verdict = verdictUnchanged
		return s.printApply(out)
	}
	if problems := inventory.ValidateChange(inForce, changes); len(problems) > 0 {
		return &inputError{errors.New("the files don't fit the configuration in force:\n  " + strings.Join(problems, "\n  "))}
	}
	if c.dryRun {
		out.Verdict = verdictDryRun
		return s.printApply(out)
	}
	return c.send(ctx, s, out, changes)
}

func (c *applyCommand) send(ctx context.Context, s session, out applyOutput, changes []inventory.Change) error {
	out.OperationID = c.operationID
	if out.OperationID == "" {
		out.OperationID = adminclient.NewOperationID()
	}
	reply, err := s.client.Apply(ctx, out.OperationID, out.BaseRevision, changes)
	if err != nil {
		return err
	}
	out.Verdict = string(reply.Verdict)
	out.Revision = reply.Revision
	out.Repeated = reply.Repeated
	return s.printApply(out)
}

// target returns the records that shall be in force.
func (c *applyCommand) target(inForce map[string][]byte, declaration inventory.Declaration) map[string][]byte {
	keepDrained(inForce, &declaration)
	records := declaration.Inventory.Records()
	if c.deleteMissing {
		return records
	}
	target := maps.Clone(inForce)
	maps.Copy(target, records)
	return target
}

// keepDrained carries over the drained marks that the files don't set.
func keepDrained(inForce map[string][]byte, declaration *inventory.Declaration) {
	current, err := inventory.FromRecords(inForce)
	if err != nil {
		return // a newer server's records; ValidateChange names them
	}
	drained := map[string]bool{}
	for _, vm := range current.VMs {
		drained[vm.Name] = vm.Drained
	}
	for i := range declaration.Inventory.VMs {
		vm := &declaration.Inventory.VMs[i]
		if !declaration.SetsDrained[vm.Name] {
			vm.Drained = drained[vm.Name]
		}
	}
}

func recordsOf(snapshot admin.Snapshot) map[string][]byte {
	records := make(map[string][]byte, len(snapshot.Keys))
	for _, kv := range snapshot.Keys {
		records[kv.Key] = kv.Value
	}
	return records
}

func describe(inForce map[string][]byte, changes []inventory.Change) []describedChange {
	described := make([]describedChange, len(changes))
	for i, item := range admin.ToItems(changes) {
		described[i] = describedChange{ChangeItem: item, Text: inventory.Describe(inForce[item.Key], changes[i])}
	}
	return described
}

func (s session) printApply(out applyOutput) error {
	if s.json {
		return writeJSON(s.env.stdout, out)
	}
	for _, change := range out.Changes {
		fmt.Fprintln(s.env.stdout, change.Text)
	}
	switch out.Verdict {
	case verdictUnchanged:
		fmt.Fprintf(s.env.stdout, "no changes; revision %d is in force\n", out.Revision)
	case verdictDryRun:
		fmt.Fprintf(s.env.stdout, "dry run: %d changes on revision %d, nothing was changed\n", len(out.Changes), out.BaseRevision)
	default:
		fmt.Fprintf(s.env.stdout, "%s: revision %d, operation %s\n", verdictText(out.Verdict, out.Repeated), out.Revision, out.OperationID)
	}
	return nil
}

func verdictText(verdict string, repeated bool) string {
	if repeated {
		return verdict + " earlier"
	}
	return verdict
}
