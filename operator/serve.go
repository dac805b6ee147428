package operator

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/runner"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// handOverTimeout limits the time to leave the fleet after the open calls have ended.
const handOverTimeout = 20 * time.Second

// Serve runs one host until its context is cancelled. It prints the host's address when
// the host is ready to serve callers.
type Serve struct{ settingsFile string }

// Name implements commander.Command.
func (*Serve) Name() string { return "serve" }

// Arguments implements commander.Command.
func (*Serve) Arguments() string { return "" }

// Short implements commander.Command.
func (*Serve) Short() string { return "runs one host" }

// Example implements commander.Command.
func (*Serve) Example() string { return "jackdawgate serve -settings host.ini" }

// Flags implements commander.Command.
func (s *Serve) Flags(f *flag.FlagSet) {
	f.StringVar(&s.settingsFile, "settings", "", "settings `file`")
}

// Run implements commander.Command.
func (s *Serve) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args); err != nil {
		return err
	}
	if s.settingsFile == "" {
		return &commander.UsageError{Problem: "give -settings"}
	}
	settings, err := checker.Load(s.settingsFile)
	if err != nil {
		return &commander.InvalidInputError{Err: err}
	}
	logger, err := newLogger(settings.Log.Level)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	h, err := runner.Start(settings, runner.Options{Logger: logger})
	if err != nil {
		return err
	}
	if err := h.AwaitReady(ctx); err == nil {
		_, _ = fmt.Fprintf(e.Stdout, "ready http://%s\n", h.CallerAddress())
	}
	<-ctx.Done()
	return closeHost(h, settings)
}

// closeHost stops h. Open calls may take as long as the setting drain-for allows.
func closeHost(h *runner.Host, s checker.Settings) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Callers.DrainFor.Duration()+handOverTimeout)
	defer cancel()
	return h.Close(ctx)
}

// newLogger returns a logger that writes entries of at least the given level as JSON
// lines to standard error. It drops none: sampling is off.
func newLogger(level string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Sampling = nil
	c.EncoderConfig.TimeKey = "time"
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	c.DisableStacktrace = true
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "parse log level")
	}
	c.Level = l
	logger, err := c.Build()
	return logger, eris.Wrap(err, "create logger")
}
