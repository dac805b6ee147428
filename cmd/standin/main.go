// Command standin emulates one of the systems that jackdawgate depends on: the
// platform's key-value service, a model engine or a plain service. Faults can be
// injected into each of them. It is for tests and experiments only.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jackdawgate/jackdawgate/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	p := commander.Program{
		Name:     "standin",
		Short:    "emulated services for tests and experiments",
		Commands: []commander.Command{&platformCommand{}, &engineCommand{}},
	}
	e := commander.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
	code := p.Main(ctx, e, os.Args[1:])
	stop()
	os.Exit(code)
}
