package guardian

import (
	"io"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// Stream sends the output of write as the response body while it is written. If write
// fails, the connection is closed before the end of the body, so that the client can't
// mistake the response for a complete one. Stream calls End for o.
func (g *Guardian) Stream(ctx *fasthttp.RequestCtx, o *Call, write func(io.Writer) error) {
	r, w := io.Pipe()
	c := &responseBody{PipeReader: r, guardian: g, call: o, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		err := write(&checkedWriter{guardian: g, call: o, to: w})
		if err != nil {
			g.options.Logger.Warn("response body truncated", zap.Error(err))
		}
		// CloseWithError never fails; a nil err ends the body.
		_ = w.CloseWithError(err)
	}()
	ctx.Response.SetBodyStream(c, -1)
}

// responseBody is a response body that another goroutine writes.
type responseBody struct {
	*io.PipeReader
	guardian *Guardian
	call     *Call
	done     chan struct{}
}

// Close implements io.Closer. It cancels the call, waits for the writing goroutine,
// and ends the call.
func (c *responseBody) Close() error {
	err := c.PipeReader.Close()
	c.call.Cancel(ErrCallerDisconnected)
	<-c.done
	c.guardian.End(c.call)
	return err
}

// checkedWriter calls Guardian.Check before each write.
type checkedWriter struct {
	guardian *Guardian
	call     *Call
	to       io.Writer
}

// Write implements io.Writer.
func (w *checkedWriter) Write(p []byte) (int, error) {
	if err := w.guardian.Check(w.call); err != nil {
		return 0, err
	}
	return w.to.Write(p)
}
