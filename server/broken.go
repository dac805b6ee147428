package server

import (
	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

func codeField(code string) zap.Field { return zap.String("code", code) }

func callerField(ctx *fasthttp.RequestCtx) zap.Field {
	return zap.String("caller", ctx.RemoteAddr().String())
}

// handleReadError responds to a request that could not be read from the
// connection, and closes the connection.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	e := s.receiver.ReadError(err)
	answerer.Fail(ctx, e)
	ctx.SetConnectionClose()
	s.guardian.LingerOnClose(ctx.Conn())
	s.options.Logger.Info("request could not be read", codeField(e.Code), callerField(ctx))
}
