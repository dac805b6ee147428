package answerer

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// JSON responds with the given status and v encoded as JSON. If v can't be
// encoded, it responds with Internal.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		Fail(ctx, Internal())
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
