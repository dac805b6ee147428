package storer

import (
	"context"
	"fmt"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Revision numbers the changes of the store in order. It starts above zero.
type Revision uint64

// Lease identifies a lease; zero means no lease.
type Lease uint64

// Item is a key with its value and the revision of its last change. If Lease is not
// zero, the key is removed when that lease ends.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    Lease
}

// Change is one write or deletion of a key.
type Change struct {
	Item
	Deleted bool
}

// Changes holds the changes after a revision, up to and including Current.
type Changes struct {
	List    []Change
	Current Revision
}

// Condition is true if Key was last changed at Revision, or, for a zero Revision, if
// the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Transaction changes all of its keys atomically if all of its conditions are true,
// and otherwise none.
type Transaction struct {
	Conditions []Condition
	Set        []Item
	Delete     []string
}

// Ledger is a linearizable key-value store with leases, watches and transactions.
// Every call of a method counts as one call to the service. All methods are safe for
// concurrent use.
type Ledger interface {
	// Range returns all keys that begin with prefix, and a revision: a Watch after it
	// misses no later change of these keys.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes of keys that begin with prefix after a revision, as
	// soon as there are any or wait has elapsed. After a *HistoryGoneError the caller
	// must Range again.
	Watch(ctx context.Context, prefix string, after Revision, wait timer.Millis) (Changes, error)
	// Commit applies t. A *ConflictError means that a condition was false and nothing
	// was changed. After an *UnknownOutcomeError the transaction may have been
	// applied, or may still be applied later if its conditions are true then.
	Commit(ctx context.Context, t Transaction) (Revision, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl timer.Millis) (Lease, error)
	// Renew renews a lease. It returns a *LeaseEndedError if the lease has ended.
	Renew(ctx context.Context, l Lease) error
	// Revoke ends a lease and removes the keys attached to it.
	Revoke(ctx context.Context, l Lease) error
}

// HistoryGoneError reports that the store no longer keeps the changes after a revision.
type HistoryGoneError struct{ After Revision }

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("changes after revision %d are no longer kept", e.After)
}

// ConflictError reports that a condition of a transaction was false.
type ConflictError struct {
	// Key is that of the condition, or of the first one if the store does not say which.
	Key string
	// Current are the items of the conditions that exist, as they were then. It is nil if
	// the store did not report them.
	Current []Item
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition on %q does not hold", e.Key)
}

// LeaseEndedError reports that a lease has expired or was revoked.
type LeaseEndedError struct{ Lease Lease }

func (e *LeaseEndedError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease) }

// UnknownOutcomeError reports that the outcome of a call is unknown: it may have taken
// effect.
type UnknownOutcomeError struct {
	Call string
	Err  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("store %s: outcome unknown: %v", e.Call, e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
