package operator

import (
	"context"
	"flag"
	"fmt"

	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/commander"
)

// SettingsCheck validates a host's settings file and reports all errors in it.
type SettingsCheck struct{}

// Name implements commander.Command.
func (*SettingsCheck) Name() string { return "settings check" }

// Arguments implements commander.Command.
func (*SettingsCheck) Arguments() string { return "FILE" }

// Short implements commander.Command.
func (*SettingsCheck) Short() string { return "checks a settings file and reports every error" }

// Example implements commander.Command.
func (*SettingsCheck) Example() string { return "jackdawgate settings check host.ini" }

// Flags implements commander.Command.
func (*SettingsCheck) Flags(*flag.FlagSet) {}

// Run implements commander.Command.
func (*SettingsCheck) Run(_ context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "FILE"); err != nil {
		return err
	}
	if _, err := checker.Load(args[0]); err != nil {
		return &commander.InvalidInputError{Err: err}
	}
	_, err := fmt.Fprintf(e.Stdout, "%s is right\n", args[0])
	return err
}
