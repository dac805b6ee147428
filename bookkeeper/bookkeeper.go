// Package bookkeeper stores the manifests of batch jobs, one value in the store for
// each job, and derives the names of jobs, files and segments.
//
// Invariants:
//
//   - A Manifest is immutable: the methods that change it return a modified copy.
//   - Every write is a compare-and-swap. Each contains an identifier, so that a write
//     whose response was lost is recognised and not applied twice.
//   - A write on behalf of an owner is rejected once an owner of a later epoch has
//     written the manifest (AsOwner).
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

// ManifestStore reads and writes manifests in the store. It is safe for concurrent
// use if its store is.
type ManifestStore struct{ store storer.Store }

// New returns the ManifestStore of the manifests in s.
func New(s storer.Store) ManifestStore { return ManifestStore{store: s} }

// StaleError reports that an owner of a later epoch has written the manifest.
type StaleError struct{ JobID string }

func (e *StaleError) Error() string { return fmt.Sprintf("job %s has a later owner", e.JobID) }

// ErrNoManifest reports that the store has no manifest of the job.
var ErrNoManifest = errors.New("no manifest")

// Delays between repeated calls to the store: the first one, which doubles with each
// attempt, and its maximum. sleepWithJitter randomises them.
const (
	storeBackoff    = 100 * time.Millisecond
	maxStoreBackoff = 5 * time.Second
)

// Get returns the manifest of the job with this identifier, and its version in the
// store. It returns ErrNoManifest if there is none.
func (s ManifestStore) Get(ctx context.Context, id string) (Manifest, storer.Version, error) {
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

// Create writes m if the store has no manifest of the job, and returns the manifest
// that the store has then. If it is unknown whether the write took effect, Create
// reads the manifest and retries until it is known or ctx ends.
func (s ManifestStore) Create(ctx context.Context, m Manifest) (Manifest, error) {
	m.WriteID = uuid.NewString()
	for wait := storeBackoff; ; wait = min(2*wait, maxStoreBackoff) {
		err := s.compareAndSwap(ctx, m, 0)
		if err == nil {
			return m, nil
		}
		existing, _, readErr := s.Get(ctx, m.Job.ID)
		if readErr == nil {
			return existing, nil
		}
		if !errors.Is(readErr, ErrNoManifest) {
			err = readErr
		}
		if unavailable := new(storer.UnavailableError); !errors.As(err, &unavailable) && !errors.Is(err, errConflict) {
			return Manifest{}, err
		}
		if sleepWithJitter(ctx, wait) != nil {
			return Manifest{}, err
		}
	}
}

// errConflict reports that the value has changed since it was read.
var errConflict = errors.New("manifest changed")

// compareAndSwap writes m if the store has version old. Otherwise it returns
// errConflict.
func (s ManifestStore) compareAndSwap(ctx context.Context, m Manifest, old storer.Version) error {
	data, err := m.encode()
	if err != nil {
		return err
	}
	ok, err := s.store.CompareAndSwap(ctx, manifestPrefix+m.Job.ID, data, old)
	if err != nil {
		return eris.Wrapf(err, "write manifest of %s", m.Job.ID)
	}
	if !ok {
		return errConflict
	}
	return nil
}

// Update applies change to the newest manifest and writes the result. It retries until
// the write is known to have taken effect, change returns an error, or ctx ends. It
// returns the manifest that was written. change must be idempotent: it may be called
// more than once, also with a manifest to which it was already applied.
func (s ManifestStore) Update(ctx context.Context, id string, change func(Manifest) (Manifest, error)) (Manifest, error) {
	writeID := uuid.NewString()
	for wait := storeBackoff; ; wait = min(2*wait, maxStoreBackoff) {
		m, err := s.tryUpdate(ctx, id, writeID, change)
		var unavailable *storer.UnavailableError
		if err == nil || (!errors.Is(err, errConflict) && !errors.As(err, &unavailable)) {
			return m, err
		}
		if sleepWithJitter(ctx, wait) != nil {
			return Manifest{}, err
		}
	}
}

// tryUpdate makes one attempt of Update. writeID identifies the update in all attempts.
func (s ManifestStore) tryUpdate(ctx context.Context, id, writeID string, change func(Manifest) (Manifest, error)) (Manifest, error) {
	current, version, err := s.Get(ctx, id)
	if err != nil {
		return Manifest{}, err
	}
	if current.WriteID == writeID {
		return current, nil
	}
	next, err := change(current)
	if err != nil {
		return current, err
	}
	next.WriteID = writeID
	return next, s.compareAndSwap(ctx, next, version)
}

// AsOwner returns a function that applies change on behalf of the owner of this epoch.
// It returns a StaleError for a manifest that an owner of a later epoch has written.
func AsOwner(epoch registrar.Epoch, change func(Manifest) (Manifest, error)) func(Manifest) (Manifest, error) {
	return func(m Manifest) (Manifest, error) {
		if m.Epoch > epoch {
			return m, &StaleError{JobID: m.Job.ID}
		}
		return change(m)
	}
}

// JobIDs returns the identifiers of the workspace's jobs that have a manifest.
func (s ManifestStore) JobIDs(ctx context.Context, workspace string) ([]string, error) {
	keys, err := s.store.List(ctx, manifestPrefix+jobPrefix(workspace))
	if err != nil {
		return nil, err
	}
	for i, k := range keys {
		keys[i] = strings.TrimPrefix(k, manifestPrefix)
	}
	return keys, nil
}

// removeInterval is the time between two reads of the store by RemoveExpired.
const removeInterval = 100 * time.Millisecond

// RemoveExpired deletes the manifests of jobs whose results have expired, and returns
// the number of deleted manifests. It skips manifests that it can't read or delete; a
// later call tries them again. It returns an error if the manifests can't be listed or
// ctx ends.
func (s ManifestStore) RemoveExpired(ctx context.Context) (int, error) {
	keys, err := s.store.List(ctx, manifestPrefix)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, k := range keys {
		if err := sleepWithJitter(ctx, removeInterval); err != nil {
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

// sleepWithJitter waits for a random time between d/2 and 3d/2. It returns ctx's error
// if ctx ends first.
func sleepWithJitter(ctx context.Context, d time.Duration) error {
	if timer.SleepDuration(ctx, d/2+rand.N(d)) {
		return nil
	}
	return ctx.Err()
}
