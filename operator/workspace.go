package operator

import (
	"context"
	"flag"
	"fmt"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/registrar"
)

// WorkspaceCreate creates a workspace with its rate limit.
type WorkspaceCreate struct {
	apiClient
	owner  string
	rate   float64
	burst  int64
	weight float64
}

// Name implements commander.Command.
func (*WorkspaceCreate) Name() string { return "workspace create" }

// Arguments implements commander.Command.
func (*WorkspaceCreate) Arguments() string { return "WORKSPACE" }

// Short implements commander.Command.
func (*WorkspaceCreate) Short() string { return "creates a workspace with its rate and burst" }

// Example implements commander.Command.
func (*WorkspaceCreate) Example() string {
	return "jackdawgate workspace create kitchen -owner north -rate 50 -burst 100"
}

// Flags implements commander.Command.
func (w *WorkspaceCreate) Flags(f *flag.FlagSet) {
	w.apiClient.Flags(f)
	w.addChangeFlags(f)
	f.StringVar(&w.owner, "owner", "", "`owner` who pays for the workspace")
	f.Float64Var(&w.rate, "rate", 10, "`requests` a second over the whole fleet")
	f.Int64Var(&w.burst, "burst", 20, "`requests` at once")
	f.Float64Var(&w.weight, "weight", 1, "`share` of tokens under contention")
}

// Run implements commander.Command.
func (w *WorkspaceCreate) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "WORKSPACE"); err != nil {
		return err
	}
	if err := checkLimit(w.rate, w.burst); err != nil {
		return err
	}
	c := registrar.PutWorkspace{Create: true, Workspace: registrar.Workspace{
		Name: args[0], Owner: w.owner, RatePerSecond: w.rate, Burst: w.burst, Weight: w.weight,
	}}
	return w.change(ctx, e, c, "workspace "+args[0]+" created")
}

// checkLimit returns a UsageError if rate or burst is out of range.
func checkLimit(rate float64, burst int64) error {
	if rate <= 0 || burst < 1 {
		return &commander.UsageError{Problem: "-rate must be above 0 and -burst at least 1"}
	}
	return nil
}

// WorkspaceList lists workspaces with their limits.
type WorkspaceList struct{ apiClient }

// Name implements commander.Command.
func (*WorkspaceList) Name() string { return "workspace list" }

// Arguments implements commander.Command.
func (*WorkspaceList) Arguments() string { return "" }

// Short implements commander.Command.
func (*WorkspaceList) Short() string { return "lists workspaces with their limits" }

// Example implements commander.Command.
func (*WorkspaceList) Example() string { return "jackdawgate workspace list -json" }

// Run implements commander.Command.
func (w *WorkspaceList) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args); err != nil {
		return err
	}
	r, err := w.getRecord(ctx, e)
	if err != nil {
		return err
	}
	all := sortedByKey(r.Workspaces)
	if w.jsonOutput {
		return printJSON(e.Stdout, all)
	}
	var rows []string
	for _, s := range all {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%g\t%d\t%g", s.Name, s.Owner, s.RatePerSecond, s.Burst, s.Weight))
	}
	return writeTable(e.Stdout, "workspace\towner\trate\tburst\tweight", rows)
}

// LimitSet changes the rate and burst of an existing workspace.
type LimitSet struct {
	apiClient
	rate  float64
	burst int64
}

// Name implements commander.Command.
func (*LimitSet) Name() string { return "limit set" }

// Arguments implements commander.Command.
func (*LimitSet) Arguments() string { return "WORKSPACE" }

// Short implements commander.Command.
func (*LimitSet) Short() string { return "changes a workspace's rate and burst" }

// Example implements commander.Command.
func (*LimitSet) Example() string { return "jackdawgate limit set kitchen -rate 80 -burst 160" }

// Flags implements commander.Command.
func (l *LimitSet) Flags(f *flag.FlagSet) {
	l.apiClient.Flags(f)
	l.addChangeFlags(f)
	f.Float64Var(&l.rate, "rate", 0, "`requests` a second over the whole fleet")
	f.Int64Var(&l.burst, "burst", 0, "`requests` at once")
}

// Run implements commander.Command.
func (l *LimitSet) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "WORKSPACE"); err != nil {
		return err
	}
	if err := checkLimit(l.rate, l.burst); err != nil {
		return err
	}
	c := registrar.SetLimit{Workspace: args[0], RatePerSecond: l.rate, Burst: l.burst}
	return l.change(ctx, e, c, "limit of "+args[0]+" set")
}
