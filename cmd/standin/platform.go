package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/jackdawgate/jackdawgate/storer"
)

// platformCommand serves the emulated key-value service of the platform.
type platformCommand struct {
	listen string
	// hosts is the list of hosts, as parseHosts takes it.
	hosts string
	// faults is JSON, as for decodeFaults.
	faults string
}

// Name implements commander.Command.
func (*platformCommand) Name() string { return "platform" }

// Arguments implements commander.Command.
func (*platformCommand) Arguments() string { return "" }

// Short implements commander.Command.
func (*platformCommand) Short() string {
	return "serves the platform's key-value service and list of hosts, in memory"
}

// Example implements commander.Command.
func (*platformCommand) Example() string {
	return `standin platform -listen 127.0.0.1:8500 -hosts h1=127.0.0.1:8480 -faults '{"delay-ms":5}'`
}

// Flags implements commander.Command.
func (p *platformCommand) Flags(f *flag.FlagSet) {
	f.StringVar(&p.listen, "listen", "127.0.0.1:8500", "address to listen on")
	f.StringVar(&p.hosts, "hosts", "", "list of hosts, as NAME=ADDRESS,NAME=ADDRESS")
	f.StringVar(&p.faults, "faults", "", "faults injected from startup, as the JSON of POST /faults")
}

// Run implements commander.Command.
func (p *platformCommand) Run(ctx context.Context, v commander.Env, args []string) error {
	if len(args) > 0 {
		return &commander.UsageError{Problem: "unexpected argument " + args[0]}
	}
	hosts, err := parseHosts(p.hosts)
	if err != nil {
		return err
	}
	var f emulator.PlatformFaults
	if err := decodeFaults(p.faults, &f); err != nil {
		return err
	}
	s := emulator.NewPlatform()
	s.SetHosts(hosts)
	s.SetFaults(f)
	return serve(ctx, s, p.listen, v.Stdout)
}

// parseHosts parses a comma-separated list of NAME=ADDRESS.
func parseHosts(text string) ([]storer.Host, error) {
	if text == "" {
		return nil, nil
	}
	var hosts []storer.Host
	for _, part := range strings.Split(text, ",") {
		name, address, ok := strings.Cut(part, "=")
		if !ok || name == "" || address == "" {
			return nil, &commander.UsageError{Problem: fmt.Sprintf("-hosts: %q is not NAME=ADDRESS", part)}
		}
		hosts = append(hosts, storer.Host{Name: name, Address: address})
	}
	return hosts, nil
}
