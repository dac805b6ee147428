// Package recorder stores usage records that two parties, who split the bill of the
// fleet by use, can verify. Each workspace belongs to one of them, its owner; this is
// the meaning of Owner in Entry and Line. The owner of a batch job, in contrast, is the
// host that runs it.
//
// Each incarnation of a host writes one chain of records. A record contains its
// number and the hash of the previous record. Consecutive records form a SignedBatch,
// which is signed with the incarnation's key. A record that was changed, omitted,
// repeated or moved therefore breaks the chain, and Verify reports the first such
// record.
//
// In this package a batch is a SignedBatch; a batch job is always called so. Batches
// are stored in usage segments: each record of such a segment, in the sense of package
// segmenter, is one encoded SignedBatch.
//
// Usage is counted once, by the host that records the outcome. Each online call is
// one entry. Items of batch jobs have no entries of their own, because their result
// records prove the usage: a closed result segment becomes one entry with the
// segment's name as its RequestID. A later owner of the job may record that entry
// again; entries with the same RequestID, Workspace, Requests and Usage are counted
// once, with the At and Owner of the first one that is read.
//
// Records are merged by incarnation and number, so a batch that is read twice, or
// is stored in two segments, is counted once.
//
// # Losses when a host fails
//
// An entry is durable once its batch is on every holder of the host's usage
// segment. A host that fails normally loses at most the entries of the last
// Options.FlushInterval and of the append in progress. While holders are unreachable,
// it loses at most Options.MaxBuffered entries and one batch. Entries of batch jobs are
// flushed before their result segments are marked as billed, in the write that ends the
// job. They are therefore not lost, except in the cases in which Flush returns nil
// although a batch was not stored; see Recorder.Flush.
//
// # Keys
//
// The public key of a member is in the record of package registrar. Three other
// hosts attest each member's key in their own chains, so that chains of
// incarnations that are no longer members can still be verified. The record keeps the
// keys of members that were removed lately, which those that join later attest too, so
// that this also holds when all hosts stop. A key is trusted if the record has it or if a
// trusted chain attests it.
package recorder
