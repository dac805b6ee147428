package suspector

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// tellFor is for how long a record is told to the other hosts.
const tellFor timer.Millis = 1500

// witnessRules refuse a call for a short time first: when many servers fail at
// once, those under which three of them failed are not all to blame.
var witnessRules = Rules{Deaths: 3, BlameTime: 5 * timer.Second, AmbiguousTime: 5 * timer.Second, Growth: 4}

// Fingerprint names a call by what makes it the same when it comes again.
func Fingerprint(workspace, target string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(target)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Witness knows the calls under which servers fail, from what its own host sees
// and what others tell. It is safe for concurrent use.
type Witness struct {
	*book
	logger *zap.Logger

	mu sync.Mutex
	// failing is since when servers have failed and not answered.
	failing map[string]timer.Millis
	// own are this host's records of the last tellFor, oldest first.
	own []ownRecord
}

// ownRecord is one death or survival, and when it was.
type ownRecord struct {
	records Records
	at      timer.Millis
}

// NewWitness returns a Witness that knows nothing.
func NewWitness(c timer.Clock, l *zap.Logger) *Witness {
	return &Witness{book: newBook(NewTable(witnessRules), c), logger: l, failing: make(map[string]timer.Millis)}
}

// Answered records that a server sent something.
func (w *Witness) Answered(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.failing, server)
}

// Forget drops what is known of servers for which known says no.
func (w *Witness) Forget(known func(server string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.failing {
		if !known(id) {
			delete(w.failing, id)
		}
	}
}

// wasFailing says whether a server was known to fail at an instant, and notes
// that it fails now.
func (w *Witness) wasFailing(server string, at timer.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	since, ok := w.failing[server]
	if !ok {
		w.failing[server] = w.clock.Now()
	}
	return ok && at >= since
}

// Failed records that an incarnation of a server broke off a call, or left it,
// that had been sent at an instant and had no answer yet.
func (w *Witness) Failed(server string, fingerprint uint64, sent timer.Millis) {
	fields := []zap.Field{zap.String("server", server), zap.Uint64("fingerprint", fingerprint)}
	if w.wasFailing(server, sent) {
		w.logger.Info("failure not held against a call", append(fields, zap.String("reason", "the server failed before the call came"))...)
		return
	}
	id := server + "-" + strconv.FormatUint(fingerprint, 16)
	news := w.record(Records{Deaths: []Death{{ID: id, Server: server, Fingerprints: []uint64{fingerprint}}}})
	w.logger.Info("failure held against a call", append(fields, zap.Bool("counted-before", !news))...)
	if d, refused := w.Refused(fingerprint); refused {
		w.logger.Warn("servers fail under a call", zap.String("server", server), zap.Uint64("fingerprint", fingerprint), zap.Int64("refused-ms", int64(d)))
	}
}

// Survived records that a server answered a call. It costs nothing unless the
// call is suspected.
func (w *Witness) Survived(fingerprint uint64) {
	if r, ok := w.table.Load().Survival(fingerprint, w.clock.Now()); ok {
		w.record(Records{Survivals: []Survival{r}})
	}
}

// record adds what this host saw and says whether it was new.
func (w *Witness) record(r Records) bool {
	if !w.add(r) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.own = append(w.own, ownRecord{records: r, at: w.clock.Now()})
	return true
}

// Told returns what this host tells the others now.
func (w *Witness) Told() Records {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	for len(w.own) > 0 && now-w.own[0].at > tellFor {
		w.own = w.own[1:]
	}
	var out Records
	for _, o := range w.own {
		for _, d := range o.records.Deaths {
			d.Age = now - o.at
			out.Deaths = append(out.Deaths, d)
		}
		for _, s := range o.records.Survivals {
			s.Age = now - o.at
			out.Survivals = append(out.Survivals, s)
		}
	}
	return out
}

// Hear takes in what another host told.
func (w *Witness) Hear(r Records) {
	if len(r.Deaths)+len(r.Survivals) > 0 {
		w.add(r)
	}
}
