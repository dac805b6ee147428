// Package archiver stores the segments of one host in its data folder and handles the
// requests to a holder that package segmenter defines.
//
// A segment is a list of records that grows at its end. Each record has a checksum
// that covers its content, its position and the name of its segment (package framer).
// To seal a segment is to freeze or to finalize it. The states of a segment are:
//
//   - Frozen: appends are refused from now on.
//   - Final: frozen, with a fixed length and a checksum over all its records.
//     Finalizing may remove records at the end, also of a segment that is already
//     final. Fetch may replace a copy by that of another holder.
//   - Deleted: the records are removed. The state remains until it expires, so that the
//     segment is not copied back from another holder.
//   - Missing: the holder was requested to freeze a segment of which it has no copy. It
//     records only this, so that the segment can't be created here any more.
//   - Damaged: a record that is not part of an incomplete append fails its checksum, or
//     a failed append could not be undone.
//
// Invariants:
//
//   - An append is on disk when it is acknowledged, unless the Store is opened with
//     persister.SyncNever.
//   - A holder refuses an append or a seal whose epoch is lower than the highest
//     that it has accepted for the segment. It stores a higher epoch before it
//     acknowledges the request. A request refused for another reason, such as a gap,
//     need not raise the epoch.
//   - An append includes the sequence of its first record. A repeated append changes
//     nothing, and an append that would leave a gap is refused.
//   - A record that fails its checksum is reported and never returned. After a crash
//     of the process, an incomplete append at the end of the file is truncated. A
//     corrupt record before a later append counts as damage.
//   - Unless a reader passes a limit, it receives from a segment that is not frozen
//     only records that every holder is known to have. A reader that passes a limit
//     must itself have established that every holder has the records before it.
//
// Operations on several holders are in packages replicator and copier.
package archiver
