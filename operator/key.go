package operator

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// KeyGive generates a key for a workspace and prints it. The fleet stores only a hash,
// so the key cannot be printed again.
type KeyGive struct {
	apiClient
	name string
	file string
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
	f.StringVar(&k.file, "key-file", "", "`file` that keeps the key, so that the command can be repeated with -id; created if there is none")
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
	n, err := k.newKey(id, args[0])
	if err != nil {
		return err
	}
	err = k.change(ctx, e, registrar.GiveKey{Key: n.Key}, "key "+id+" given to "+args[0])
	if k.file == "" && outcomeUnknown(err) {
		return eris.Wrapf(err, "the key is lost; if it was given, withdraw %s; with -key-file the command can be repeated", id)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(e.Stdout, n.Text)
	return err
}

// newKey is a key before it is given: the text that callers send and the entry for the
// record.
type newKey struct {
	Text string        `json:"text"`
	Key  registrar.Key `json:"key"`
}

// newKey returns the key in the file, if one is named and exists, or a new one, which it
// writes to the file before it is given.
func (k *KeyGive) newKey(id, workspace string) (newKey, error) {
	var n newKey
	if k.file != "" {
		data, err := os.ReadFile(k.file)
		switch {
		case err == nil:
			return k.decodeKey(data, id, workspace)
		case !errors.Is(err, fs.ErrNotExist):
			return n, eris.Wrap(err, "read key file")
		}
	}
	var err error
	if n.Text, n.Key, err = authenticator.NewKey(id, workspace); err != nil || k.file == "" {
		return n, err
	}
	data, err := json.Marshal(n)
	if err != nil {
		return n, eris.Wrap(err, "encode key file")
	}
	return n, eris.Wrap(os.WriteFile(k.file, data, 0o600), "write key file")
}

// decodeKey decodes the key file. It returns an error if the file has another key.
func (k *KeyGive) decodeKey(data []byte, id, workspace string) (newKey, error) {
	var n newKey
	if err := json.Unmarshal(data, &n); err != nil {
		return n, eris.Wrapf(err, "decode key file %s", k.file)
	}
	if n.Key.ID != id || n.Key.Workspace != workspace {
		return n, eris.Errorf("key file %s has key %q of workspace %q", k.file, n.Key.ID, n.Key.Workspace)
	}
	return n, nil
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
