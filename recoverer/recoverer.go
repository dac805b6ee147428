// Package recoverer recovers from panics, so that an unexpected failure while one
// message, value or call is handled does not crash the process.
//
// Use it where external input enters the process and is handled independently of
// other input: a peer's message, a datagram, a value of the store, one run of a
// batch item. Do not use it around loops that own state, because a panic may have
// left that state partly updated.
package recoverer

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
)

// PanicError reports that an operation panicked.
type PanicError struct {
	// Operation names what was running, such as "message".
	Operation string
	// Value is the value that was passed to panic.
	Value any
	// Stack is the stack trace of the panicking goroutine.
	Stack []byte
}

func (e *PanicError) Error() string { return fmt.Sprintf("%s panicked: %v", e.Operation, e.Value) }

// Run calls f and returns its error. If f panics, Run logs the panic and returns
// a *PanicError. what names the operation in the log line and in the error.
func Run(l *zap.Logger, what string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			p := &PanicError{Operation: what, Value: v, Stack: debug.Stack()}
			l.Error("panic", zap.String("what", what), zap.Any("value", v), zap.ByteString("stack", p.Stack))
			err = p
		}
	}()
	return f()
}

// Do is like Run for a function without an error result. It reports whether f
// returned without panicking.
func Do(l *zap.Logger, what string, f func()) bool {
	return Run(l, what, func() error { f(); return nil }) == nil
}
