package soaker

import (
	"context"
	"time"
)

const (
	// leaveBound is how long after a server's leave notice hosts may still send it new
	// calls.
	leaveBound = 2 * time.Second
	// storeOutage is how long the store does not answer, from just before the leave
	// notice on. It is shorter than the time that hosts may serve without a
	// confirmation.
	storeOutage = 3 * time.Second
)

// RunLeaving runs a soak in which one server announces only in its responses that it
// is leaving: its entry does not change, and the store does not answer any host.
func RunLeaving(o Options) (Report, error) {
	return run(o, func(*soak) {}, (*soak).leaveScenario)
}

// leaveScenario generates load, lets one server announce that it is leaving, and
// checks that no request is sent to it afterwards.
func (s *soak) leaveScenario() {
	loadCtx, stopLoad := context.WithCancel(context.Background())
	s.load.start(loadCtx, s.options.Seed)
	time.Sleep(s.options.FaultPeriod / 2)
	s.env.stallStore()
	leaver := s.env.allServers()[0]
	leaver.AnnounceLeaving()
	leftAt := time.Now()
	s.recordFault("server %s announces that it is leaving", leaver.ID)
	time.Sleep(storeOutage)
	s.env.resumeStore()
	time.Sleep(s.options.FaultPeriod / 2)
	stopLoad()
	s.load.wg.Wait()
	before, after := s.env.checker.runsAt(leaver.ID, leftAt.Add(leaveBound))
	s.recordFault("%d requests ran at the leaving server before the bound, %d after", before, after)
	if before == 0 || after > 0 {
		s.env.checker.report("a leaving server gets no new requests", "%d requests ran at %s before the bound, %d after", before, leaver.ID, after)
	}
	s.checkJobs()
}

// runsAt counts the runs that a server started before the given time, and at or
// after it.
func (c *checker) runsAt(server string, at time.Time) (before, after int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, runs := range c.runs {
		for _, r := range runs {
			switch {
			case r.Server != server:
			case r.At.Before(at):
				before++
			default:
				after++
			}
		}
	}
	return before, after
}
