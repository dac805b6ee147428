package server

import (
	"crypto/tls"
	"net"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/holder"
)

// refusalAnswer is the response to a caller whose connection is refused. Its request has not
// been read.
var refusalAnswer = holder.RefusalResponse("application/json", `{"error":{"message":"this host has no connection for the request now","type":"`+answerer.TypeServer+`","param":null,"code":"`+answerer.CodeOverBudget+`"}}`,
	answerer.HeaderNotRun+": true")

// wrapListener returns l with write timeouts and, if configured, TLS on its
// connections, which count in the budget.
func (s *Server) wrapListener(l net.Listener) net.Listener {
	answer := refusalAnswer
	if s.options.TLS != nil {
		// A connection that is refused has no TLS yet.
		answer = ""
	}
	l = s.guardian.WrapListener(s.options.Budget.Connections.Callers().Listener(l, answer))
	if s.options.TLS == nil {
		return l
	}
	return tls.NewListener(l, s.options.TLS)
}
