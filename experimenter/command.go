package experimenter

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/emulator"
)

// pathExperiment is the name of the experiment that returns a PathReport instead
// of Rows.
const pathExperiment = "path"

// Load is the subcommand "load". It runs one experiment and prints the result as a
// table or as JSON.
type Load struct {
	experiment string
	json       bool
	plot       string
	options    Options
}

// Name implements commander.Command.
func (*Load) Name() string { return "load" }

// Arguments implements commander.Command.
func (*Load) Arguments() string { return "" }

// Short implements commander.Command.
func (*Load) Short() string {
	return "measures policies against each other on stand-ins in this process"
}

// Example implements commander.Command.
func (*Load) Example() string { return "jackdawgate load -experiment yield -seconds 8 -seed 1" }

// Flags implements commander.Command.
func (l *Load) Flags(f *flag.FlagSet) {
	o := &l.options
	f.StringVar(&l.experiment, "experiment", "yield", "one of "+strings.Join(append(Names(), pathExperiment), ", "))
	f.Func("only", "rows to run, separated by commas; all by default", func(v string) error {
		o.Only = strings.Split(v, ",")
		return nil
	})
	f.BoolVar(&l.json, "json", false, "print JSON")
	f.StringVar(&l.plot, "plot", "", "also draw the rows as SVG into this file")
	f.Uint64Var(&o.Seed, "seed", DefaultSeed, "seed of arrivals and prompts")
	f.IntVar(&o.Seconds, "seconds", DefaultSeconds, "how long each row is measured")
	f.IntVar(&o.Hosts, "hosts", DefaultHosts, "hosts of the fleet")
	f.IntVar(&o.Engines, "engines", DefaultEngines, "engine stand-ins")
	f.Float64Var(&o.OnlineShare, "online-share", DefaultOnlineShare, "online load as a part of the engines' tokens a second")
	f.IntVar(&o.Tokens, "tokens", DefaultTokens, "mean length of an answer")
	f.IntVar(&o.Engine.Slots, "slots", emulator.DefaultSlots, "calls that an engine runs at once")
	f.IntVar(&o.Engine.BaseStepMicros, "base-step-us", emulator.DefaultBaseStepMicros, "time of an engine's step, in microseconds")
	f.IntVar(&o.Engine.CallStepMicros, "call-step-us", emulator.DefaultCallStepMicros, "time of a step for each running call, in microseconds")
}

// Run implements commander.Command.
func (l *Load) Run(ctx context.Context, e commander.Env, args []string) error {
	if len(args) > 0 {
		return &commander.UsageError{Problem: "unexpected argument " + args[0]}
	}
	if l.options.Seconds < 1 || l.options.Hosts < 1 || l.options.Engines < 1 || l.options.Tokens < 1 {
		return &commander.UsageError{Problem: "seconds, hosts, engines and tokens must be at least 1"}
	}
	l.options.Progress = func(row string) { _, _ = fmt.Fprintln(e.Stderr, "running", row) }
	if l.experiment == pathExperiment {
		return l.runPath(ctx, e.Stdout)
	}
	rows, err := Run(ctx, l.experiment, l.options)
	if err != nil {
		return err
	}
	if err := l.writeChart(rows); err != nil {
		return err
	}
	if l.json {
		return printJSON(e.Stdout, rows)
	}
	return printRows(e.Stdout, rows)
}

func (l *Load) runPath(ctx context.Context, w io.Writer) error {
	r, err := RunPath(ctx, l.options)
	if err != nil {
		return err
	}
	if l.json {
		return printJSON(w, r)
	}
	return printPath(w, r)
}

// writeChart draws the rows into the file named by the flag -plot, if it is set.
func (l *Load) writeChart(rows []Row) (err error) {
	if l.plot == "" {
		return nil
	}
	f, err := os.Create(l.plot)
	if err != nil {
		return eris.Wrap(err, "create chart")
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	return WriteChart(f, rows)
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(v), "print")
}

func printRows(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "policy\tp50 ms\tp99 ms\tratio\tfirst p50\tfirst p99\tratio\tonline/s\tbatch/s\tof idle\tworst share\trefused\tlost\tdoubled\ttwice\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t\n",
			r.Policy, r.OnlineP50, r.OnlineP99, r.OnlineP99Ratio, r.FirstTokenP50, r.FirstTokenP99, r.FirstTokenP99Ratio,
			r.OnlinePerSecond, r.BatchPerSecond, r.BatchShareOfIdle, r.WorstWorkspaceShare, r.WrongfulRefusals, r.Lost, r.DuplicateExecutions, r.DuplicateResults)
	}
	for _, r := range rows {
		for code, n := range r.RefusalCodes {
			_, _ = fmt.Fprintf(t, "%s: %d refused with %s\n", r.Policy, n, code)
		}
		for reason, n := range r.LostReasons {
			_, _ = fmt.Fprintf(t, "%s: %d lost with %s\n", r.Policy, n, reason)
		}
	}
	return eris.Wrap(t.Flush(), "print")
}

func printPath(w io.Writer, r PathReport) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "callers\tdirect p50 ms\tp99\tpath p50 ms\tp99\tadded p50 ms\tp99\trequests/s\tfailed\t")
	for _, p := range r.Rows {
		_, _ = fmt.Fprintf(t, "%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%d\t\n",
			p.Callers, p.DirectP50, p.DirectP99, p.PathP50, p.PathP99, p.AddedP50, p.AddedP99, p.PathPerSecond, p.Failed)
	}
	_, _ = fmt.Fprintf(t, "\nrequests per second and core: %.0f\nbytes per open stream: %.0f (%d streams)\n",
		r.RequestsPerCore, r.BytesPerStream, r.OpenStreams)
	return eris.Wrap(t.Flush(), "print")
}

var _ commander.Command = (*Load)(nil)
