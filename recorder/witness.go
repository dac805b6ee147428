package recorder

import (
	"crypto/ed25519"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
)

// attestingHosts is the number of hosts that attest the key of each member.
const attestingHosts = 3

// KeysOf returns the keys that a record vouches for: those of its members and of its
// former members.
func KeysOf(r registrar.Record) Keys {
	keys := make(Keys)
	for incarnation, f := range r.Former {
		keys.add(incarnation, f.UsageKey)
	}
	for _, m := range r.Members {
		keys.add(m.Incarnation, m.UsageKey)
	}
	return keys
}

// add adds a key unless it isn't one.
func (k Keys) add(incarnation string, key []byte) {
	if len(key) == ed25519.PublicKeySize {
		k[incarnation] = key
	}
}

// newAttestations returns attestations of the keys of members and former members that
// this host must attest and has not attested yet.
func (r *Recorder) newAttestations() []Attestation {
	s := r.options.Viewer.View()
	var out []Attestation
	attest := func(host, incarnation string, key []byte) {
		if len(key) == 0 || r.attested[incarnation] || !mustAttest(s, incarnation) {
			return
		}
		r.attested[incarnation] = true
		out = append(out, Attestation{Host: host, Incarnation: incarnation, Key: key})
	}
	for _, m := range s.Record.Members {
		attest(m.Name, m.Incarnation, m.UsageKey)
	}
	for _, incarnation := range slices.Sorted(maps.Keys(s.Record.Former)) {
		f := s.Record.Former[incarnation]
		attest(f.Name, incarnation, f.UsageKey)
	}
	return out
}

// mustAttest reports whether this host attests the key of an incarnation: it is another
// member, and its score is among the attestingHosts highest of such members.
func mustAttest(s coordinator.Snapshot, incarnation string) bool {
	if incarnation == s.Self.Incarnation {
		return false
	}
	ownScore := assigner.Score(incarnation, s.Self.Name)
	higher := 0
	for _, o := range s.Record.Members {
		if o.Incarnation != incarnation && o.Name != s.Self.Name && assigner.Score(incarnation, o.Name) > ownScore {
			higher++
		}
	}
	return higher < attestingHosts && slices.ContainsFunc(s.Record.Members, func(o registrar.Member) bool {
		return o.Name == s.Self.Name && o.Incarnation == s.Self.Incarnation
	})
}
