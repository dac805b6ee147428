package experimenter

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/jackdawgate/jackdawgate/registrar"
)

// policies contains the policies that the rows of an experiment vary, by their
// names in the settings.
type policies struct {
	share string
	route string
	// reserve is the number of slots of each backend server that batch may not use.
	reserve int
}

// fleetSpec describes the fleet under test.
type fleetSpec struct {
	hosts      int
	engines    int
	engine     emulator.EngineOptions
	workspaces []string
	// echo declares the engines as a plain service and routes POST /echo to it.
	echo bool
}

// fleet contains an emulated platform, emulated engines and hosts, which run in
// this process and communicate over loopback.
type fleet struct {
	platform *emulator.Platform
	engines  []*emulator.Engine
	hosts    []*host
	// keys maps the name of a workspace to its API key.
	keys            map[string]string
	serving         errgroup.Group
	engineAddresses []string
	// folder contains the hosts' data folders.
	folder string
}

const (
	startTimeout = 30 * time.Second
	echoService  = "echo"
	engineModel  = emulator.DefaultModel
	presetName   = "experiment"
	// bulkHosts is the number of bulk hosts, which store bulk data.
	bulkHosts = 2
)

// startFleet starts the fleet that s describes and waits until it can serve calls.
func startFleet(ctx context.Context, s fleetSpec, p policies) (f *fleet, err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f = &fleet{platform: emulator.NewPlatform(), keys: make(map[string]string)}
	defer func() {
		if err != nil {
			_ = f.close()
		}
	}()
	if f.folder, err = os.MkdirTemp("", "jackdawgate-load-"); err != nil {
		return f, eris.Wrap(err, "make data folder")
	}
	l, err := listen()
	if err != nil {
		return f, err
	}
	f.serving.Go(func() error { return f.platform.Serve(l) })
	if err := f.startEngines(s); err != nil {
		return f, err
	}
	for i := range s.hosts {
		folder := f.folder
		if i >= bulkHosts {
			folder = ""
		}
		h, err := startHost(i, l.Addr().String(), folder, p)
		if err != nil {
			return f, err
		}
		f.hosts = append(f.hosts, h)
	}
	return f, f.configure(ctx, s, p)
}

func (f *fleet) startEngines(s fleetSpec) error {
	for range s.engines {
		l, err := listen()
		if err != nil {
			return err
		}
		e := emulator.NewEngine(s.engine)
		f.engines = append(f.engines, e)
		f.engineAddresses = append(f.engineAddresses, l.Addr().String())
		f.serving.Go(func() error { return e.Serve(l) })
	}
	return nil
}

// configure waits until all hosts are members, applies the configuration and waits
// until the fleet can act on it.
func (f *fleet) configure(ctx context.Context, s fleetSpec, p policies) error {
	var joined errgroup.Group
	for _, h := range f.hosts {
		joined.Go(func() error { return h.awaitMembership(ctx) })
	}
	if err := joined.Wait(); err != nil {
		return err
	}
	changes, err := f.changes(s, p)
	if err != nil {
		return err
	}
	for _, c := range changes {
		if err := f.hosts[0].Change(ctx, c); err != nil {
			return err
		}
	}
	return f.awaitOwners(ctx)
}

// changes returns the changes that make up the configuration. It creates an API key
// for each workspace and stores its text in f.keys.
func (f *fleet) changes(s fleetSpec, p policies) ([]registrar.Change, error) {
	out := []registrar.Change{
		registrar.PutPreset{Preset: registrar.Preset{Name: presetName, ReserveSlots: p.reserve, BatchShare: 1}},
		registrar.UsePreset{Name: presetName},
	}
	for _, w := range s.workspaces {
		text, key, err := authenticator.NewKey("key-"+w, w)
		if err != nil {
			return nil, err
		}
		f.keys[w] = text
		out = append(out,
			registrar.PutWorkspace{Workspace: registrar.Workspace{Name: w, Weight: 1, RatePerSecond: 1e6, Burst: 1e6}},
			registrar.GiveKey{Key: key})
	}
	for i := range f.engines {
		out = append(out, registrar.PutServer{Server: f.backendServer(i, s)})
	}
	if s.echo {
		out = append(out, registrar.PutRoute{Route: registrar.Route{
			Name: echoService, Method: "POST", Path: "/echo", Service: echoService, Repeatable: true,
		}})
	}
	return out, nil
}

func (f *fleet) backendServer(i int, s fleetSpec) registrar.BackendServer {
	b := registrar.BackendServer{
		Name: serverName(i), Address: f.engineAddresses[i], DataCentre: fmt.Sprintf("dc%d", i%max(s.hosts, 1)),
		Kind: registrar.KindModel, Models: []string{engineModel}, Slots: s.engine.Slots,
	}
	if s.echo {
		b.Kind, b.Models, b.Service = registrar.KindPlain, nil, echoService
	}
	return b
}

func serverName(i int) string { return fmt.Sprintf("m%d", i) }

// awaitOwners waits until every host has the newest configuration and every backend
// server and workspace has an owner.
func (f *fleet) awaitOwners(ctx context.Context) error {
	version := f.hosts[0].View().Record.Version
	objects := make([]coordinator.Object, 0, len(f.engines)+len(f.keys))
	for i := range f.engines {
		objects = append(objects, coordinator.ServerObject(serverName(i)))
	}
	for w := range f.keys {
		objects = append(objects, coordinator.LimitObject(w))
	}
	for _, o := range objects {
		if err := f.awaitOwner(ctx, o, version); err != nil {
			return err
		}
	}
	return nil
}

const ownerPollInterval = 20 * time.Millisecond

func (f *fleet) awaitOwner(ctx context.Context, o coordinator.Object, version registrar.Version) error {
	for !f.hasOwner(o, version) {
		select {
		case <-time.After(ownerPollInterval):
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "no host owns %s", o)
		}
	}
	return nil
}

// hasOwner reports whether all hosts have at least the given version of the
// configuration and one of them owns o.
func (f *fleet) hasOwner(o coordinator.Object, version registrar.Version) bool {
	found := false
	for _, h := range f.hosts {
		if h.View().Record.Version < version {
			return false
		}
		found = found || h.Owns(o)
	}
	return found
}

// addresses returns the addresses on which the hosts accept callers.
func (f *fleet) addresses() []string {
	var out []string
	for _, h := range f.hosts {
		out = append(out, h.CallerAddress())
	}
	return out
}

// duplicateExecutions returns the number of calls that engines ran to completion
// more than once.
func (f *fleet) duplicateExecutions() int {
	finished := make(map[string]int)
	for _, e := range f.engines {
		for _, x := range e.Executions() {
			finished[x.Call] += x.Finished
		}
	}
	n := 0
	for _, c := range finished {
		if c > 1 {
			n++
		}
	}
	return n
}

// close stops all parts of the fleet and deletes its files. It returns the first
// error.
func (f *fleet) close() error {
	var ending errgroup.Group
	for _, h := range f.hosts {
		ending.Go(h.kill)
	}
	err := ending.Wait()
	for _, e := range f.engines {
		if x := e.Close(); err == nil {
			err = x
		}
	}
	if e := f.platform.Close(); err == nil {
		err = e
	}
	if e := f.serving.Wait(); err == nil {
		err = e
	}
	if e := os.RemoveAll(f.folder); err == nil {
		err = e
	}
	return err
}
