package operator

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// KeyGive generates a key for a workspace and prints it. The fleet stores only a hash,
// so the key cannot be printed again.
type KeyGive struct {
	apiClient
	name string
}

// Name implements commander.Command.
func (*KeyGive) Name() string { return "key give" }

// Arguments implements commander.Command.
func (*KeyGive) Arguments() string { return "WORKSPACE" }

// Short implements commander.Command.
func (*KeyGive) Short() string { return "creates a key for a workspace and prints it, only once" }

// Example implements commander.Command.
func (*KeyGive) Example() string { return "jackdawgate key give kitchen -name till-4" }

// Flags implements commander.Command.
func (k *KeyGive) Flags(f *flag.FlagSet) {
	k.apiClient.Flags(f)
	k.addChangeFlags(f)
	f.StringVar(&k.name, "name", "", "`name` of the key; default one generated from the workspace")
}

// maxIDInName is how many bytes of the change's identifier are part of a generated name.
const maxIDInName = 8

// Run implements commander.Command.
func (k *KeyGive) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "WORKSPACE"); err != nil {
		return err
	}
	id := k.name
	if id == "" {
		change := k.changeID()
		id = args[0] + "-" + change[:min(len(change), maxIDInName)]
	}
	text, key, err := authenticator.NewKey(id, args[0])
	if err != nil {
		return err
	}
	if err := k.change(ctx, e, registrar.GiveKey{Key: key}, "key "+id+" given to "+args[0]); err != nil {
		return err
	}
	_, err = fmt.Fprintln(e.Stdout, text)
	return err
}

// KeyWithdraw withdraws a key permanently.
type KeyWithdraw struct{ apiClient }

// Name implements commander.Command.
func (*KeyWithdraw) Name() string { return "key withdraw" }

// Arguments implements commander.Command.
func (*KeyWithdraw) Arguments() string { return "KEY-NAME" }

// Short implements commander.Command.
func (*KeyWithdraw) Short() string {
	return "withdraws a key permanently, also for callers that are connected"
}

// Example implements commander.Command.
func (*KeyWithdraw) Example() string { return "jackdawgate key withdraw till-4" }

// Flags implements commander.Command.
func (k *KeyWithdraw) Flags(f *flag.FlagSet) {
	k.apiClient.Flags(f)
	k.addChangeFlags(f)
}

// Run implements commander.Command.
func (k *KeyWithdraw) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "KEY-NAME"); err != nil {
		return err
	}
	return k.change(ctx, e, registrar.WithdrawKey{KeyID: args[0]}, "key "+args[0]+" withdrawn")
}

// KeyList lists keys by name. The keys themselves are not stored anywhere.
type KeyList struct{ apiClient }

// Name implements commander.Command.
func (*KeyList) Name() string { return "key list" }

// Arguments implements commander.Command.
func (*KeyList) Arguments() string { return "" }

// Short implements commander.Command.
func (*KeyList) Short() string { return "lists the names of keys" }

// Example implements commander.Command.
func (*KeyList) Example() string { return "jackdawgate key list" }

// Run implements commander.Command.
func (k *KeyList) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args); err != nil {
		return err
	}
	r, err := k.getRecord(ctx, e)
	if err != nil {
		return err
	}
	all := sortedByKey(r.Keys)
	if k.jsonOutput {
		return printJSON(e.Stdout, all)
	}
	var rows []string
	for _, o := range all {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", o.ID, o.Workspace, formatTime(o.CreatedAt)))
	}
	return writeTable(e.Stdout, "key\tworkspace\tgiven", rows)
}

// formatTime formats Unix milliseconds as UTC in RFC 3339, and zero as a dash.
func formatTime(m timer.Millis) string {
	if m == 0 {
		return "-"
	}
	return time.UnixMilli(int64(m)).UTC().Format(time.RFC3339)
}
