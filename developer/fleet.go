// Package developer runs a whole fleet in one process, for local development and
// tests. The platform and the model engines are emulated. The hosts run the same code as
// those of a real fleet and communicate over loopback TCP.
package developer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"

	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/runner"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// Options configures a Fleet. Zero fields have default values.
type Options struct {
	// CallerListeners holds the listener for callers of each host, and so sets the
	// number of hosts. The default is three listeners on free loopback ports.
	CallerListeners []net.Listener
	// Engines configures the emulated model engines. The default is two engines.
	Engines []emulator.EngineOptions
	// PlainServers is the number of emulated backend servers of the plain service
	// "echo".
	PlainServers int
	// DataFolder is the folder for bulk data. The default is a temporary folder that
	// Close removes.
	DataFolder string
	// AdminTokenHash is the SHA-256, in hex, of the operators' token.
	AdminTokenHash string
	// EditSettings, if not nil, is called before each host starts and may change its
	// settings. host is the index of the host.
	EditSettings func(host int, s *checker.Settings)
	// Logger is used by all hosts. The default discards everything.
	Logger *zap.Logger
}

// hostListMaxAge is how long callers may cache the list of hosts. It is short because
// a host that stops waits for cached lists to expire.
const hostListMaxAge = timer.Second

// defaultHostCount is the number of hosts if Options.CallerListeners is nil.
const defaultHostCount = 3

// Fleet is a running platform with its backend servers and hosts.
type Fleet struct {
	options          Options
	dataFolder       string
	removeDataFolder bool
	platform         *emulator.Platform
	storeAddress     string
	engines          []*emulator.Engine
	// engineAddresses has the listen address of each element of engines.
	engineAddresses []string
	settings        []checker.Settings
	// budget is shared by all hosts.
	budget *holder.Budget
	hosts  []*runner.Host
	// serving counts the goroutines that run emulated servers.
	serving sync.WaitGroup
}

// Start starts a Fleet. It returns when every host is ready and the configuration is in
// the record. If a step fails or ctx ends, it closes what has been started and returns
// an error.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o, dataFolder: o.DataFolder}
	if f.options.Logger == nil {
		f.options.Logger = zap.NewNop()
	}
	f.budget = holder.NewBudget(holder.Resources{}, timer.System(), holder.NewReporter(f.options.Logger, func(holder.Cause) {}))
	for _, step := range []func(context.Context) error{f.prepare, f.startPlatform, f.startEngines, f.startHosts, f.configure} {
		if err := step(ctx); err != nil {
			return nil, errors.Join(err, f.Close(ctx))
		}
	}
	return f, nil
}

// prepare replaces zero options by their defaults and creates the data folder and the
// listeners for callers.
func (f *Fleet) prepare(context.Context) error {
	if f.dataFolder == "" {
		folder, err := os.MkdirTemp("", "jackdawgate-")
		if err != nil {
			return eris.Wrap(err, "make data folder")
		}
		f.dataFolder, f.removeDataFolder = folder, true
	}
	if f.options.Engines == nil {
		f.options.Engines = make([]emulator.EngineOptions, 2)
	}
	for range f.options.PlainServers {
		f.options.Engines = append(f.options.Engines, emulator.EngineOptions{Plain: true})
	}
	if f.options.CallerListeners == nil {
		for range defaultHostCount {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return eris.Wrap(err, "listen")
			}
			f.options.CallerListeners = append(f.options.CallerListeners, l)
		}
	}
	f.settings = make([]checker.Settings, len(f.options.CallerListeners))
	return nil
}

// emulatedServer is an emulated platform or engine. Serve returns after Close.
type emulatedServer interface {
	Serve(net.Listener) error
	Close() error
}

// serve runs s in the background on a free loopback port and returns its address.
func (f *Fleet) serve(s emulatedServer) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	f.serving.Go(func() {
		if err := s.Serve(l); err != nil {
			f.options.Logger.Error("emulated server failed", zap.Error(err))
		}
	})
	return l.Addr().String(), nil
}

func (f *Fleet) startPlatform(context.Context) error {
	f.platform = emulator.NewPlatform()
	var err error
	f.storeAddress, err = f.serve(f.platform)
	return err
}

func (f *Fleet) startEngines(context.Context) error {
	for _, o := range f.options.Engines {
		e := emulator.NewEngine(o)
		address, err := f.serve(e)
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		f.engineAddresses = append(f.engineAddresses, address)
	}
	return nil
}

// startHosts starts all hosts and waits until they are ready. All peer listeners are
// opened first, since each host has the addresses of all hosts as its seeds.
func (f *Fleet) startHosts(ctx context.Context) error {
	peers := make([]net.Listener, len(f.settings))
	var seeds []string
	for i := range peers {
		var err error
		if peers[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return eris.Wrap(err, "listen")
		}
		seeds = append(seeds, peers[i].Addr().String())
	}
	for i, l := range f.options.CallerListeners {
		s, err := f.hostSettings(i, l.Addr().String(), seeds)
		if err != nil {
			return err
		}
		f.settings[i] = s
		h, err := runner.Start(s, runner.Options{Logger: f.options.Logger, CallerListener: l, PeerListener: peers[i], Budget: f.budget})
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		if err := h.AwaitReady(ctx); err != nil {
			return eris.Wrap(err, "wait until host is ready")
		}
	}
	return nil
}

// hostSettings returns the settings of host i. callers is its address for callers, and
// seeds holds the peer addresses of all hosts.
func (f *Fleet) hostSettings(i int, callers string, seeds []string) (checker.Settings, error) {
	text := fmt.Sprintf("[host]\nname = host-%d\ndata-centre = dc-%d\ncaller-listen = %s\npeer-listen = %s\n[store]\naddress = %s\n[admin]\ntoken-sha256 = %s\n",
		i+1, i+1, callers, seeds[i], f.storeAddress, f.options.AdminTokenHash)
	s, err := checker.Parse("dev", []byte(text))
	if err != nil {
		return s, err
	}
	s.Host.Seeds = seeds
	s.Host.DataFolder = filepath.Join(f.dataFolder, s.Host.Name)
	s.Store.CallsPerSecond = 100
	s.Callers.HostsFor = hostListMaxAge
	if f.options.EditSettings != nil {
		f.options.EditSettings(i, &s)
	}
	return s, nil
}

// configure adds the presets, the backend servers and the route to the plain service to
// the record.
func (f *Fleet) configure(ctx context.Context) error {
	changes := []registrar.Change{
		registrar.PutPreset{Preset: registrar.Preset{Name: "ordinary", BatchShare: 1}},
		registrar.PutPreset{Preset: registrar.Preset{Name: "peak", ReserveSlots: 4, BatchShare: 0.5}},
		registrar.PutPreset{Preset: registrar.Preset{Name: "maintenance"}},
		registrar.UsePreset{Name: "ordinary"},
	}
	for i, o := range f.options.Engines {
		changes = append(changes, registrar.PutServer{Server: f.backendServer(i, o)})
	}
	if f.options.PlainServers > 0 {
		changes = append(changes, registrar.PutRoute{Route: registrar.Route{Name: "echo", Method: "POST", Path: "/echo", Service: "echo"}})
	}
	for _, c := range changes {
		if err := f.hosts[0].Change(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// backendServer returns the entry in the record of engine i, with the engine's default
// values in place of zero options.
func (f *Fleet) backendServer(i int, o emulator.EngineOptions) registrar.BackendServer {
	b := registrar.BackendServer{
		Name: fmt.Sprintf("server-%d", i+1), Address: f.engineAddresses[i], Slots: o.Slots,
		DataCentre: fmt.Sprintf("dc-%d", i%len(f.settings)+1), Kind: registrar.KindModel, Models: o.Models,
		EnforcesFencing: o.EnforcesFencing,
	}
	if b.Slots == 0 {
		b.Slots = emulator.DefaultSlots
	}
	if o.Plain {
		b.Kind, b.Service, b.Models = registrar.KindPlain, "echo", nil
	} else if len(b.Models) == 0 {
		b.Models = []string{emulator.DefaultModel}
	}
	return b
}

// Hosts returns the hosts. Their names are host-1, host-2 and so on, in this order.
func (f *Fleet) Hosts() []*runner.Host { return f.hosts }

// Engines returns the emulated engines, followed by the servers of the plain service.
func (f *Fleet) Engines() []*emulator.Engine { return f.engines }

// EngineAddresses returns the listen address of each element of Engines.
func (f *Fleet) EngineAddresses() []string { return f.engineAddresses }

// Platform returns the emulated platform.
func (f *Fleet) Platform() *emulator.Platform { return f.platform }

// Close stops the hosts, then the emulated servers, and removes a temporary data folder.
// The hosts' hand-overs end with ctx.
func (f *Fleet) Close(ctx context.Context) error {
	var errs []error
	errs = append(errs, f.closeHosts(ctx)...)
	for _, e := range f.engines {
		errs = append(errs, e.Close())
	}
	if f.platform != nil {
		errs = append(errs, f.platform.Close())
	}
	f.serving.Wait()
	if f.removeDataFolder {
		errs = append(errs, os.RemoveAll(f.dataFolder))
	}
	return errors.Join(errs...)
}

// closeHosts stops all hosts concurrently and returns the error of each.
func (f *Fleet) closeHosts(ctx context.Context) []error {
	errs := make([]error, len(f.hosts))
	var wg sync.WaitGroup
	for i, h := range f.hosts {
		wg.Go(func() { errs[i] = h.Close(ctx) })
	}
	wg.Wait()
	return errs
}
