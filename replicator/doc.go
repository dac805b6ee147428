// Package replicator writes segments to their holders and reads them back. A
// segment has one writer at a time, which appends to two or three holders.
//
// Invariants:
//
//   - An append is acknowledged once every holder of the segment has it on disk.
//     Each holder alone therefore has all acknowledged records.
//   - A segment is created only on enough holders to be safe (package placer).
//   - If a holder fails or has a corrupt record, a read continues at the next
//     holder. It never returns a record at the wrong position.
//
// A writer that takes over a segment first freezes it at its holders. The
// shortest usable copy normally has all acknowledged records. The records that a
// longer copy has beyond that length are the tail, which the new writer appends
// to its own segment; if the shortest copy has lost acknowledged records at its
// end, they are in the tail. Once the new writer has recorded the length of the old segment where
// other hosts read it, it finalizes the old segment at that length.
package replicator
