// Package batcher implements submitter.API: it accepts batch jobs, notifies their
// owners, and returns their state and results.
//
// # Storage
//
// A job's items are one final segment of package replicator, written before the
// job is accepted. Its manifest is one value in the store, written a few times
// per job: when the job is accepted, when an owner takes it over, when a result
// segment is closed, when the job is cancelled and when it ends. Results are
// appended to the job's open result segment. The manifest lists all result
// segments in order.
//
// # Ownership
//
// A job is owned by the member that coordinator.Snapshot.Owner returns. That
// member acts on the job only while coordinator.Snapshot.Owns permits it. The
// members that hold its items offer the job to its owner, that is, they notify the
// owner of it, and the owner adopts the job by starting to run it. Thus no list of
// jobs has to be read from the store. A new owner freezes the open result segment
// at its holders, reads which items have a result, copies the records that had
// not reached every holder to a segment of its own, and records both segments in
// the manifest. From then on the previous owner can record nothing.
//
// The owner of a job is a host. The owner of a workspace, in package recorder, is
// one of the two parties that split the bill of the fleet by use.
//
// # Invariants
//
//   - A job is accepted once its items are on two holders, in different data
//     centres if the fleet has several, and its manifest is in the store.
//   - No item starts after the job's owner has received a cancellation. Cancel
//     returns only after the store has the cancellation and, if the owner is
//     reachable, the owner has been notified.
//
// Package scheduler runs the jobs of this host; package opener takes them over
// and ends them. Their documentation states their invariants.
package batcher
