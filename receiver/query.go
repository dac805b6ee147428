package receiver

import (
	"strconv"
	"strings"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
)

// QueryMillis returns the query parameter name as an instant in Unix
// milliseconds, or def if it is missing or empty. If it returns false, the
// error response has been written.
func QueryMillis(ctx *fasthttp.RequestCtx, name string, def timer.Millis) (timer.Millis, bool) {
	v := strings.TrimSpace(string(ctx.QueryArgs().Peek(name)))
	if v == "" {
		return def, true
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 {
		answerer.Fail(ctx, answerer.Invalid(answerer.CodeInvalidField, name, "%s must be a time in Unix milliseconds", name))
		return 0, false
	}
	return timer.Millis(n), true
}
