package soaker

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
)

// Slack that the promises of the pages allow.
const (
	// quotaWindow is the window of a quota, quotaOver and quotaSlack what may be
	// admitted beyond it.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// cutMost is how many whole answers of servers may be lost at hosts that are
	// in touch.
	cutMost = 3
)

// judge checks promises by what callers and backend servers see. It is safe for
// concurrent use.
type judge struct {
	mu       sync.Mutex
	broken   []string
	runs     map[string][]standin.Run
	attempts map[string]standin.Attempt
	// withdrawn is when the store took a withdrawal of a key.
	withdrawn map[string]time.Time
	// cut are attempts without the whole answer that a server gave.
	cut []string
	// counts of attempts, runs and jobs, for the report.
	answered, refused, failed int
}

func newJudge() *judge {
	return &judge{runs: make(map[string][]standin.Run), attempts: make(map[string]standin.Attempt), withdrawn: make(map[string]time.Time)}
}

// breaks records a broken promise.
func (j *judge) breaks(promise, format string, arguments ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.note(promise, format, arguments...)
}

// any says whether any promise was broken.
func (j *judge) any() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.broken) > 0
}

// note is breaks with j locked.
func (j *judge) note(promise, format string, arguments ...any) {
	j.broken = append(j.broken, promise+": "+fmt.Sprintf(format, arguments...))
}

// ran takes a request that a server began to run, or answered whole.
func (j *judge) ran(r standin.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r.Key {
		j.note("keys are never passed on", "request %s at %s", r.ID, r.Server)
	}
	if r.Whole {
		for i, o := range j.runs[r.ID] {
			if o.At.Equal(r.At) {
				j.runs[r.ID][i] = r
			}
		}
		return
	}
	j.runs[r.ID] = append(j.runs[r.ID], r)
	if a, ok := j.attempts[r.ID]; ok {
		j.checkRun(a, r)
	}
}

// checkRun checks a run of an attempt that is known; j is locked.
func (j *judge) checkRun(a standin.Attempt, r standin.Run) {
	if at, ok := j.withdrawn[a.Key]; ok && r.At.Sub(at) > revoke {
		j.note("withdrawn keys stop working in time", "request %s ran %v after its key was withdrawn", r.ID, r.At.Sub(at))
	}
	if !a.Ended.IsZero() && a.Promised() {
		j.note("a refusal that says so was not run", "request %s was answered %d and runs at %s", r.ID, a.Status, r.Server)
	}
	if a.Route.Kind == standin.NonIdempotent.Kind || (a.Route.Kind == standin.Streaming.Kind && !a.Route.Resumable) {
		if n := len(j.runs[a.ID]); n > 1 {
			j.note("what is not idempotent runs once", "request %s ran %d times", a.ID, n)
		}
	}
}

// begins takes an attempt that is about to be made.
func (j *judge) begins(a standin.Attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts[a.ID] = a
}

// ends takes an attempt with its answer. held says that the key has been in
// force for long and still is; calm that its host was in touch all the time.
func (j *judge) ends(a standin.Attempt, held, calm bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts[a.ID] = a
	for _, r := range j.runs[a.ID] {
		j.checkRun(a, r)
	}
	switch {
	case errors.Is(a.Err, standin.ErrOtherAnswer):
		j.note("answers are whole and unchanged", "request %s of %s", a.ID, a.Path)
	case held && (a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound || a.Status == http.StatusForbidden):
		j.note("what all configurations allow is not denied", "request %s was answered %d by %s", a.ID, a.Status, a.Address)
	case a.Status == http.StatusServiceUnavailable && !a.ComeBack:
		j.note("a refusal says when to come back", "request %s was answered %d", a.ID, a.Status)
	}
	j.count(a)
	if a.Status == 0 && calm && a.Ended.Sub(a.Sent) < patience && j.answeredWhole(a.ID) {
		j.cut = append(j.cut, fmt.Sprintf("%s at %s: %v", a.ID, a.Address, a.Err))
	}
}

func (j *judge) count(a standin.Attempt) {
	switch {
	case a.Status == http.StatusOK:
		j.answered++
	case a.Promised():
		j.refused++
	default:
		j.failed++
	}
}

func (j *judge) answeredWhole(id string) bool {
	for _, r := range j.runs[id] {
		if r.Whole {
			return true
		}
	}
	return false
}

// withdraws records that a key was withdrawn; the store had answered by now.
func (j *judge) withdraws(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.withdrawn[key] = time.Now()
}

// checkQuota checks what servers ran of a workspace's online requests.
func (j *judge) checkQuota(workspace string, rate, burst float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var times []time.Time
	for id, runs := range j.runs {
		if a, ok := j.attempts[id]; ok && a.Route.Kind != standin.Batch.Kind && runs[0].Workspace == workspace {
			times = append(times, runs[0].At)
		}
	}
	most := (rate*quotaWindow.Seconds()+burst)*(1+quotaOver) + quotaSlack
	for _, from := range times {
		n := 0
		for _, t := range times {
			if !t.Before(from) && t.Sub(from) < quotaWindow {
				n++
			}
		}
		if float64(n) > most {
			j.note("quotas hold over all hosts", "%d requests of %s ran in %v, %g may", n, workspace, quotaWindow, most)
			return
		}
	}
}

// checkCut checks how many answers were lost on their way.
func (j *judge) checkCut() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.cut) > cutMost {
		j.note("answers are delivered", "%d whole answers of servers were not: %v", len(j.cut), j.cut[:cutMost])
	}
}
