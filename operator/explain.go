package operator

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/explainer"
	"github.com/rotisserie/eris"
)

// Explain reports what happened to a request, job or item. It reads the logs of the
// hosts from the given files, or from standard input if none are given.
type Explain struct{}

// Name implements commander.Command.
func (*Explain) Name() string { return "explain" }

// Arguments implements commander.Command.
func (*Explain) Arguments() string { return "ID [FILE...]" }

// Short implements commander.Command.
func (*Explain) Short() string {
	return "reports from hosts' logs what happened to a request, job or item"
}

// Example implements commander.Command.
func (*Explain) Example() string { return "jackdawgate explain 9c41d07be2a35f68 host-*.log" }

// Flags implements commander.Command.
func (*Explain) Flags(*flag.FlagSet) {}

// Run implements commander.Command.
func (*Explain) Run(_ context.Context, e commander.Env, args []string) error {
	if len(args) == 0 {
		return &commander.UsageError{Problem: "name a request, job or item"}
	}
	var lines []explainer.Line
	add := func(r io.Reader) error {
		l, err := explainer.Read(r)
		lines = append(lines, l...)
		return eris.Wrap(err, "read logs")
	}
	if len(args) == 1 {
		if err := add(e.Stdin); err != nil {
			return err
		}
	}
	for _, path := range args[1:] {
		if err := readFile(path, add); err != nil {
			return err
		}
	}
	return explainer.Explain(args[0], lines).Write(e.Stdout)
}

// readFile calls add with the contents of the file at path.
func readFile(path string, add func(io.Reader) error) error {
	f, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	return add(f)
}
