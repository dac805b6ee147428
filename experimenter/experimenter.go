// Package experimenter compares policies by measurement. An experiment consists
// of rows, one for each policy or condition. For each row it starts a new fleet
// in this process (an emulated platform, emulated engines, and hosts, which
// communicate over TCP on loopback), applies the same load for the same time, and
// returns one Row.
//
// The online load is an open loop: requests arrive at instants drawn from a seed,
// however fast the fleet answers. Callers take the list of hosts from
// GET /v1/hosts, honour Retry-After, and check each answer in full. The batch load
// is one job for each workspace. Each job has more items than can be completed in
// the time, so that batch uses all the capacity that a policy leaves to it. The
// results are read and checked.
//
// Times are wall-clock times. A latency is measured from the caller's first
// attempt and includes refusals and retries.
package experimenter

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jackdawgate/jackdawgate/defaulter"

	"github.com/jackdawgate/jackdawgate/emulator"
)

// Defaults of Options.
const (
	DefaultSeconds     = 8
	DefaultHosts       = 3
	DefaultEngines     = 2
	DefaultOnlineShare = 0.35
	DefaultTokens      = 40
	DefaultSeed        = 1
)

// Options configures an experiment. Zero fields take their defaults.
type Options struct {
	// Seed determines the arrivals and prompts of the online load.
	Seed uint64
	// Seconds is how long each row is measured.
	Seconds int
	// Hosts and Engines are the numbers of hosts and of emulated engines.
	Hosts   int
	Engines int
	// OnlineShare is the online load as a fraction of the engines' capacity in
	// tokens per second.
	OnlineShare float64
	// Tokens is the mean length of an answer, in tokens.
	Tokens int
	// Engine configures the emulated engines.
	Engine emulator.EngineOptions
	// Only contains the names of the rows to run. If it is empty, all rows run.
	Only []string
	// Progress is called with the name of each row before the row starts. It may
	// be nil.
	Progress func(row string)
}

func (o Options) withDefaults() Options {
	defaulter.Set(&o.Seed, DefaultSeed)
	defaulter.Set(&o.Seconds, DefaultSeconds)
	defaulter.Set(&o.Hosts, DefaultHosts)
	defaulter.Set(&o.Engines, DefaultEngines)
	defaulter.Set(&o.OnlineShare, DefaultOnlineShare)
	defaulter.Set(&o.Tokens, DefaultTokens)
	defaulter.Set(&o.Engine.Slots, emulator.DefaultSlots)
	defaulter.Set(&o.Engine.BaseStepMicros, emulator.DefaultBaseStepMicros)
	defaulter.Set(&o.Engine.CallStepMicros, emulator.DefaultCallStepMicros)
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	return o
}

func (o Options) duration() time.Duration { return time.Duration(o.Seconds) * time.Second }

// capacity returns the number of tokens that the engines generate per second when
// all their slots are in use.
func (o Options) capacity() float64 {
	step := float64(o.Engine.BaseStepMicros+o.Engine.CallStepMicros*o.Engine.Slots) / 1e6
	return float64(o.Engines*o.Engine.Slots) / step
}

// Row contains the measurements of one policy or condition. Times are in
// milliseconds.
type Row struct {
	Policy string `json:"policy"`
	// OnlineP50 and OnlineP99 are percentiles of the latency of complete online
	// answers, FirstTokenP50 and FirstTokenP99 of the time to the first token.
	OnlineP50     float64 `json:"online-p50-ms"`
	OnlineP99     float64 `json:"online-p99-ms"`
	FirstTokenP50 float64 `json:"first-token-p50-ms"`
	FirstTokenP99 float64 `json:"first-token-p99-ms"`
	// OnlineP99Ratio and FirstTokenP99Ratio are relative to the first row that ran.
	OnlineP99Ratio     float64 `json:"online-p99-ratio"`
	FirstTokenP99Ratio float64 `json:"first-token-p99-ratio"`
	OnlinePerSecond    float64 `json:"online-requests-per-second"`
	BatchPerSecond     float64 `json:"batch-items-per-second"`
	// BatchShareOfIdle is the row's batch tokens divided by the capacity that its
	// online load leaves idle: the tokens of the row batch-alone minus the
	// online tokens of this row. It is zero if the row batch-alone did not run.
	BatchShareOfIdle float64 `json:"batch-share-of-idle"`
	// WorstWorkspaceShare is the smallest ratio of a workspace's online tokens to
	// its max-min fair share of all online tokens.
	WorstWorkspaceShare float64 `json:"worst-workspace-share"`
	// WrongfulRefusals counts all refusals. None is justified, since no workspace
	// exceeds its configured rate.
	WrongfulRefusals int `json:"wrongful-refusals"`
	// Lost counts requests and items without a complete and correct answer,
	// DuplicateExecutions those that engines ran to completion more than once,
	// and DuplicateResults items with more than one result.
	Lost                int `json:"lost"`
	DuplicateExecutions int `json:"doubled"`
	DuplicateResults    int `json:"results-twice"`
	// LostReasons counts lost online requests by the error of the last attempt.
	LostReasons map[string]int `json:"lost-reasons,omitempty"`
	// RefusalCodes counts refusals by error code.
	RefusalCodes map[string]int `json:"refusal-codes,omitempty"`

	// onlineTokens and batchTokens are in tokens per second.
	onlineTokens float64
	batchTokens  float64
}

// UnknownExperimentError reports that there is no experiment with the given name.
type UnknownExperimentError struct{ Name string }

func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("no experiment %q; there are %v", e.Name, Names())
}

// Names returns the names of the experiments that Run accepts.
func Names() []string { return []string{"yield", "route", "fair", "faults"} }

// Run runs the experiment with the given name and returns one Row for each of its
// rows. It returns an UnknownExperimentError if there is no such experiment. If a
// row fails, it returns the rows measured before together with the error.
func Run(ctx context.Context, name string, o Options) ([]Row, error) {
	o = o.withDefaults()
	if !slices.Contains(Names(), name) {
		return nil, &UnknownExperimentError{Name: name}
	}
	trials := map[string]func(Options) []trial{
		"yield": yieldTrials, "route": routeTrials, "fair": fairTrials, "faults": faultTrials,
	}[name](o)
	rows := make([]Row, 0, len(trials))
	for _, t := range trials {
		if len(o.Only) > 0 && !slices.Contains(o.Only, t.name) {
			continue
		}
		o.Progress(t.name)
		r, err := t.run(ctx, o)
		if err != nil {
			return rows, fmt.Errorf("row %s: %w", t.name, err)
		}
		rows = append(rows, r)
	}
	return fillRatios(rows), nil
}

// fillRatios sets the fields that are relative to other rows.
func fillRatios(rows []Row) []Row {
	alone := 0.0
	for _, r := range rows {
		if r.Policy == batchAlone {
			alone = r.batchTokens
		}
	}
	for i := range rows {
		r := &rows[i]
		r.OnlineP99Ratio = ratio(r.OnlineP99, rows[0].OnlineP99)
		r.FirstTokenP99Ratio = ratio(r.FirstTokenP99, rows[0].FirstTokenP99)
		if alone > 0 && r.batchTokens > 0 {
			r.BatchShareOfIdle = ratio(r.batchTokens, alone-r.onlineTokens)
		}
	}
	return rows
}

// ratio returns a/b, or zero if b is not positive.
func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}
