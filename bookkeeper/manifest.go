package bookkeeper

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// manifestPrefix is the prefix of the store keys of manifests.
const manifestPrefix = "jackdawgate/jobs/"

// SegmentRef refers to a segment and the hosts on which it was placed.
type SegmentRef struct {
	Name    string   `cbor:"1,keyasint"`
	Holders []string `cbor:"2,keyasint"`
	Records uint64   `cbor:"3,keyasint"`
	// Closed reports whether Records is the segment's final length.
	Closed bool `cbor:"4,keyasint"`
	// Billed reports whether the segment's usage has been recorded.
	Billed bool `cbor:"5,keyasint"`
	// Lost reports whether the segment no longer exists at any holder.
	Lost bool `cbor:"6,keyasint"`
}

// Manifest is the stored state of a job. It is immutable: the methods that change it
// return a modified copy.
type Manifest struct {
	Job submitter.Job `cbor:"1,keyasint"`
	// Digest is the SHA-256 hash of the endpoint, the metadata and the items.
	Digest []byte     `cbor:"2,keyasint"`
	Items  SegmentRef `cbor:"3,keyasint"`
	// Results are the result segments, oldest first; only the last may be open.
	Results []SegmentRef `cbor:"4,keyasint"`
	// Epoch is the epoch of the owner that last wrote the manifest.
	Epoch registrar.Epoch `cbor:"5,keyasint"`
	// WriteID identifies the last write, so that a write whose response was lost is
	// recognised.
	WriteID string `cbor:"6,keyasint"`
	// OutputBytes and ErrorBytes are the sizes of an ended job's output file and error
	// file.
	OutputBytes int64 `cbor:"7,keyasint"`
	ErrorBytes  int64 `cbor:"8,keyasint"`
}

// WithCancel returns m with a cancellation requested at now, in Unix milliseconds. It
// returns m unchanged if the job has ended or is already being cancelled.
func (m Manifest) WithCancel(now timer.Millis) Manifest {
	if m.Job.State.Ended() || m.Job.CancelRequested != 0 {
		return m
	}
	m.Job.CancelRequested, m.Job.State = now, submitter.StateCancelling
	return m
}

// WithResults returns m with these result segments, written by the owner of epoch. The
// first call also records the start of the job at now, in Unix milliseconds.
func (m Manifest) WithResults(epoch registrar.Epoch, refs []SegmentRef, now timer.Millis) Manifest {
	m.Epoch, m.Results = epoch, refs
	m.Job.LostSegments = 0
	for _, r := range refs {
		if r.Lost {
			m.Job.LostSegments++
		}
	}
	if m.Job.Started == 0 {
		m.Job.Started = now
	}
	if m.Job.State == submitter.StateWaiting {
		m.Job.State = submitter.StateRunning
	}
	return m
}

// WithEnd returns m with the job ended at now: completed, or cancelled if some items
// have no result. Its results expire after retention. It returns m unchanged if the
// job has already ended.
func (m Manifest) WithEnd(c submitter.Counts, now, retention timer.Millis) Manifest {
	if m.Job.State.Ended() {
		return m
	}
	m.Job.State = submitter.StateCompleted
	if c.Done+c.Failed < c.Total {
		m.Job.State = submitter.StateCancelled
	}
	m.Job.Counts, m.Job.Ended, m.Job.Expires = c, now, now+retention
	return m
}

// WithFailure returns m with the job ended as failed for this reason.
func (m Manifest) WithFailure(reason string, c submitter.Counts, now, retention timer.Millis) Manifest {
	m = m.WithEnd(c, now, retention)
	m.Job.State, m.Job.Reason = submitter.StateFailed, reason
	return m
}

var encoding = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns the canonical CBOR encoding of v, as used for manifests, the headers
// of segments, and messages between hosts about jobs.
func Encode(v any) ([]byte, error) { return encoding.Marshal(v) }

func (m Manifest) encode() ([]byte, error) {
	b, err := encoding.Marshal(m)
	return b, eris.Wrapf(err, "encode manifest of %s", m.Job.ID)
}

func decodeManifest(data []byte) (Manifest, error) {
	var m Manifest
	return m, eris.Wrap(cbor.Unmarshal(data, &m), "decode manifest")
}
