package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/rotisserie/eris"
)

// emulation is an emulated service. Serve blocks until Close is called.
type emulation interface {
	Serve(l net.Listener) error
	Close() error
}

// serve serves s on address until ctx is done. When the listener is open, it prints
// "ready" and the URL to out.
func serve(ctx context.Context, s emulation, address string, out io.Writer) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	_, _ = fmt.Fprintf(out, "ready http://%s\n", l.Addr())
	select {
	case err = <-served:
		_ = s.Close()
		return err
	case <-ctx.Done():
	}
	if err := s.Close(); err != nil {
		return err
	}
	return <-served
}

// decodeFaults decodes text, the value of the -faults flag, into v. The format is
// the JSON body of POST /faults. Empty text leaves v unchanged.
func decodeFaults(text string, v any) error {
	if text == "" {
		return nil
	}
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &commander.UsageError{Problem: "-faults: " + err.Error()}
	}
	return nil
}
