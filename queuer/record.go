package queuer

import (
	"iter"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// Item is one request of a batch job.
type Item struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Path    string
	Headers map[string]string
	Body    []byte
	// Tokens is the number of prompt tokens plus the maximum number of output tokens.
	Tokens int64
}

// Job is a batch job as it was accepted.
type Job struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Workspace string
	// Route is the name of the route, Host the host name that callers use for it.
	Route, Host string
	// Submitted is when it was accepted, in Unix milliseconds.
	Submitted int64
	// RunObjective is the time after Submitted when all results are due, Retention the
	// time after which an item may be abandoned.
	RunObjective, Retention timer.Millis
	// MaxAttempts is how often an item may fail at backend servers.
	MaxAttempts int
	Items       []Item
	// Regions are what restricted the job when it was accepted. They are set from Accepted.
	Regions localizer.JobRegions `cbor:"-"`
}

// Subject returns what the allowed regions of the job depend on.
func (j *Job) Subject() localizer.Job {
	return localizer.Job{Host: j.Host, Route: j.Route, Workspace: j.Workspace, Accepted: j.Regions}
}

// Paths returns the paths of the job's items.
func (j *Job) Paths() iter.Seq[string] {
	return func(yield func(string) bool) {
		for i := range j.Items {
			if !yield(j.Items[i].Path) {
				return
			}
		}
	}
}

// Tokens returns the sum of the tokens of all items.
func (j *Job) Tokens() int64 {
	var n int64
	for i := range j.Items {
		n += j.Items[i].Tokens
	}
	return n
}

// Due returns when the results are due, in Unix milliseconds.
func (j *Job) Due() int64 { return j.Submitted + int64(j.RunObjective) }

// Record is an entry of a group's log.
type Record interface{ record() }

// Accepted adds a job.
type Accepted struct {
	Job Job
	// Regions are those of the job; nil if nothing restricts it. Earlier versions do not know
	// them.
	Regions *localizer.JobRegions `cbor:",omitempty"`
}

// NewAccepted returns the record of a job's acceptance.
func NewAccepted(j Job) Accepted {
	a := Accepted{Job: j}
	if !j.Regions.None() {
		a.Regions = &j.Regions
	}
	return a
}

// job returns the job as it is kept.
func (a Accepted) job() *Job {
	if a.Regions != nil {
		a.Job.Regions = *a.Regions
	}
	return &a.Job
}

// Finished adds the result of an item at the next position of its job's results.
type Finished struct {
	Job string
	// Item is the index of the item in the job.
	Item int
	// Dead reports that the item was abandoned, Reason why, for its caller.
	Dead   bool
	Reason string `cbor:",omitempty"`
	// Output follows the first From bytes of the item's saved output.
	From   int
	Output []byte
}

// Saved stores the output so far of items that are still running, and how often items
// have failed, so that another host can continue them.
type Saved struct {
	Parts []Part
	// Failures are the items that failed at backend servers since the last Saved.
	Failures []Failure `cbor:",omitempty"`
}

// Failure is the total number of failures of an item at backend servers.
type Failure struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Item  int
	Count int
}

// Part is the output of one item since its output was last saved.
type Part struct {
	_    struct{} `cbor:",toarray"`
	Job  string
	Item int
	// Output follows the first From bytes of the output saved before.
	From   int
	Output []byte
	// Events is the total number of events, LastEvent the number of the last event.
	Events    int
	LastEvent int64
}

// Ended ends a job: items without a result are not run any more.
type Ended struct{ Job string }

// Dropped removes a job.
type Dropped struct{ Job string }

// CheckpointRecord is one record of a checkpoint, which contains all jobs that are
// kept.
type CheckpointRecord struct {
	// First reports that this is the checkpoint's first record; Left is the number of
	// records that follow it.
	First bool
	Left  int
	// Record is nil if no job is kept.
	Record Record
}

// Piece is a part of the encoding of a record that is too long for one entry of the log.
// The pieces of a record follow each other without other records in between; a record that
// lacks pieces is not applied.
type Piece struct {
	_ struct{} `cbor:",toarray"`
	// First reports that this is the record's first piece; Left is the number of pieces
	// that follow it.
	First bool
	Left  int
	Data  []byte
}

func (Accepted) record()         {}
func (Finished) record()         {}
func (Saved) record()            {}
func (Ended) record()            {}
func (Dropped) record()          {}
func (CheckpointRecord) record() {}
func (Piece) record()            {}

// checkpointMark marks an encoded Record as part of a checkpoint.
type checkpointMark struct {
	_     struct{} `cbor:",toarray"`
	First bool
	Left  int
}

// envelope is the encoding of a Record. One field is set, and in a checkpoint also
// Checkpoint.
type envelope struct {
	Accepted   *Accepted       `cbor:"1,keyasint,omitempty"`
	Finished   *Finished       `cbor:"2,keyasint,omitempty"`
	Ended      *Ended          `cbor:"3,keyasint,omitempty"`
	Dropped    *Dropped        `cbor:"4,keyasint,omitempty"`
	Saved      *Saved          `cbor:"5,keyasint,omitempty"`
	Checkpoint *checkpointMark `cbor:"6,keyasint,omitempty"`
	Piece      *Piece          `cbor:"7,keyasint,omitempty"`
}

const (
	// A record that is longer than maxEntryBytes is cut into pieces of pieceBytes, of which
	// one message to another disk carries some.
	maxEntryBytes = mirrorer.MaxDataBytes
	pieceBytes    = 256 << 10
)

// Encode returns the entries of the log that hold r: one, or several for a record that is
// too long for one.
func Encode(r Record) ([][]byte, error) {
	b, err := cbor.Marshal(newEnvelope(r))
	if err != nil {
		return nil, eris.Wrap(err, "encode record")
	}
	if len(b) <= maxEntryBytes {
		return [][]byte{b}, nil
	}
	var out [][]byte
	for left := (len(b) - 1) / pieceBytes; left >= 0; left-- {
		n := min(pieceBytes, len(b))
		p, err := cbor.Marshal(newEnvelope(Piece{First: len(out) == 0, Left: left, Data: b[:n]}))
		if err != nil {
			return nil, eris.Wrap(err, "encode piece of a record")
		}
		out, b = append(out, p), b[n:]
	}
	return out, nil
}

func newEnvelope(r Record) envelope {
	var e envelope
	switch t := r.(type) {
	case CheckpointRecord:
		e = newEnvelope(t.Record)
		e.Checkpoint = &checkpointMark{First: t.First, Left: t.Left}
	case Accepted:
		e.Accepted = &t
	case Finished:
		e.Finished = &t
	case Ended:
		e.Ended = &t
	case Dropped:
		e.Dropped = &t
	case Saved:
		e.Saved = &t
	case Piece:
		e.Piece = &t
	}
	return e
}

// Decode decodes the Record of an entry of the log, which may be a Piece of another one.
func Decode(data []byte) (Record, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, eris.Wrap(err, "decode record")
	}
	r, ok := e.record()
	if e.Checkpoint != nil {
		return CheckpointRecord{First: e.Checkpoint.First, Left: e.Checkpoint.Left, Record: r}, nil
	}
	if !ok {
		return nil, eris.New("record has no known kind")
	}
	return r, nil
}

// record returns the Record, ignoring the checkpoint mark.
func (e *envelope) record() (Record, bool) {
	switch {
	case e.Accepted != nil:
		return *e.Accepted, true
	case e.Finished != nil:
		return *e.Finished, true
	case e.Ended != nil:
		return *e.Ended, true
	case e.Dropped != nil:
		return *e.Dropped, true
	case e.Saved != nil:
		return *e.Saved, true
	case e.Piece != nil:
		return *e.Piece, true
	}
	return nil, false
}
