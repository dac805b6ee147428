// Package storer defines the interfaces to the platform's key-value service, with
// clients and in-memory implementations.
//
// Store is a service with single-key compare-and-swap; Ledger is one with leases,
// watches and transactions.
//
// The service is the only place where concurrent changes are ordered. It can be slow
// or unavailable for a long time, and a response can be lost after the change took
// effect. An error of CompareAndSwap therefore does not determine whether the write
// happened. A writer that must determine it puts an identifier of its own into the
// value.
package storer

import (
	"context"
	"fmt"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Version is the service's modification index of a value. Zero means that the
// key does not exist.
type Version uint64

// Value is a value and the version at which it was read. The zero Value means that
// the key does not exist.
type Value struct {
	Data    []byte
	Version Version
}

// Host is one entry of the platform's list of hosts.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Store is the platform's key-value service. Every call of a method counts as one call
// to the service. All methods are safe for concurrent use.
type Store interface {
	// Get returns the newest value of key, or a zero Value if the key does not exist.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the version of key is still old, and reports
	// whether it did. On an error the write may have happened.
	CompareAndSwap(ctx context.Context, key string, data []byte, old Version) (bool, error)
	// Delete removes key if its version is still old, and reports whether the key
	// no longer exists. That is also true if it did not exist before.
	Delete(ctx context.Context, key string, old Version) (bool, error)
	// Watch waits until the version of key differs from old or wait has elapsed,
	// then returns the newest value. It counts as one call.
	Watch(ctx context.Context, key string, old Version, wait timer.Millis) (Value, error)
	// List returns the keys that start with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
	// Hosts returns the platform's list of running and leaving hosts. The list lags
	// behind changes.
	Hosts(ctx context.Context) ([]Host, error)
}

// UnavailableError reports that the service gave no usable response.
type UnavailableError struct {
	// Call is the kind of call: get, compare-and-swap, delete, watch, list, hosts.
	Call string
	Key  string
	Err  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store %s %q: %v", e.Call, e.Key, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }
