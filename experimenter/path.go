package experimenter

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawgate/jackdawgate/requester"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/jackdawgate/jackdawgate/timer"
)

// PathRow compares requests through the hosts with requests sent directly to the
// backend servers, with the same number of callers in the same run. Times are in
// milliseconds.
type PathRow struct {
	Callers   int     `json:"callers"`
	DirectP50 float64 `json:"direct-p50-ms"`
	DirectP99 float64 `json:"direct-p99-ms"`
	PathP50   float64 `json:"path-p50-ms"`
	PathP99   float64 `json:"path-p99-ms"`
	AddedP50  float64 `json:"added-p50-ms"`
	AddedP99  float64 `json:"added-p99-ms"`
	// PathPerSecond is the rate of answered requests through the hosts.
	PathPerSecond float64 `json:"path-requests-per-second"`
	Failed        int     `json:"failed"`
}

// PathReport is the result of the experiment "path".
type PathReport struct {
	Rows []PathRow `json:"rows"`
	// RequestsPerCore is the number of requests that the hosts forward per second
	// of processor time. The processor time of callers and backend servers, which
	// is measured in a run without hosts, is subtracted.
	RequestsPerCore float64 `json:"requests-per-second-per-core"`
	// BytesPerStream is the memory that the hosts use for an open stream without
	// traffic. The memory of callers and engines is subtracted in the same way.
	BytesPerStream float64 `json:"bytes-per-open-stream"`
	OpenStreams    int     `json:"open-streams"`
}

const (
	// echoTime is how long the plain service takes for a call. It is long enough
	// that callers do not have to wait for a processor.
	echoTime = 50 * timer.Millis(1)
	echoPath = "/echo"
	echoBody = `{"enquiry":"two generators, sixty kilowatts, for the eleventh","lines":12}`
	// busyCallers is the number of callers that send requests without a pause
	// while processor time is measured.
	busyCallers = 64
	// openStreams is the number of streams that are open while memory is measured,
	// and maxConcurrentOpens how many of them are opened at once.
	openStreams        = 1000
	maxConcurrentOpens = 50
	pathSlots          = 4096
	// echoWorkspace is the workspace that all requests belong to.
	echoWorkspace = "echo-work"
	pathTimeout   = 30 * time.Second
)

// pathCallers contains the number of callers of each row.
var pathCallers = []int{1, 64, 512}

// RunPath runs the experiment "path". It calls o.Progress with the name of each
// measurement instead of each row, and ignores o.Only.
func RunPath(ctx context.Context, o Options) (PathReport, error) {
	o = o.withDefaults()
	var report PathReport
	o.Progress("latency")
	err := withEchoFleet(ctx, o, echoTime, func(f *fleet) error {
		for _, n := range pathCallers {
			report.Rows = append(report.Rows, measurePath(ctx, f, o, n))
		}
		return ctx.Err()
	})
	if err != nil {
		return report, err
	}
	o.Progress("processor time")
	err = withEchoFleet(ctx, o, 0, func(f *fleet) error {
		report.RequestsPerCore = requestsPerCore(ctx, f, o)
		return ctx.Err()
	})
	if err != nil {
		return report, err
	}
	o.Progress("memory")
	report.OpenStreams = openStreams
	report.BytesPerStream, err = bytesPerStream(ctx, o)
	return report, err
}

func defaultPolicies() policies {
	return policies{share: shareYield, route: routeScored}
}

// withEchoFleet calls do with a fleet whose backend servers are plain services that
// take serviceTime for a call.
func withEchoFleet(ctx context.Context, o Options, serviceTime timer.Millis, do func(f *fleet) error) error {
	s := fleetSpec{
		hosts: o.Hosts, engines: o.Engines, workspaces: []string{echoWorkspace}, echo: true,
		engine: emulator.EngineOptions{Plain: true, Slots: pathSlots, ReceivedLimit: 1},
	}
	s.engine.PlainTime = serviceTime
	f, err := startFleet(ctx, s, defaultPolicies())
	if err != nil {
		return err
	}
	err = do(f)
	if e := f.close(); err == nil {
		err = e
	}
	return err
}

// measurePath returns the row for the given number of callers.
func measurePath(ctx context.Context, f *fleet, o Options, callers int) PathRow {
	// The short run before each measurement opens the connections.
	closedLoop(ctx, f.engineAddresses, "", callers, time.Second)
	direct := closedLoop(ctx, f.engineAddresses, "", callers, o.duration())
	closedLoop(ctx, f.addresses(), f.keys[echoWorkspace], callers, time.Second)
	path := closedLoop(ctx, f.addresses(), f.keys[echoWorkspace], callers, o.duration())
	r := PathRow{
		Callers:   callers,
		DirectP50: quantileMillis(direct.latency, 50), DirectP99: quantileMillis(direct.latency, 99),
		PathP50: quantileMillis(path.latency, 50), PathP99: quantileMillis(path.latency, 99),
		PathPerSecond: float64(path.answered) / o.duration().Seconds(),
		Failed:        direct.failed + path.failed,
	}
	r.AddedP50, r.AddedP99 = r.PathP50-r.DirectP50, r.PathP99-r.DirectP99
	return r
}

// loopResult is the result of a closed loop. Latencies are in microseconds, and cpu
// is the processor time that this process used.
type loopResult struct {
	latency  *hdrhistogram.Histogram
	answered int
	failed   int
	cpu      time.Duration
}

// closedLoop runs the given number of callers for the time d. Each caller sends its
// next request to one of the addresses when the previous one has ended.
func closedLoop(ctx context.Context, addresses []string, key string, callers int, d time.Duration) loopResult {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	clients := make([]*caller, len(addresses))
	for i, a := range addresses {
		clients[i] = newCaller(key, []string{a}, pathTimeout, uint64(i))
		// The list of hosts is not refreshed, since the time that this takes is not
		// part of the path.
		clients[i].hostsExpire = time.Now().Add(time.Hour)
		defer clients[i].close()
	}
	parts := make([]loopResult, callers)
	before := processorTime()
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { parts[i] = requestUntilDone(ctx, clients[i%len(clients)]) })
	}
	all.Wait()
	return mergeLoops(parts, processorTime()-before)
}

// requestUntilDone sends one request after the other with c until ctx is done.
func requestUntilDone(ctx context.Context, c *caller) loopResult {
	l := loopResult{latency: hdrhistogram.New(1, maxLatency, 3)}
	for ctx.Err() == nil {
		start := time.Now()
		a := c.attempt(c.seeds[0], echoPath, []byte(echoBody), "", echoBody, start.Add(pathTimeout))
		if a.err != nil {
			l.failed++
			continue
		}
		l.answered++
		_ = l.latency.RecordValue(min(time.Since(start).Microseconds(), maxLatency))
	}
	return l
}

// mergeLoops returns the sum of the results of single callers, with the processor
// time cpu.
func mergeLoops(parts []loopResult, cpu time.Duration) loopResult {
	out := loopResult{latency: hdrhistogram.New(1, maxLatency, 3), cpu: cpu}
	for _, p := range parts {
		out.latency.Merge(p.latency)
		out.answered += p.answered
		out.failed += p.failed
	}
	return out
}

// processorTime returns the processor time that this process has used on all cores,
// or zero if it is not available.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// requestsPerCore returns the number of requests that the hosts forward per second
// of processor time, or zero if it could not be measured.
func requestsPerCore(ctx context.Context, f *fleet, o Options) float64 {
	direct := closedLoop(ctx, f.engineAddresses, "", busyCallers, o.duration())
	path := closedLoop(ctx, f.addresses(), f.keys[echoWorkspace], busyCallers, o.duration())
	if direct.answered == 0 || path.answered == 0 {
		return 0
	}
	added := path.cpu.Seconds()/float64(path.answered) - direct.cpu.Seconds()/float64(direct.answered)
	return ratio(1, added)
}

// bytesPerStream returns the memory that the hosts use for an open stream: the
// difference between streams through the hosts and streams directly to the engines.
func bytesPerStream(ctx context.Context, o Options) (float64, error) {
	s := fleetSpec{
		hosts: o.Hosts, engines: o.Engines, workspaces: []string{echoWorkspace},
		engine: emulator.EngineOptions{
			Slots: pathSlots, ReceivedLimit: 1, CallStepMicros: 1,
			Faults: emulator.EngineFaults{StallAfter: 1},
		},
	}
	f, err := startFleet(ctx, s, defaultPolicies())
	if err != nil {
		return 0, err
	}
	direct, err := streamMemory(f.engineAddresses, "")
	path := 0.0
	if err == nil {
		path, err = streamMemory(f.addresses(), f.keys[echoWorkspace])
	}
	if e := f.close(); err == nil {
		err = e
	}
	return (path - direct) / openStreams, err
}

// streamMemory returns the memory, in bytes, that this process uses for openStreams
// open streams to the addresses.
func streamMemory(addresses []string, key string) (float64, error) {
	before := memoryInUse()
	conns := make([]net.Conn, openStreams)
	defer func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}()
	var open errgroup.Group
	open.SetLimit(maxConcurrentOpens)
	for i := range conns {
		open.Go(func() (err error) {
			conns[i], err = openStream(addresses[i%len(addresses)], key, i)
			return err
		})
	}
	err := open.Wait()
	return memoryInUse() - before, err
}

// openStream opens a connection, sends a request for a streamed answer and reads the
// status line of the response. It returns the connection also with an error, if it
// was opened; the caller must close it.
func openStream(address, key string, n int) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, pathTimeout)
	if err != nil {
		return nil, eris.Wrap(err, "open stream")
	}
	body := chatBody(fmt.Sprintf("stream %d", n), DefaultTokens, 0)
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		requester.PathChat, key, len(body), body)
	if err != nil {
		return c, eris.Wrap(err, "send request")
	}
	if err := c.SetReadDeadline(time.Now().Add(pathTimeout)); err != nil {
		return c, eris.Wrap(err, "set deadline")
	}
	line, err := bufio.NewReaderSize(c, 64).ReadString('\n')
	if err != nil {
		return c, eris.Wrapf(err, "read status line %q", line)
	}
	return c, nil
}

// memoryInUse returns the size of the heap and the stacks in use, in bytes, after
// garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
