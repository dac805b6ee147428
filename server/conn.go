package server

import (
	"crypto/tls"
	"net"

	"github.com/jackdawgate/jackdawgate/holder"
)

// wrapListener returns l with write timeouts and, if configured, TLS on its
// connections, which count in the budget.
func (s *Server) wrapListener(l net.Listener) net.Listener {
	answer := holder.RefusalAnswer
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
