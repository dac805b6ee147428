package answerer

import (
	"runtime/debug"

	"go.uber.org/zap"
)

// LogPanic logs the value and stack of a panic, which the Internal error does not
// disclose. It must be called by the function that recovered value, since it
// logs the current stack.
func LogPanic(l *zap.Logger, value any) {
	l.Error("panic", zap.Any("value", value), zap.ByteString("stack", debug.Stack()))
}
