// Package journaler writes a process's structured log without ever holding up
// who logs.
//
// Lines are encoded by the caller and put into a bounded queue; one goroutine
// writes them. Each kind of line (its message) has a budget for each second, and
// routine lines leave the last quarter of the queue to warnings and errors. What
// is dropped is counted by kind, and a line says so once a second.
package journaler

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 4096
	// reservedLines are kept for warnings and errors.
	reservedLines = queueLines / 4
	// linesPerSecond bounds one kind of routine line.
	linesPerSecond = 400
	// reportInterval is how often drops are reported.
	reportInterval = time.Second
)

// Journal is the queue in front of a writer.
type Journal struct {
	out     io.Writer
	encoder zapcore.Encoder
	queue   chan []byte
	stop    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	written map[string]int
	dropped map[string]int
	lost    uint64
}

// New returns a Journal that writes JSON lines to out until Close.
func New(out io.Writer) *Journal {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.EpochMillisTimeEncoder
	c.CallerKey, c.StacktraceKey = "", ""
	j := &Journal{
		out: out, encoder: zapcore.NewJSONEncoder(c),
		queue: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
		written: make(map[string]int), dropped: make(map[string]int),
	}
	go j.run()
	return j
}

// Logger returns a logger that writes to j.
func (j *Journal) Logger() *zap.Logger {
	return zap.New(&core{journal: j, encoder: j.encoder})
}

// Close writes what is queued, as far as out takes it within a second.
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

// report writes how many lines of which kind were dropped since the last time.
func (j *Journal) report() {
	j.mu.Lock()
	dropped := j.dropped
	j.dropped = make(map[string]int)
	clear(j.written)
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

// admit says whether a line may be encoded, and counts it.
func (j *Journal) admit(e zapcore.Entry) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	full := cap(j.queue) - len(j.queue)
	urgent := e.Level >= zapcore.WarnLevel
	if full == 0 || (!urgent && full <= reservedLines) || (!urgent && j.written[e.Message] >= linesPerSecond) {
		j.drop(e.Message)
		return false
	}
	j.written[e.Message]++
	return true
}

// drop counts a line that is not written; j is locked.
func (j *Journal) drop(kind string) {
	j.dropped[kind]++
	j.lost++
}

// Dropped is how many lines were dropped since the start.
func (j *Journal) Dropped() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lost
}

func (j *Journal) put(kind string, line []byte) {
	select {
	case j.queue <- line:
	default:
		j.mu.Lock()
		j.drop(kind)
		j.mu.Unlock()
	}
}

// core implements zapcore.Core over a Journal.
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
	c.journal.put(e.Message, line)
	return nil
}

func (c *core) Sync() error { return nil }
