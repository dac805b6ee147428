package holder

import (
	"syscall"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Shares of a host's memory: for the answers of backend servers, for the output of batch items
// that are not done, for messages of other hosts while they are received, for the bodies of
// callers' requests, and for the buffers of connections. None takes the share of another.
const (
	answerShare     = 0.125
	outputShare     = 0.125
	messageShare    = 0.1875
	bodyShare       = 0.1875
	connectionShare = 0.125
	// peerShare is that for the buffers of connections of peers and to the other addresses.
	peerShare = 0.0625
)

const (
	// connectionBytes is what an open connection of a caller occupies at most: the buffers and
	// stacks of its goroutines and an unfinished header of 16 KB.
	connectionBytes = 40 << 10
	// defaultBodies is the memory for bodies if the host's memory is not known, in bytes:
	// eleven of the longest at once.
	defaultBodies = 48 << 20
	// defaultMessages is the same for messages of other hosts.
	defaultMessages = 128 << 20
	// defaultConnections bounds connections if neither memory nor descriptors say less.
	defaultConnections = 20000
	// callerShare and otherShare are the parts of the descriptors that connections of callers,
	// and of peers and to the other addresses, may use. The rest is a reserve for servers,
	// peers, the store and files.
	callerShare = 0.625
	otherShare  = 0.125
)

// Resources is what a process may use. Zero fields are unknown.
type Resources struct {
	MemoryMB int
	// Descriptors is the limit on open files and sockets. The limit of the process applies too.
	Descriptors int
	// Connections is the most connections of callers.
	Connections int
}

// Budget is the budget of a process for what it holds for others: bytes and connections.
type Budget struct {
	Answers, Outputs, Messages, Bodies *Holder
	Connections                        Connections
	Reporter                           *Reporter
}

// NewBudget returns the budget of a process with these resources. Refusals are reported to r,
// which may be nil.
func NewBudget(o Resources, c timer.Clock, r *Reporter) *Budget {
	b := &Budget{Reporter: r, Answers: New(0), Outputs: New(0), Messages: New(defaultMessages), Bodies: New(defaultBodies)}
	if o.MemoryMB > 0 {
		part := func(share float64) *Holder { return New(int64(float64(o.MemoryMB) * share * (1 << 20))) }
		b.Answers, b.Outputs, b.Messages, b.Bodies = part(answerShare), part(outputShare), part(messageShare), part(bodyShare)
	}
	b.Bodies.clock, b.Bodies.reporter = c, r
	callers, others := o.connections()
	b.Connections = Connections{callers: NewGroup(callers, c, r), others: newPeerGroup(others, c, r)}
	return b
}

// connections returns the limits on connections of callers and of others.
func (o Resources) connections() (callers, others int) {
	callers, others = defaultConnections, defaultConnections
	if d := o.descriptors(); d > 0 {
		callers, others = int(float64(d)*callerShare), int(float64(d)*otherShare)
	}
	if o.MemoryMB > 0 {
		fits := func(share float64) int { return int(float64(o.MemoryMB) * share * (1 << 20) / connectionBytes) }
		callers, others = min(callers, fits(connectionShare)), min(others, fits(peerShare))
	}
	if o.Connections > 0 {
		callers = min(callers, o.Connections)
	}
	return max(1, callers), max(1, others)
}

// descriptors returns the limit on descriptors, or 0 if it is unknown.
func (o Resources) descriptors() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<30 {
		return o.Descriptors
	}
	if o.Descriptors > 0 {
		return min(o.Descriptors, int(l.Cur))
	}
	return int(l.Cur)
}
