package operator

import (
	"context"
	"flag"
	"fmt"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/registrar"
)

// PresetSet puts a preset in force in place of the current one.
type PresetSet struct{ apiClient }

// Name implements commander.Command.
func (*PresetSet) Name() string { return "preset set" }

// Arguments implements commander.Command.
func (*PresetSet) Arguments() string { return "PRESET" }

// Short implements commander.Command.
func (*PresetSet) Short() string { return "puts a preset in force in place of the current one" }

// Example implements commander.Command.
func (*PresetSet) Example() string { return "jackdawgate preset set peak" }

// Flags implements commander.Command.
func (p *PresetSet) Flags(f *flag.FlagSet) {
	p.apiClient.Flags(f)
	p.addChangeFlags(f)
}

// Run implements commander.Command.
func (p *PresetSet) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "PRESET"); err != nil {
		return err
	}
	return p.change(ctx, e, registrar.UsePreset{Name: args[0]}, "preset "+args[0]+" set")
}

// PresetDefine creates or replaces a preset. It does not put the preset in force; if
// the preset already is, its new values take effect at once.
type PresetDefine struct {
	apiClient
	reserveSlots int
	batchShare   float64
}

// Name implements commander.Command.
func (*PresetDefine) Name() string { return "preset define" }

// Arguments implements commander.Command.
func (*PresetDefine) Arguments() string { return "PRESET" }

// Short implements commander.Command.
func (*PresetDefine) Short() string { return "defines a preset; one that is in force changes at once" }

// Example implements commander.Command.
func (*PresetDefine) Example() string {
	return "jackdawgate preset define peak -reserve-slots 4 -batch-share 0.5"
}

// Flags implements commander.Command.
func (p *PresetDefine) Flags(f *flag.FlagSet) {
	p.apiClient.Flags(f)
	p.addChangeFlags(f)
	f.IntVar(&p.reserveSlots, "reserve-slots", 0, "`slots` of each backend server that batch never takes")
	f.Float64Var(&p.batchShare, "batch-share", 1, "largest `share` of a backend server's slots for batch, 0 to 1")
}

// Run implements commander.Command.
func (p *PresetDefine) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "PRESET"); err != nil {
		return err
	}
	if p.reserveSlots < 0 || p.batchShare < 0 || p.batchShare > 1 {
		return &commander.UsageError{Problem: "-reserve-slots must not be negative, -batch-share must be from 0 to 1"}
	}
	c := registrar.PutPreset{Preset: registrar.Preset{Name: args[0], ReserveSlots: p.reserveSlots, BatchShare: p.batchShare}}
	return p.change(ctx, e, c, "preset "+args[0]+" defined")
}

// PresetShow lists presets and shows which one is in force.
type PresetShow struct{ apiClient }

// Name implements commander.Command.
func (*PresetShow) Name() string { return "preset show" }

// Arguments implements commander.Command.
func (*PresetShow) Arguments() string { return "" }

// Short implements commander.Command.
func (*PresetShow) Short() string { return "lists presets and the one in force" }

// Example implements commander.Command.
func (*PresetShow) Example() string { return "jackdawgate preset show" }

// presetList is the JSON output of PresetShow.
type presetList struct {
	InForce string             `json:"in-force"`
	Presets []registrar.Preset `json:"presets"`
}

// Run implements commander.Command.
func (p *PresetShow) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args); err != nil {
		return err
	}
	r, err := p.getRecord(ctx, e)
	if err != nil {
		return err
	}
	all := sortedByKey(r.Presets)
	if p.jsonOutput {
		return printJSON(e.Stdout, presetList{InForce: r.Preset, Presets: all})
	}
	var rows []string
	for _, o := range all {
		rows = append(rows, fmt.Sprintf("%s\t%t\t%d\t%g", o.Name, o.Name == r.Preset, o.ReserveSlots, o.BatchShare))
	}
	return writeTable(e.Stdout, "preset\tin force\treserve slots\tbatch share", rows)
}
