package coordinator

// Hosts answers questions about the members that a Viewer knows.
type Hosts struct{ Viewer Viewer }

// Incarnation is this host's own.
func (h Hosts) Incarnation() string { return h.Viewer.View().Self.Incarnation }

// Others returns the addresses at which the other members take calls.
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
