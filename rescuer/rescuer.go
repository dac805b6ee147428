// Package rescuer keeps an unexpected error in the handling of one message, value
// or call from taking the process down with it.
//
// It stands where something comes in from outside and its handling is over with
// it: a peer's message, a datagram, a value of the store, one run of an item. It
// does not stand around loops that own state, which a panic may have left half
// changed.
package rescuer

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
)

// PanicError says that what was done panicked.
type PanicError struct {
	// What was done.
	What  string
	Value any
	Stack []byte
}

func (e *PanicError) Error() string { return fmt.Sprintf("%s panicked: %v", e.What, e.Value) }

// Run calls f and returns its error, or a *PanicError, which it logs.
func Run(l *zap.Logger, what string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			p := &PanicError{What: what, Value: v, Stack: debug.Stack()}
			l.Error("panic", zap.String("what", what), zap.Any("value", v), zap.ByteString("stack", p.Stack))
			err = p
		}
	}()
	return f()
}

// Do is Run for what returns no error. It says whether f came to its end.
func Do(l *zap.Logger, what string, f func()) bool {
	return Run(l, what, func() error { f(); return nil }) == nil
}
