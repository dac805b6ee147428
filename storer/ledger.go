package storer

import (
	"context"
	"fmt"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Revision is the store's count of changes. It starts above zero.
type Revision uint64

// Lease identifies a lease; zero is none.
type Lease uint64

// Item is a key as it was written.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    Lease
}

// Change is one change of a key: what was written, or that the key was deleted.
type Change struct {
	Item
	Deleted bool
}

// Changes are the changes after a revision, up to and with Current.
type Changes struct {
	List    []Change
	Current Revision
}

// Condition holds while Key was last changed at Revision; zero means that the
// key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Transaction changes all of its keys, if all of its conditions hold, or none.
type Transaction struct {
	Conditions []Condition
	Set        []Item
	Delete     []string
}

// Ledger is a linearizable store with leases, watches and transactions. Each
// call of a method is a counted call; all are safe for concurrent use.
type Ledger interface {
	// Range reads all keys that begin with prefix and the revision from which a
	// Watch misses no later change of them.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes after a revision, as soon as there are any or
	// wait has passed. A *HistoryGoneError says that keys must be read anew.
	Watch(ctx context.Context, prefix string, after Revision, wait timer.Millis) (Changes, error)
	// Commit carries t out. A *ConflictError says that a condition did not hold
	// and nothing was done; after a *UnknownError the transaction may have been
	// carried out, or may be later while its conditions hold.
	Commit(ctx context.Context, t Transaction) (Revision, error)
	// Grant makes a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl timer.Millis) (Lease, error)
	// Renew renews a lease. A *LeaseEndedError says that it has ended.
	Renew(ctx context.Context, l Lease) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, l Lease) error
}

// HistoryGoneError says that the changes after a revision are no longer kept.
type HistoryGoneError struct{ After Revision }

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("changes after revision %d are no longer kept", e.After)
}

// ConflictError says that a condition of a transaction did not hold.
type ConflictError struct{ Key string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition on %q does not hold", e.Key)
}

// LeaseEndedError says that a lease has ended.
type LeaseEndedError struct{ Lease Lease }

func (e *LeaseEndedError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease) }

// UnknownError says that a call may have taken effect.
type UnknownError struct {
	Call string
	Err  error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("store %s: outcome unknown: %v", e.Call, e.Err)
}

func (e *UnknownError) Unwrap() error { return e.Err }
