package server

import (
	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

func zapCode(code string) zap.Field { return zap.String("code", code) }

func zapRemote(ctx *fasthttp.RequestCtx) zap.Field {
	return zap.String("caller", ctx.RemoteAddr().String())
}

// handleBroken answers requests that could not be read.
func (s *Server) handleBroken(ctx *fasthttp.RequestCtx, err error) {
	e := s.receiver.ReadError(err)
	answerer.Fail(ctx, e)
	ctx.SetConnectionClose()
	s.options.Logger.Info("request unreadable", zapCode(e.Code), zapRemote(ctx))
}
