package soaker

import (
	"context"
	"time"
)

const (
	// drainBound is how long after a server's word a host may send it new calls.
	drainBound = 2 * time.Second
	// storeSilence is for how long the store is silent around a server's word: less
	// than hosts may go on without a confirmation.
	storeSilence = 3 * time.Second
)

// RunLeaving makes a soak in which one server says in its answers that it leaves, and
// nothing else says so: its entry stays as it is, and the store is silent to all hosts.
func RunLeaving(o Options) (Report, error) {
	return run(o, func(*soak) {}, (*soak).playLeaving)
}

func (s *soak) playLeaving() {
	loading, endLoad := context.WithCancel(context.Background())
	s.load.begin(loading, s.options.Seed)
	time.Sleep(s.options.Trouble / 2)
	for _, h := range s.world.hosts {
		h.store.set(silence{})
	}
	leaver := s.world.allServers()[0]
	leaver.Leave()
	left := time.Now()
	s.note("%s says that it leaves", leaver.ID)
	time.Sleep(storeSilence)
	for _, h := range s.world.hosts {
		h.store.set(none{})
	}
	time.Sleep(s.options.Trouble / 2)
	endLoad()
	s.load.running.Wait()
	before, after := s.world.judge.runsAt(leaver.ID, left.Add(drainBound))
	s.note("%d requests ran there before, %d after", before, after)
	if before == 0 || after > 0 {
		s.world.judge.breaks("a server that says that it leaves gets nothing new", "%d requests ran at %s before, %d after", before, leaver.ID, after)
	}
	s.checkJobs()
}

// runsAt counts the requests that a server ran before and after an instant.
func (j *judge) runsAt(server string, at time.Time) (before, after int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, runs := range j.runs {
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
