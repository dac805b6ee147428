// Package commander runs a command-line program that consists of subcommands. Each
// subcommand is a small struct that holds the values of its flags, documents its
// usage and runs.
//
// All subcommands use the same exit codes: ExitOK on success, ExitFailed if the
// command failed or was refused, and ExitUsage if its arguments or an input file
// were invalid.
package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Command is one subcommand. Its methods are called in one goroutine; Flags is
// called once, before Run.
type Command interface {
	// Name returns the one or two words that select the command, such as "key give".
	Name() string
	// Arguments returns the positional arguments as the usage line shows them, such
	// as "WORKSPACE". It may be empty.
	Arguments() string
	// Short returns a one-line description.
	Short() string
	// Example returns a complete command line.
	Example() string
	// Flags defines the command's flags on f.
	Flags(f *flag.FlagSet)
	// Run executes the command. args holds the positional arguments.
	Run(ctx context.Context, e Env, args []string) error
}

// Env provides the parts of the process's environment that a command may use.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Getenv reads an environment variable.
	Getenv func(string) string
	// Terminal is true if Stdout is a terminal.
	Terminal bool
}

// UsageError reports that a command was called with invalid flags or arguments.
// The program prints the command's help and exits with ExitUsage.
type UsageError struct{ Problem string }

func (e *UsageError) Error() string { return e.Problem }

// InvalidInputError reports that a file that was given to a command is invalid. The
// program exits with ExitUsage but does not print the command's help.
type InvalidInputError struct{ Err error }

func (e *InvalidInputError) Error() string { return e.Err.Error() }

func (e *InvalidInputError) Unwrap() error { return e.Err }

// Program is a named set of commands.
type Program struct {
	Name     string
	Short    string
	Commands []Command
}

// Main runs the command that args select and returns the exit code. args excludes
// the program's name.
func (p Program) Main(ctx context.Context, e Env, args []string) int {
	c, rest := p.findCommand(args)
	if c == nil {
		return p.handleUnknown(e, args)
	}
	f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	f.SetOutput(io.Discard)
	c.Flags(f)
	positional, err := parseArgs(f, rest)
	switch {
	case errors.Is(err, flag.ErrHelp):
		p.printHelp(e.Stdout, c, f)
		return ExitOK
	case err != nil:
		err = &UsageError{Problem: err.Error()}
	default:
		err = c.Run(ctx, e, positional)
	}
	return p.report(e, c, f, err)
}

// parseArgs parses args into f and returns the positional arguments. Flags may
// stand before, between and after them.
func parseArgs(f *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := f.Parse(args); err != nil {
			return nil, err
		}
		if f.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, f.Arg(0))
		args = f.Args()[1:]
	}
}

// report prints err, if any, and returns the exit code.
func (p Program) report(e Env, c Command, f *flag.FlagSet, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(e.Stderr, "%s %s: %v\n", p.Name, c.Name(), err)
	var u *UsageError
	if errors.As(err, &u) {
		p.printHelp(e.Stderr, c, f)
		return ExitUsage
	}
	var r *InvalidInputError
	if errors.As(err, &r) {
		return ExitUsage
	}
	return ExitFailed
}

// findCommand returns the command with the longest name that args start with, and
// the remaining args. It returns nil if no command matches.
func (p Program) findCommand(args []string) (Command, []string) {
	var best Command
	words := 0
	for _, c := range p.Commands {
		name := strings.Fields(c.Name())
		if len(name) > words && len(args) >= len(name) && slices.Equal(name, args[:len(name)]) {
			best, words = c, len(name)
		}
	}
	if best == nil {
		return nil, nil
	}
	return best, args[words:]
}

// handleUnknown handles args that select no command: it lists the commands if args
// are empty or request help, and otherwise suggests the command with the most
// similar name.
func (p Program) handleUnknown(e Env, args []string) int {
	if len(args) == 0 {
		p.printCommands(e.Stderr)
		return ExitUsage
	}
	if slices.Contains([]string{"help", "-h", "-help", "--help"}, args[0]) {
		p.printCommands(e.Stdout)
		return ExitOK
	}
	words := strings.Join(args[:min(2, len(args))], " ")
	closest := slices.MinFunc(p.Commands, func(a, b Command) int {
		return levenshtein.ComputeDistance(words, a.Name()) - levenshtein.ComputeDistance(words, b.Name())
	})
	_, _ = fmt.Fprintf(e.Stderr, "%s: no command %q; did you mean %q?\n", p.Name, words, closest.Name())
	return ExitUsage
}

func (p Program) printCommands(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: %s\n\n", p.Name, p.Short)
	for _, c := range p.Commands {
		_, _ = fmt.Fprintf(w, "  %-20s %s\n", c.Name(), c.Short())
	}
	_, _ = fmt.Fprintf(w, "\n%s COMMAND -h shows the help of a command.\n", p.Name)
}

func (p Program) printHelp(w io.Writer, c Command, f *flag.FlagSet) {
	line := strings.TrimSpace(fmt.Sprintf("%s %s [flags] %s", p.Name, c.Name(), c.Arguments()))
	_, _ = fmt.Fprintf(w, "usage: %s\n\n%s\n\n", line, c.Short())
	f.SetOutput(w)
	f.PrintDefaults()
	_, _ = fmt.Fprintf(w, "\nexample:\n  %s\n", c.Example())
}
