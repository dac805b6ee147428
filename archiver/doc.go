// Package archiver stores the segments of one host in its data folder and handles the
// requests to a holder that package segmenter defines.
//
// A segment is a list of records that grows at its end until it is sealed. From then
// on it is immutable. Each record has a checksum that covers its content, its
// position and the name of its segment (package framer). A final segment also has a
// checksum over all its records.
//
// Invariants:
//
//   - An append is on disk when it is acknowledged, unless the Store is opened with
//     persister.SyncNever.
//   - A holder refuses an append or a seal whose epoch is lower than the highest
//     that it has seen for the segment. It stores a higher epoch before it answers.
//   - An append includes the sequence of its first record. A repeated append changes
//     nothing, and an append that would leave a gap is refused.
//   - A record that fails its checksum is reported and never returned. After a crash
//     of the process, an incomplete append at the end of the file is truncated. A
//     corrupt record before a later append counts as damage.
//   - Unless a reader passes a limit, it receives from a segment that is not frozen
//     only records that every holder is known to have.
//
// Operations on several holders are in packages replicator and copier.
package archiver
