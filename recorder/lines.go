package recorder

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// exportLine is one line of exported records: the header of a chain, or the next
// batch of the chain whose header precedes it.
type exportLine struct {
	Chain *ChainHeader `json:"chain,omitempty"`
	Batch *SignedBatch `json:"batch,omitempty"`
}

// WriteChains writes chains as JSON lines that ReadChains can read.
func WriteChains(w io.Writer, chains []Chain) error {
	b := bufio.NewWriter(w)
	e := json.NewEncoder(b)
	for _, c := range chains {
		if err := e.Encode(exportLine{Chain: &c.Header}); err != nil {
			return eris.Wrap(err, "write chain")
		}
		for batch, err := range c.Batches {
			if err != nil {
				return err
			}
			if err := e.Encode(exportLine{Batch: &batch}); err != nil {
				return eris.Wrap(err, "write batch")
			}
		}
	}
	return eris.Wrap(b.Flush(), "write chains")
}

// ReadChains reads the JSON lines of WriteChains into memory. It does not verify the
// records; Verify does.
func ReadChains(r io.Reader) ([]Chain, error) {
	d := json.NewDecoder(r)
	var headers []ChainHeader
	var batches [][]SignedBatch
	for n := 1; ; n++ {
		var l exportLine
		err := d.Decode(&l)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, eris.Wrapf(err, "records, line %d", n)
		}
		switch {
		case l.Chain != nil:
			headers = append(headers, *l.Chain)
			batches = append(batches, nil)
		case l.Batch != nil && len(headers) > 0:
			batches[len(batches)-1] = append(batches[len(batches)-1], *l.Batch)
		default:
			return nil, eris.Errorf("records, line %d: neither a chain nor a batch of one", n)
		}
	}
	chains := make([]Chain, len(headers))
	for i, h := range headers {
		chains[i] = ChainFromBatches(h, batches[i])
	}
	return chains, nil
}
