// Command jackdawgate runs a host of the serving system, or one of the operators'
// commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// After the first signal, restore the default handling, so that a second signal
	// ends the process at once.
	context.AfterFunc(ctx, stop)
	e := commander.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Terminal: isTerminal(os.Stdout)}
	code := operator.Program().Main(ctx, e, os.Args[1:])
	stop()
	os.Exit(code)
}

// isTerminal reports whether f is a character device, such as a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
