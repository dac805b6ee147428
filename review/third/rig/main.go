//go:build review

// Command rig starts a small fleet of the deployed programs beside stand-ins of the store, the
// servers and the clients, plays one scenario, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment the scenario leaves its disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// runLimit is the time after which a scenario is given up.
const runLimit = 115 * time.Second

// scenario plays one case. It reports whether the rule was broken, or an error if the case
// could not run.
type scenario func(w *world, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"untrue-refuse": untrueRefusal,
	"removed-route": removedRoute,
	"open-route":    openRoute,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO RECORD-FILE")
		return exitFailed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		return exitFailed
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ended := make(chan int, 1)
	go func() { ended <- w.play(scenarios[os.Args[1]], os.Getenv("TROUBLE") != "0") }()
	select {
	case code := <-ended:
		return code
	case <-signals:
		w.logf("interrupted")
	case <-time.After(runLimit):
		w.logf("given up after %s", runLimit)
	}
	return exitFailed
}

// play plays a scenario and returns the exit code.
func (w *world) play(s scenario, trouble bool) int {
	w.logf("disruption: %t", trouble)
	broken, err := s(w, trouble)
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		return exitFailed
	case broken:
		w.logf("result: the rule was broken")
		return exitBroken
	}
	w.logf("result: the rule held")
	return exitHeld
}
