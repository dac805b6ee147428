package coordinator

// Hosts provides the peer addresses of the other members in the current Snapshot of
// Viewer, and this host's incarnation.
type Hosts struct{ Viewer Viewer }

// Incarnation returns this host's incarnation.
func (h Hosts) Incarnation() string { return h.Viewer.View().Self.Incarnation }

// Others returns the peer addresses of the other members.
func (h Hosts) Others() []string {
	v := h.Viewer.View()
	out := make([]string, 0, len(v.Record.Members))
	for _, m := range v.Record.Members {
		if m.Name != v.Self.Name {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}
