package filer

import (
	"bytes"
	"context"
	"io"

	"github.com/jackdawgate/jackdawgate/parser"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/submitter"
)

// WriteLines reads all lines of in, writes the record that transform returns for each
// line, and finalizes the segment. It skips lines for which transform returns nil;
// item says whether the line is an item. It returns a submitter.BadLineError for an
// input without items, and a submitter.NotAcceptedError if a write fails.
func WriteLines(ctx context.Context, w *replicator.Writer, in *parser.Reader, transform func(raw []byte, item bool) []byte) error {
	l := &recordWriter{ctx: ctx, writer: w}
	for {
		raw, item, err := in.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		if record := transform(raw, item); record != nil {
			if err := l.add(record); err != nil {
				return err
			}
		}
	}
	if in.Items() == 0 {
		return &submitter.BadLineError{Line: 1, Reason: "the input has no items"}
	}
	return l.seal()
}

// recordWriter collects records and appends them to a segment in batches that fit into
// one append.
type recordWriter struct {
	ctx     context.Context
	writer  *replicator.Writer
	records [][]byte
	size    int
}

func (l *recordWriter) add(r []byte) error {
	if l.size+len(r) > segmenter.MaxAppendBytes && len(l.records) > 0 {
		if err := l.flush(); err != nil {
			return err
		}
	}
	l.records = append(l.records, bytes.Clone(r))
	l.size += len(r)
	return nil
}

func (l *recordWriter) flush() error {
	if len(l.records) == 0 {
		return nil
	}
	if err := l.writer.Append(l.ctx, l.writer.Epoch(), l.records); err != nil {
		return &submitter.NotAcceptedError{Code: submitter.CodeNotEnoughHolders, Err: err}
	}
	l.records, l.size = nil, 0
	return nil
}

func (l *recordWriter) seal() error {
	if err := l.flush(); err != nil {
		return err
	}
	if err := l.writer.Finalize(l.ctx, l.writer.Epoch()); err != nil {
		return &submitter.NotAcceptedError{Code: submitter.CodeNotEnoughHolders, Err: err}
	}
	return nil
}
