package main

import (
	"context"
	"flag"
	"strings"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/jackdawgate/jackdawgate/timer"
)

// engineCommand serves an emulated model engine or plain service.
type engineCommand struct {
	listen string
	models string
	// faults is JSON, as for decodeFaults.
	faults string
	// loadLag, orderTime and plainTime are in milliseconds.
	loadLag   int64
	orderTime int64
	plainTime int64
	options   emulator.EngineOptions
}

// Name implements commander.Command.
func (*engineCommand) Name() string { return "engine" }

// Arguments implements commander.Command.
func (*engineCommand) Arguments() string { return "" }

// Short implements commander.Command.
func (*engineCommand) Short() string {
	return "serves a model engine with continuous batching, or with -plain a plain service"
}

// Example implements commander.Command.
func (*engineCommand) Example() string {
	return `standin engine -listen 127.0.0.1:8600 -models standin-small -slots 16 -faults '{"crash-marker":"poison"}'`
}

// Flags implements commander.Command.
func (e *engineCommand) Flags(f *flag.FlagSet) {
	o := &e.options
	f.StringVar(&e.listen, "listen", "127.0.0.1:8600", "address to listen on")
	f.StringVar(&e.models, "models", emulator.DefaultModel, "models loaded at startup, separated by commas")
	f.BoolVar(&o.Plain, "plain", false, "serve a plain service that echoes each request")
	f.Int64Var(&e.plainTime, "plain-time-ms", 0, "time that a call of a plain service takes, in milliseconds")
	f.IntVar(&o.Slots, "slots", emulator.DefaultSlots, "maximum number of calls that run concurrently")
	f.IntVar(&o.MaxWaiting, "max-waiting", 0, "maximum number of waiting calls; further calls are refused; 0 for no limit")
	f.IntVar(&o.BaseStepMicros, "base-step-us", emulator.DefaultBaseStepMicros, "base time of a step, in microseconds")
	f.IntVar(&o.CallStepMicros, "call-step-us", emulator.DefaultCallStepMicros, "additional time of a step for each running call, in microseconds")
	f.IntVar(&o.PrefillMicros, "prefill-us", emulator.DefaultPrefillMicros, "additional time for each prompt token that is processed, in microseconds")
	f.IntVar(&o.PrefillTokensPerStep, "prefill-tokens", emulator.DefaultPrefillTokensPerStep, "maximum number of prompt tokens that one step processes")
	f.IntVar(&o.CacheBlocks, "cache-blocks", emulator.DefaultCacheBlocks, "size of the prefix cache, in blocks of 16 tokens")
	f.Int64Var(&e.loadLag, "load-lag-ms", int64(emulator.DefaultLoadLag), "age of the load report, in milliseconds")
	f.Int64Var(&e.orderTime, "order-time-ms", int64(emulator.DefaultOrderTime), "time that an order takes, in milliseconds")
	f.BoolVar(&o.EnforcesFencing, "enforces-fencing", false, "refuse orders with a stale epoch")
	f.StringVar(&e.faults, "faults", "", "faults injected from startup, as the JSON of POST /faults")
}

// Run implements commander.Command.
func (e *engineCommand) Run(ctx context.Context, v commander.Env, args []string) error {
	if len(args) > 0 {
		return &commander.UsageError{Problem: "unexpected argument " + args[0]}
	}
	o := e.options
	if !o.Plain {
		o.Models = strings.Split(e.models, ",")
	}
	o.LoadLag, o.OrderTime, o.PlainTime = timer.Millis(e.loadLag), timer.Millis(e.orderTime), timer.Millis(e.plainTime)
	if err := decodeFaults(e.faults, &o.Faults); err != nil {
		return err
	}
	return serve(ctx, emulator.NewEngine(o), e.listen, v.Stdout)
}
