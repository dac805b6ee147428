// Command jackdawgated runs one host of the serving system on a platform's store.
// The subcommand "entry" serves callers' requests; "bulk" stores and runs batch
// jobs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jackdawgate/jackdawgate/commander"
)

func main() {
	settings := settingsFile{reloads: reloads()}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	e := commander.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
	p := commander.Program{
		Name: "jackdawgated", Short: "one host of the serving system on a platform's store",
		Commands: []commander.Command{&entryCommand{settings}, &bulkCommand{settings}},
	}
	code := p.Main(ctx, e, os.Args[1:])
	stop()
	os.Exit(code)
}
