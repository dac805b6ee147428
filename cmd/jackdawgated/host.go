package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/hoster"
	"github.com/jackdawgate/jackdawgate/journaler"
	"github.com/jackdawgate/jackdawgate/measurer"
	"github.com/jackdawgate/jackdawgate/platform"
	"go.uber.org/zap"
)

// settingsFile holds the path of the settings file and the channel of requests to
// reload it.
type settingsFile struct {
	path    string
	reloads <-chan os.Signal
}

// declare defines the -settings flag on f.
func (s *settingsFile) declare(f *flag.FlagSet) {
	f.StringVar(&s.path, "settings", platform.SettingsPath(), "path of the settings file")
}

// stopper is a running host. Stop shuts it down gracefully and returns when it has
// stopped.
type stopper interface{ Stop() }

// run starts a host with the settings in the file and stops it gracefully when ctx
// is done. role is logged.
func (s *settingsFile) run(ctx context.Context, e commander.Env, role string, start func(checker.MemberSettings, hoster.Platform, *zap.Logger) (stopper, error)) error {
	settings, err := checker.LoadMember(s.path)
	if err != nil {
		return &commander.InvalidInputError{Err: err}
	}
	journal := journaler.New(e.Stdout)
	defer journal.Close()
	l := journal.Logger().With(zap.String("host", settings.Host.Name))
	l.Info("starting", zap.String("role", role), zap.String("data-centre", settings.Host.DataCentre))
	meters, err := measurer.New()
	if err != nil {
		return err
	}
	p := newPlatform(settings, meters)
	p.DroppedLines = journal.Dropped
	h, err := start(settings, p, l)
	if err != nil {
		l.Error("start host", zap.Error(err))
		return err
	}
	s.waitUntilDone(ctx, l)
	h.Stop()
	l.Info("stopped")
	return nil
}

// reloads returns a channel of reload requests (SIGHUP). The signal is handled for
// the lifetime of the process, so that one that arrives while the host starts or
// stops does not terminate the process.
func reloads() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// waitUntilDone blocks until ctx is done. The settings of a running host change only
// when its process is restarted. On a reload request the file is validated and the
// result is logged.
func (s *settingsFile) waitUntilDone(ctx context.Context, l *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.reloads:
			_, err := checker.LoadMember(s.path)
			l.Info("settings file checked; changes take effect at the next start", zap.Error(err))
		}
	}
}

// newPlatform returns the platform's adapter for a host with these settings.
func newPlatform(s checker.MemberSettings, m *measurer.Measurer) hoster.Platform {
	return hoster.Platform{
		Ledger: platform.NewLedger(s.Store.Address, m.StoreCall), Measurer: m,
		Decoder: platform.Decoder{}, Names: platform.Names(),
		MemberKey: platform.MemberKey, GroupKey: platform.GroupKey, QuarantineKey: platform.QuarantineKey,
		RetireStatusKey: platform.RetireStatusKey, RetireStatus: platform.RetireStatus,
		ReadyPath: platform.ReadyPath, DirectoryPath: platform.DirectoryPath, Addresses: platform.EncodeAddresses,
		DirectoryQuery: platform.DirectoryQuery,
		JobFormats:     platform.JobFormats(),
	}
}

// entryCommand runs an entry host, which serves callers' requests.
type entryCommand struct{ settings settingsFile }

func (*entryCommand) Name() string            { return "entry" }
func (*entryCommand) Arguments() string       { return "" }
func (*entryCommand) Short() string           { return "serve callers' requests" }
func (*entryCommand) Example() string         { return "jackdawgated entry -settings host.ini" }
func (c *entryCommand) Flags(f *flag.FlagSet) { c.settings.declare(f) }

// Run implements commander.Command.
func (c *entryCommand) Run(ctx context.Context, e commander.Env, _ []string) error {
	return c.settings.run(ctx, e, "entry", func(s checker.MemberSettings, p hoster.Platform, l *zap.Logger) (stopper, error) {
		return hoster.NewEntryHost(s, p, l)
	})
}

// bulkCommand runs a bulk host, which stores and runs batch jobs.
type bulkCommand struct{ settings settingsFile }

func (*bulkCommand) Name() string            { return "bulk" }
func (*bulkCommand) Arguments() string       { return "" }
func (*bulkCommand) Short() string           { return "store and run batch jobs" }
func (*bulkCommand) Example() string         { return "jackdawgated bulk -settings host.ini" }
func (c *bulkCommand) Flags(f *flag.FlagSet) { c.settings.declare(f) }

// Run implements commander.Command.
func (c *bulkCommand) Run(ctx context.Context, e commander.Env, _ []string) error {
	return c.settings.run(ctx, e, "bulk", func(s checker.MemberSettings, p hoster.Platform, l *zap.Logger) (stopper, error) {
		return hoster.NewBulkHost(s, p, l)
	})
}
