package recorder

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
)

// attestingHosts is the number of hosts that attest the key of each member.
const attestingHosts = 3

// newAttestations returns attestations of the members' keys that this host must
// attest and has not attested yet.
func (r *Recorder) newAttestations() []Attestation {
	s := r.options.Viewer.View()
	var out []Attestation
	for _, m := range s.Record.Members {
		if len(m.UsageKey) == 0 || r.attested[m.Incarnation] || !mustAttest(s, m) {
			continue
		}
		r.attested[m.Incarnation] = true
		out = append(out, Attestation{Host: m.Name, Incarnation: m.Incarnation, Key: m.UsageKey})
	}
	return out
}

// mustAttest reports whether this host attests the key of m: it is a member and its
// score for m is among the attestingHosts highest, m itself not counted.
func mustAttest(s coordinator.Snapshot, m registrar.Member) bool {
	if m.Name == s.Self.Name {
		return false
	}
	ownScore := assigner.Score(m.Incarnation, s.Self.Name)
	higher := 0
	for _, o := range s.Record.Members {
		if o.Name != m.Name && o.Name != s.Self.Name && assigner.Score(m.Incarnation, o.Name) > ownScore {
			higher++
		}
	}
	return higher < attestingHosts && slices.ContainsFunc(s.Record.Members, func(o registrar.Member) bool {
		return o.Name == s.Self.Name && o.Incarnation == s.Self.Incarnation
	})
}
