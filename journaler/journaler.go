// Package journaler writes a process's structured log without ever blocking the code
// that logs.
//
// Lines are encoded by the caller and added to a bounded queue, from which a single
// goroutine writes them. The kind of a line is its message. Each kind of routine line,
// that is below the warning level, has a limit per second, and routine lines leave the
// last quarter of the queue to warnings and errors. Dropped lines are counted by kind,
// and the counts are logged once per second.
package journaler

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines is the capacity of the queue.
	queueLines = 4096
	// reservedLines is the part of the queue that is reserved for warnings and errors.
	reservedLines = queueLines / 4
	// linesPerSecond limits each kind of routine line.
	linesPerSecond = 400
	// reportInterval is how often dropped lines are reported and the limits are reset.
	reportInterval = time.Second
)

// Journal is a bounded queue of log lines in front of a writer. Its methods, except
// Close, are safe for concurrent use.
type Journal struct {
	out     io.Writer
	encoder zapcore.Encoder
	queue   chan []byte
	stop    chan struct{}
	done    chan struct{}

	mu           sync.Mutex
	admitted     map[string]int
	dropped      map[string]int
	droppedTotal uint64
}

// New returns a Journal that writes JSON lines to out until Close is called.
func New(out io.Writer) *Journal {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.EpochMillisTimeEncoder
	c.CallerKey, c.StacktraceKey = "", ""
	j := &Journal{
		out: out, encoder: zapcore.NewJSONEncoder(c),
		queue: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
		admitted: make(map[string]int), dropped: make(map[string]int),
	}
	go j.run()
	return j
}

// Logger returns a logger that writes to j.
func (j *Journal) Logger() *zap.Logger {
	return zap.New(&core{journal: j, encoder: j.encoder})
}

// Close writes the queued lines, and waits for that for at most a second. It must be
// called only once.
func (j *Journal) Close() {
	close(j.stop)
	select {
	case <-j.done:
	case <-time.After(time.Second):
	}
}

func (j *Journal) run() {
	defer close(j.done)
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case line := <-j.queue:
			_, _ = j.out.Write(line)
		case <-t.C:
			j.report()
		case <-j.stop:
			j.drain()
			return
		}
	}
}

func (j *Journal) drain() {
	for {
		select {
		case line := <-j.queue:
			_, _ = j.out.Write(line)
		default:
			return
		}
	}
}

// report logs how many lines of each kind were dropped since the last report.
func (j *Journal) report() {
	j.mu.Lock()
	dropped := j.dropped
	j.dropped = make(map[string]int)
	clear(j.admitted)
	j.mu.Unlock()
	if len(dropped) == 0 {
		return
	}
	e := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "log lines dropped"}
	if b, err := j.encoder.Clone().EncodeEntry(e, []zapcore.Field{zap.Any("kinds", dropped)}); err == nil {
		_, _ = j.out.Write(b.Bytes())
		b.Free()
	}
}

// admit reports whether a line may be encoded and queued, and counts it as admitted or
// dropped.
func (j *Journal) admit(e zapcore.Entry) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	free := cap(j.queue) - len(j.queue)
	urgent := e.Level >= zapcore.WarnLevel
	if free == 0 || (!urgent && free <= reservedLines) || (!urgent && j.admitted[e.Message] >= linesPerSecond) {
		j.drop(e.Message)
		return false
	}
	j.admitted[e.Message]++
	return true
}

// drop counts a dropped line. j.mu must be locked.
func (j *Journal) drop(kind string) {
	j.dropped[kind]++
	j.droppedTotal++
}

// Dropped returns the number of lines dropped since the start.
func (j *Journal) Dropped() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.droppedTotal
}

func (j *Journal) enqueue(kind string, line []byte) {
	select {
	case j.queue <- line:
	default:
		j.mu.Lock()
		j.drop(kind)
		j.mu.Unlock()
	}
}

// core implements zapcore.Core with a Journal.
type core struct {
	journal *Journal
	encoder zapcore.Encoder
}

func (c *core) Enabled(l zapcore.Level) bool { return l >= zapcore.InfoLevel }

func (c *core) With(fields []zapcore.Field) zapcore.Core {
	e := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(e)
	}
	return &core{journal: c.journal, encoder: e}
}

func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) && c.journal.admit(e) {
		return checked.AddCore(e, c)
	}
	return checked
}

func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	b, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	line := append([]byte(nil), b.Bytes()...)
	b.Free()
	c.journal.enqueue(e.Message, line)
	return nil
}

func (c *core) Sync() error { return nil }
