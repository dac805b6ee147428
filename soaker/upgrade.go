package soaker

import (
	"context"
	"math/rand/v2"
	"time"
)

// upgradePause is the time between the replacements of two hosts' programs, in which hosts
// of both versions serve.
const upgradePause = time.Second

// RunUpgrade runs a soak in which the program of each host is replaced, one host after the
// other, under load. The hosts begin with Options.Previous; if that is another program, they
// return to it and are then upgraded again.
func RunUpgrade(o Options) (Report, error) {
	if o.Previous == "" {
		o.Previous = o.Program
	}
	return run(o, func(*soak) {}, (*soak).upgradeScenario)
}

// upgradeScenario generates load, replaces the programs, and checks that nothing was lost.
func (s *soak) upgradeScenario() {
	ctx, stop := context.WithCancel(context.Background())
	s.load.start(ctx, s.options.Seed)
	s.replacePrograms(s.options.Program, "the program")
	if s.options.Previous != s.options.Program {
		s.replacePrograms(s.options.Previous, "the previous program")
		s.replacePrograms(s.options.Program, "the program again")
	}
	stop()
	s.checkAfterLoad()
}

// replacePrograms stops each host and starts it with the given program, in random order.
// The next host follows when all entry hosts are ready.
func (s *soak) replacePrograms(program, description string) {
	f := newFaultInjector(s, program)
	r := rand.New(rand.NewPCG(s.options.Seed, 21))
	for _, i := range r.Perm(len(s.env.hosts)) {
		h := s.env.hosts[i]
		time.Sleep(upgradePause)
		s.recordFault("%s gets %s", h.name, description)
		f.restart(h)
		if !s.awaitReady(recoveryBound) {
			s.env.checker.report("the fleet recovers within the bound", "not every host is ready and listed %v after the program of %s was replaced", recoveryBound, h.name)
		}
	}
}
