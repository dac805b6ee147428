package messenger

import (
	"context"
	"errors"
	"sync"
)

// Memory connects the hosts of one process without a network, for tests. It follows
// the same rules as the WebSocket transport, and can cut the connection of a pair of
// hosts. It is safe for concurrent use.
type Memory struct {
	mu    sync.Mutex
	hosts map[string]*MemoryHost
	cut   map[[2]string]bool
}

// MemoryHost is one host of a Memory.
type MemoryHost struct {
	net     *Memory
	peer    Peer
	address string

	mu       sync.Mutex
	handlers map[Method]Handler
}

var errCut = errors.New("connection cut")

// NewMemory returns a network without hosts.
func NewMemory() *Memory {
	return &Memory{hosts: make(map[string]*MemoryHost), cut: make(map[[2]string]bool)}
}

// Host adds a host at address and returns it. It replaces any earlier host there.
func (m *Memory) Host(address string, p Peer) *MemoryHost {
	h := &MemoryHost{net: m, peer: p, address: address, handlers: make(map[Method]Handler)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts[address] = h
	return h
}

// Cut makes new calls from one address to another fail, in that direction only;
// with on false it allows them again.
func (m *Memory) Cut(from, to string, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[[2]string{from, to}] = on
}

// Remove removes the host at address.
func (m *Memory) Remove(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.hosts, address)
}

func (m *Memory) find(from, to string) (*MemoryHost, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.hosts[to]
	if !ok || m.cut[[2]string{from, to}] {
		return nil, &NotSentError{Address: to, Err: errCut}
	}
	return h, nil
}

// Handle implements Registry.
func (h *MemoryHost) Handle(method Method, f Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlers[method] = f
}

func (h *MemoryHost) handler(method Method) (Handler, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, ok := h.handlers[method]
	return f, ok
}

// Call implements Caller.
func (h *MemoryHost) Call(ctx context.Context, address string, method Method, body []byte, each func([]byte) error) error {
	to, err := h.net.find(h.address, address)
	if err != nil {
		return err
	}
	f, ok := to.handler(method)
	if !ok {
		return &RemoteError{Code: "unknown-method", Message: string(method)}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var eachErr error
	err = f(ctx, h.peer, body, func(frame []byte) error {
		if each == nil || eachErr != nil {
			return eachErr
		}
		eachErr = each(frame)
		return eachErr
	})
	switch {
	case eachErr != nil:
		return eachErr
	case ctx.Err() != nil:
		return ctx.Err()
	}
	if r := asRemoteError(err); r != nil {
		return r
	}
	return nil
}

// asRemoteError returns the RemoteError that the caller receives for a handler's error.
func asRemoteError(err error) *RemoteError {
	if err == nil {
		return nil
	}
	var r *RemoteError
	if errors.As(err, &r) {
		return r
	}
	return &RemoteError{Code: "internal", Message: err.Error()}
}
