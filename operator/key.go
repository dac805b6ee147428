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

// KeyGive gives a workspace a key.
type KeyGive struct {
	remote
	name string
}

// Name implements commander.Command.
func (*KeyGive) Name() string { return "key give" }

// Arguments implements commander.Command.
func (*KeyGive) Arguments() string { return "WORKSPACE" }

// Short implements commander.Command.
func (*KeyGive) Short() string { return "makes a key for a workspace and prints it, once" }

// Example implements commander.Command.
func (*KeyGive) Example() string { return "jackdawgate key give kitchen -name till-4" }

// Flags implements commander.Command.
func (k *KeyGive) Flags(f *flag.FlagSet) {
	k.remote.Flags(f)
	k.changeFlags(f)
	f.StringVar(&k.name, "name", "", "`name` of the key; default one made from the workspace")
}

// Run implements commander.Command.
func (k *KeyGive) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := exactly(args, "WORKSPACE"); err != nil {
		return err
	}
	id := k.name
	if id == "" {
		id = args[0] + "-" + k.identifier()[:8]
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

// KeyWithdraw ends a key.
type KeyWithdraw struct{ remote }

// Name implements commander.Command.
func (*KeyWithdraw) Name() string { return "key withdraw" }

// Arguments implements commander.Command.
func (*KeyWithdraw) Arguments() string { return "KEY-NAME" }

// Short implements commander.Command.
func (*KeyWithdraw) Short() string {
	return "ends a key for good, also for callers that are connected"
}

// Example implements commander.Command.
func (*KeyWithdraw) Example() string { return "jackdawgate key withdraw till-4" }

// Flags implements commander.Command.
func (k *KeyWithdraw) Flags(f *flag.FlagSet) {
	k.remote.Flags(f)
	k.changeFlags(f)
}

// Run implements commander.Command.
func (k *KeyWithdraw) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := exactly(args, "KEY-NAME"); err != nil {
		return err
	}
	return k.change(ctx, e, registrar.WithdrawKey{KeyID: args[0]}, "key "+args[0]+" withdrawn")
}

// KeyList lists keys by name; the keys themselves are not kept anywhere.
type KeyList struct{ remote }

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
	if err := exactly(args); err != nil {
		return err
	}
	r, err := k.record(ctx, e)
	if err != nil {
		return err
	}
	all := sorted(r.Keys)
	if k.json {
		return printJSON(e.Stdout, all)
	}
	var rows []string
	for _, o := range all {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", o.ID, o.Workspace, instant(o.CreatedAt)))
	}
	return table(e.Stdout, "key\tworkspace\tgiven", rows)
}

// instant prints Unix milliseconds, or a dash for zero.
func instant(m timer.Millis) string {
	if m == 0 {
		return "-"
	}
	return time.UnixMilli(int64(m)).UTC().Format(time.RFC3339)
}
