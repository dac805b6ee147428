// Package recorder stores usage records that both owners of the fleet can verify.
//
// Each incarnation of a host writes one chain of records. A record contains its
// number and the hash of the previous record, and each batch of records is signed
// with the incarnation's key. A record that was changed, omitted, repeated or
// moved therefore breaks the chain, and Verify reports the first such record.
//
// Usage is counted once, by the host that records the outcome. Each online call is
// one entry. Items of batch jobs have no entries of their own, because their result
// records prove the usage: a closed result segment becomes one entry with the
// segment's name as its RequestID. A later owner of the job may record that entry
// again; equal entries with the same RequestID are counted once.
//
// Records are merged by incarnation and number, so a batch that is read twice, or
// is stored in two segments, is counted once.
//
// # Losses when a host fails
//
// An entry is durable once its batch is on every holder of the host's usage
// segment. A host that fails loses at most the entries of the last
// Options.FlushInterval and of the append in progress, and never more than
// Options.MaxBuffered entries and one batch. Entries of batch jobs are flushed
// before the job is marked as billed, so none of them are lost.
//
// # Keys
//
// The public key of a member is in the record of package registrar. Three other
// hosts attest each member's key in their own chains, so that chains of
// incarnations that are no longer members can still be verified. A key is trusted
// if it belongs to a current member or if a trusted chain attests it.
package recorder
