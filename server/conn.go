package server

import (
	"crypto/tls"
	"net"
)

// wrapListener returns l with write timeouts and, if configured, TLS on its
// connections.
func (s *Server) wrapListener(l net.Listener) net.Listener {
	l = s.guardian.WrapListener(l)
	if s.options.TLS == nil {
		return l
	}
	return tls.NewListener(l, s.options.TLS)
}
