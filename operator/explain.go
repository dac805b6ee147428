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

// Explain tells what happened to a request, job or item, from hosts' logs.
type Explain struct{}

// Name implements commander.Command.
func (*Explain) Name() string { return "explain" }

// Arguments implements commander.Command.
func (*Explain) Arguments() string { return "ID [FILE...]" }

// Short implements commander.Command.
func (*Explain) Short() string {
	return "tells from hosts' logs what happened to a request, job or item"
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
		if err := addFile(path, add); err != nil {
			return err
		}
	}
	return explainer.Explain(args[0], lines).Write(e.Stdout)
}

func addFile(path string, add func(io.Reader) error) error {
	f, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	return add(f)
}
