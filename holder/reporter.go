package holder

import (
	"net"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Cause says why the budget refused something.
type Cause string

// All causes.
const (
	// MemoryShed: a body was shed to make room for another.
	MemoryShed Cause = "memory-shed"
	// MemoryRefused: a body found no memory.
	MemoryRefused Cause = "memory-refused"
	// ConnectionShed: an idle or stalled connection was closed to make room for another.
	ConnectionShed Cause = "connection-shed"
	// ConnectionRefused: a new connection found no room.
	ConnectionRefused Cause = "connection-refused"
	// SlowBody: a body fell below the minimum rate.
	SlowBody Cause = "slow-body"
)

// Refusal is one decision of the budget against a connection.
type Refusal struct {
	Cause Cause
	// Address is the remote address.
	Address string
	// Bytes is what the connection held, Waited how long it had made no progress.
	Bytes  int64
	Waited timer.Millis
}

const (
	// reportInterval is the least time between two log lines about refusals of one cause.
	reportInterval = time.Second
	// maxReported bounds the addresses that are counted between two lines.
	maxReported = 1024
)

// Reporter counts refusals and logs a summary of them, of each cause at most once a second. A
// nil Reporter does nothing. It is safe for concurrent use.
type Reporter struct {
	logger *zap.Logger
	count  func(Cause)

	mu      sync.Mutex
	summary map[Cause]*summary
}

// summary is what a cause's next log line says.
type summary struct {
	refusals int
	// addresses counts refusals by IP address.
	addresses map[string]int
	// largest is the refusal that held the most.
	largest Refusal
	// scheduled is set while a line is to come.
	scheduled bool
}

// NewReporter returns a Reporter that logs to l and calls count for each refusal.
func NewReporter(l *zap.Logger, count func(Cause)) *Reporter {
	return &Reporter{logger: l, count: count, summary: make(map[Cause]*summary)}
}

// Report records a refusal that was decided elsewhere.
func (r *Reporter) Report(x Refusal) { r.report(x) }

func (r *Reporter) report(x Refusal) {
	if r == nil {
		return
	}
	r.count(x.Cause)
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.summary[x.Cause]
	if !ok {
		s = &summary{addresses: make(map[string]int)}
		r.summary[x.Cause] = s
	}
	s.refusals++
	ip, _, err := net.SplitHostPort(x.Address)
	if err != nil {
		ip = x.Address
	}
	if _, known := s.addresses[ip]; known || len(s.addresses) < maxReported {
		s.addresses[ip]++
	}
	if x.Bytes >= s.largest.Bytes {
		s.largest = x
	}
	if !s.scheduled {
		s.scheduled = true
		time.AfterFunc(reportInterval, func() { r.flush(x.Cause) })
	}
}

// flush logs what was refused for a cause since the last line.
func (r *Reporter) flush(c Cause) {
	r.mu.Lock()
	s := r.summary[c]
	delete(r.summary, c)
	r.mu.Unlock()
	most, count := "", 0
	for ip, n := range s.addresses {
		if n > count {
			most, count = ip, n
		}
	}
	r.logger.Warn("budget refused", zap.String("cause", string(c)), zap.Int("refusals", s.refusals), zap.Int("addresses", len(s.addresses)),
		zap.String("most-from", most), zap.Int("from-there", count), zap.String("largest-from", s.largest.Address),
		zap.Int64("largest-bytes", s.largest.Bytes), zap.Int64("waited-ms", int64(s.largest.Waited)))
}
