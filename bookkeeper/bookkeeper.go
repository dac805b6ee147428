// Package bookkeeper keeps the manifests of batch jobs in the store, one value a
// job, and makes the names of jobs, files and segments.
//
// Invariants:
//
//   - A Manifest is immutable: changes are methods that return another one.
//   - Every write is a compare-and-swap. Each carries an identifier, so that a
//     write whose answer was lost is recognised and not made twice.
//   - A write on behalf of an owner is refused once an owner of a later epoch has
//     written (AsOwner).
package bookkeeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// Book reads and writes manifests in the store.
type Book struct{ store storer.Store }

// New returns the Book that s has.
func New(s storer.Store) Book { return Book{store: s} }

// StaleError says that an owner of a later epoch has written the manifest.
type StaleError struct{ JobID string }

func (e *StaleError) Error() string { return fmt.Sprintf("job %s has a later owner", e.JobID) }

// ErrNoManifest says that the store has no such job.
var ErrNoManifest = errors.New("no manifest")

// Backoff of repeated calls to the store.
const (
	storeBackoff    = 100 * time.Millisecond
	maxStoreBackoff = 5 * time.Second
)

// Get reads a manifest; ErrNoManifest when there is none.
func (s Book) Get(ctx context.Context, id string) (Manifest, storer.Version, error) {
	v, err := s.store.Get(ctx, manifestPrefix+id)
	if err != nil {
		return Manifest{}, 0, eris.Wrapf(err, "read manifest of %s", id)
	}
	if v.Version == 0 {
		return Manifest{}, 0, ErrNoManifest
	}
	m, err := decodeManifest(v.Data)
	return m, v.Version, err
}

// Create writes m if its key is free, and returns the manifest that is there
// then. A lost answer is resolved by reading again until ctx ends.
func (s Book) Create(ctx context.Context, m Manifest) (Manifest, error) {
	m.WriteID = uuid.NewString()
	for wait := storeBackoff; ; wait = min(2*wait, maxStoreBackoff) {
		err := s.swap(ctx, m, 0)
		if err == nil {
			return m, nil
		}
		have, _, readErr := s.Get(ctx, m.Job.ID)
		if readErr == nil {
			return have, nil
		}
		if !errors.Is(readErr, ErrNoManifest) {
			err = readErr
		}
		if unavailable := new(storer.UnavailableError); !errors.As(err, &unavailable) && !errors.Is(err, errSwapped) {
			return Manifest{}, err
		}
		if pause(ctx, wait) != nil {
			return Manifest{}, err
		}
	}
}

// errSwapped says that the value changed in between.
var errSwapped = errors.New("manifest changed")

// swap writes m over version old.
func (s Book) swap(ctx context.Context, m Manifest, old storer.Version) error {
	data, err := m.encode()
	if err != nil {
		return err
	}
	ok, err := s.store.CompareAndSwap(ctx, manifestPrefix+m.Job.ID, data, old)
	if err != nil {
		return eris.Wrapf(err, "write manifest of %s", m.Job.ID)
	}
	if !ok {
		return errSwapped
	}
	return nil
}

// Update applies change to the newest manifest until a write of it is known to
// have taken effect. Change may be called more than once, also on a manifest
// that has its effect already, and must then change nothing.
func (s Book) Update(ctx context.Context, id string, change func(Manifest) (Manifest, error)) (Manifest, error) {
	write := uuid.NewString()
	for wait := storeBackoff; ; wait = min(2*wait, maxStoreBackoff) {
		m, err := s.try(ctx, id, write, change)
		var unavailable *storer.UnavailableError
		if err == nil || (!errors.Is(err, errSwapped) && !errors.As(err, &unavailable)) {
			return m, err
		}
		if pause(ctx, wait) != nil {
			return Manifest{}, err
		}
	}
}

func (s Book) try(ctx context.Context, id, write string, change func(Manifest) (Manifest, error)) (Manifest, error) {
	have, version, err := s.Get(ctx, id)
	if err != nil {
		return Manifest{}, err
	}
	if have.WriteID == write {
		return have, nil
	}
	next, err := change(have)
	if err != nil {
		return have, err
	}
	next.WriteID = write
	return next, s.swap(ctx, next, version)
}

// AsOwner makes change refuse a manifest that a later owner wrote.
func AsOwner(epoch registrar.Epoch, change func(Manifest) (Manifest, error)) func(Manifest) (Manifest, error) {
	return func(m Manifest) (Manifest, error) {
		if m.Epoch > epoch {
			return m, &StaleError{JobID: m.Job.ID}
		}
		return change(m)
	}
}

// JobIDs returns the identifiers of a workspace's jobs.
func (s Book) JobIDs(ctx context.Context, workspace string) ([]string, error) {
	keys, err := s.store.List(ctx, manifestPrefix+jobPrefix(workspace))
	if err != nil {
		return nil, err
	}
	for i, k := range keys {
		keys[i] = strings.TrimPrefix(k, manifestPrefix)
	}
	return keys, nil
}

// removePace is the time between two reads of the store by RemoveExpired.
const removePace = 100 * time.Millisecond

// RemoveExpired deletes the manifests of jobs whose results have expired and
// says how many. What it can't read or delete is left for the next time.
func (s Book) RemoveExpired(ctx context.Context) (int, error) {
	keys, err := s.store.List(ctx, manifestPrefix)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, k := range keys {
		if err := pause(ctx, removePace); err != nil {
			return removed, err
		}
		m, version, err := s.Get(ctx, strings.TrimPrefix(k, manifestPrefix))
		if err != nil || m.Job.Expires == 0 || m.Job.Expires > timer.Wall() {
			continue
		}
		if ok, err := s.store.Delete(ctx, k, version); ok && err == nil {
			removed++
		}
	}
	return removed, nil
}

// pause waits about d.
func pause(ctx context.Context, d time.Duration) error {
	if timer.SleepDuration(ctx, d/2+rand.N(d)) {
		return nil
	}
	return ctx.Err()
}
