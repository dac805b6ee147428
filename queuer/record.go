package queuer

import (
	"github.com/fxamacker/cbor/v2"
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
	// Tokens are those of the prompt and the most that may be made.
	Tokens int64
}

// Job is a batch job as it was accepted.
type Job struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Workspace string
	// Route is the name of the route, Host what callers call it by.
	Route, Host string
	// Submitted is when it was accepted, in Unix milliseconds.
	Submitted int64
	// RunObjective is how long after Submitted all results are due, Retention
	// after which an item may be given up.
	RunObjective, Retention timer.Millis
	// MaxAttempts is how often an item may fail at servers.
	MaxAttempts int
	Items       []Item
}

// Tokens are those of all items.
func (j *Job) Tokens() int64 {
	var n int64
	for i := range j.Items {
		n += j.Items[i].Tokens
	}
	return n
}

// Due is when the results are due, in Unix milliseconds.
func (j *Job) Due() int64 { return j.Submitted + int64(j.RunObjective) }

// Record is an entry of a group's log.
type Record interface{ record() }

// Accepted takes a job in.
type Accepted struct{ Job Job }

// Finished lists the result of an item at the next position of its job.
type Finished struct {
	Job string
	// Item is the item's place in the job.
	Item int
	// Dead says that the item was given up.
	Dead bool
	// Output follows the first From bytes of what was saved of the item.
	From   int
	Output []byte
}

// Saved keeps what items that still run have put out, and how often items failed, so
// that another host can go on with them.
type Saved struct {
	Parts []Part
	// Failures are the items that failed at servers since that was last saved.
	Failures []Failure `cbor:",omitempty"`
}

// Failure is how often an item has failed at servers, all told.
type Failure struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Item  int
	Count int
}

// Part is what one item put out since it was last saved.
type Part struct {
	_    struct{} `cbor:",toarray"`
	Job  string
	Item int
	// Output follows the first From bytes of what was saved before.
	From   int
	Output []byte
	// Events and Last are the number of events and the last one's, all told.
	Events int
	Last   int64
}

// Ended ends a job: what has no result is not run any more.
type Ended struct{ Job string }

// Dropped forgets a job.
type Dropped struct{ Job string }

// Restored is one record of a checkpoint, which lists all that is kept.
type Restored struct {
	// First says that a checkpoint begins, Left how many of its records follow.
	First bool
	Left  int
	// Record is nil when nothing is kept.
	Record Record
}

func (Accepted) record() {}
func (Finished) record() {}
func (Saved) record()    {}
func (Ended) record()    {}
func (Dropped) record()  {}
func (Restored) record() {}

// restored marks a Record as part of a checkpoint.
type restored struct {
	_     struct{} `cbor:",toarray"`
	First bool
	Left  int
}

// envelope is a Record as it is stored: one field is set, and Restored beside it
// for a record of a checkpoint.
type envelope struct {
	Accepted *Accepted `cbor:"1,keyasint,omitempty"`
	Finished *Finished `cbor:"2,keyasint,omitempty"`
	Ended    *Ended    `cbor:"3,keyasint,omitempty"`
	Dropped  *Dropped  `cbor:"4,keyasint,omitempty"`
	Saved    *Saved    `cbor:"5,keyasint,omitempty"`
	Restored *restored `cbor:"6,keyasint,omitempty"`
}

// Encode returns r as it is stored.
func Encode(r Record) ([]byte, error) {
	b, err := cbor.Marshal(seal(r))
	return b, eris.Wrap(err, "encode record")
}

func seal(r Record) envelope {
	var e envelope
	switch t := r.(type) {
	case Restored:
		e = seal(t.Record)
		e.Restored = &restored{First: t.First, Left: t.Left}
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
	}
	return e
}

// Decode returns the Record that Encode was given.
func Decode(data []byte) (Record, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, eris.Wrap(err, "decode record")
	}
	r, ok := e.record()
	if e.Restored != nil {
		return Restored{First: e.Restored.First, Left: e.Restored.Left, Record: r}, nil
	}
	if !ok {
		return nil, eris.New("record of no kind")
	}
	return r, nil
}

// record returns the Record without the mark of a checkpoint.
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
	}
	return nil, false
}
