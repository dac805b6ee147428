package emulator

import "github.com/jackdawgate/jackdawgate/timer"

// Default values of EngineOptions. The step times and slots correspond to a small
// model on an engine with continuous batching, scaled down to keep runs short.
const (
	DefaultModel                = "standin-small"
	DefaultSlots                = 16
	DefaultBaseStepMicros       = 5000
	DefaultCallStepMicros       = 200
	DefaultPrefillMicros        = 20
	DefaultPrefillTokensPerStep = 512
	DefaultCacheBlocks          = 4096
	DefaultLoadLag              = 200 * timer.Millis(1)
	DefaultCacheEventLag        = 500 * timer.Millis(1)
	DefaultCacheEventGap        = 10
	DefaultOrderTime            = 300 * timer.Millis(1)
	DefaultMaxTokens            = 16
	DefaultReceivedLimit        = 10_000
)

// BlockTokens is the number of prompt tokens in a block of the prefix cache, and
// TokenBytes is the number of prompt bytes in a token.
const (
	BlockTokens = 16
	TokenBytes  = 4
)

// EngineOptions configures an Engine. Zero values select the defaults.
type EngineOptions struct {
	// Models are the models that are loaded at startup.
	Models []string
	// Plain makes the engine a plain service, which responds to requests for
	// paths that are not the engine's own with the request's body after
	// PlainTime.
	Plain     bool
	PlainTime timer.Millis
	// Slots is the maximum number of calls that run concurrently. Further calls
	// wait and are started in order of arrival.
	Slots int
	// MaxWaiting is the maximum number of waiting calls; further calls are
	// refused. Zero means no limit.
	MaxWaiting int
	// A step generates one token for each running call. Its duration is the sum of
	// BaseStepMicros, CallStepMicros for each running call, and PrefillMicros for
	// each prompt token that it processes, all in microseconds.
	BaseStepMicros int
	CallStepMicros int
	PrefillMicros  int
	// PrefillTokensPerStep is the maximum number of prompt tokens that a step
	// processes.
	PrefillTokensPerStep int
	// CacheBlocks is the capacity of the prefix cache, in blocks.
	CacheBlocks int
	// LoadLag is the age of the figures in a load report.
	LoadLag timer.Millis
	// CacheEventLag is the delay until a cache event is published. One in every
	// CacheEventGap events is never published.
	CacheEventLag timer.Millis
	CacheEventGap int
	// OrderTime is the time until an order takes effect.
	OrderTime timer.Millis
	// EnforcesFencing makes the engine refuse an order whose epoch is lower than
	// that of an earlier order.
	EnforcesFencing bool
	// MaxTokens is the length of an answer whose request does not specify one.
	MaxTokens int
	// ReceivedLimit is how many of the latest requests Received returns.
	ReceivedLimit int
	// Faults are the faults that are injected from startup.
	Faults EngineFaults
}

func (o EngineOptions) withDefaults() EngineOptions {
	if len(o.Models) == 0 && !o.Plain {
		o.Models = []string{DefaultModel}
	}
	orDefault(&o.Slots, DefaultSlots)
	orDefault(&o.BaseStepMicros, DefaultBaseStepMicros)
	orDefault(&o.CallStepMicros, DefaultCallStepMicros)
	orDefault(&o.PrefillMicros, DefaultPrefillMicros)
	orDefault(&o.PrefillTokensPerStep, DefaultPrefillTokensPerStep)
	orDefault(&o.CacheBlocks, DefaultCacheBlocks)
	orDefault(&o.LoadLag, DefaultLoadLag)
	orDefault(&o.CacheEventLag, DefaultCacheEventLag)
	orDefault(&o.CacheEventGap, DefaultCacheEventGap)
	orDefault(&o.OrderTime, DefaultOrderTime)
	orDefault(&o.MaxTokens, DefaultMaxTokens)
	orDefault(&o.ReceivedLimit, DefaultReceivedLimit)
	return o
}

// orDefault sets *v to d if it is not positive.
func orDefault[T int | timer.Millis](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
