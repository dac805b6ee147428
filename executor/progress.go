package executor

import (
	"errors"
	"sync"

	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/sequencer"
	"github.com/jackdawgate/jackdawgate/splitter"
)

// maxOutput bounds the output of an item, in bytes.
const maxOutput = 4 << 20

var errOutputTooLong = errors.New("output exceeds the size limit of an item")

// progress is the output of an item so far. It consists of whole events of the item's runs,
// numbered from 1 without gaps.
type progress struct {
	// outputMu guards the fields below.
	outputMu sync.Mutex
	// output is the data of the events received, separated by line feeds.
	output []byte
	// last is the number of the last event received, which is also how many there are.
	last int64
	// saved is how many bytes of output are known to be in the log.
	saved int
}

// lastEvent returns the number of the last event received, or 0.
func (p *progress) lastEvent() int64 {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	return p.last
}

// addEvent appends the data of the next event to the output. It returns an error of
// sequencer.Check if e is not the next event, and errOutputTooLong if the output would exceed
// maxOutput.
func (p *progress) addEvent(e splitter.Event) error {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	if err := sequencer.Check(e, p.last); err != nil || e.Filler {
		return err
	}
	if len(p.output)+len(e.Data) > maxOutput {
		return errOutputTooLong
	}
	if p.last > 0 {
		p.output = append(p.output, '\n')
	}
	p.output = append(p.output, e.Data...)
	p.last = e.ID
	return nil
}

// unsaved returns the output of an item that was received since it was last saved. It returns
// false if there is none.
func (p *progress) unsaved(k key) (queuer.Part, bool) {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	r := queuer.Part{Job: k.ref.Job, Item: k.ref.Item, From: p.saved, Events: int(p.last), LastEvent: p.last}
	r.Output = append(r.Output, p.output[p.saved:]...)
	return r, len(r.Output) > 0
}

// markSaved records that the log has the output up to this length in bytes.
func (p *progress) markSaved(bytes int) {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	p.saved = max(p.saved, bytes)
}

// unsavedOutput returns the output that is not saved yet and its offset in bytes.
func (p *progress) unsavedOutput() (from int, output []byte) {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	return p.saved, append([]byte(nil), p.output[p.saved:]...)
}
