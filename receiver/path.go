package receiver

import (
	"strings"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/valyala/fasthttp"
)

// IsUnder reports whether path is root or below it.
func IsUnder(path, root string) bool {
	rest, ok := strings.CutPrefix(path, root)
	return ok && (rest == "" || rest[0] == '/')
}

// RequireMethod calls handler if the request has the given method. Otherwise it
// responds that the method is not allowed.
func RequireMethod(ctx *fasthttp.RequestCtx, method string, handler func(*fasthttp.RequestCtx)) {
	if string(ctx.Method()) == method {
		handler(ctx)
		return
	}
	answerer.FailMethod(ctx, method)
}

// PathParts splits the part of the path below root into an identifier and a
// verb. Either may be empty.
func PathParts(ctx *fasthttp.RequestCtx, root string) (id, verb string) {
	rest := strings.TrimPrefix(strings.TrimPrefix(string(ctx.Path()), root), "/")
	id, verb, _ = strings.Cut(rest, "/")
	return id, verb
}
