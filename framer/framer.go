// Package framer encodes and decodes the file format of a segment: a sequence of
// records, each with its own checksum. It also maintains a sparse index of the
// offsets at which records start.
//
// A record is a header of HeaderBytes bytes followed by its content. All integers
// are little-endian:
//
//	offset  size  field
//	0       4     length of the content in bytes
//	4       4     CRC32C
//	8       8     sequence of the first record of the same append
//
// The last field is used for recovery: an intact record of a later append proves
// that all records of earlier appends had reached the disk. The CRC32C covers the
// content, its length, the record's sequence, the sequence in the header and the
// seed of the segment. A record that is copied to another position or another
// segment therefore fails its check.
//
// The package performs no I/O except reads through Scanner.File.
package framer

import (
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Sizes of a record's parts, in bytes.
const (
	// HeaderBytes is the length of the header in front of a record's content.
	HeaderBytes = 16
	// MaxRecordBytes is the maximum length of a record's content.
	MaxRecordBytes = 8 << 20
)

// readBytes is the minimum size of a Scanner's reads. A longer record is read as
// a whole.
const readBytes = 256 << 10

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC32C of data.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// recordSum returns the CRC32C of a record. It covers everything that identifies
// the record, so that a record found at another position or in another segment
// fails its check.
func recordSum(seed, sequence, first uint64, content []byte) uint32 {
	var identity [28]byte
	binary.LittleEndian.PutUint64(identity[0:], seed)
	binary.LittleEndian.PutUint64(identity[8:], sequence)
	binary.LittleEndian.PutUint64(identity[16:], first)
	binary.LittleEndian.PutUint32(identity[24:], uint32(len(content)))
	return crc32.Update(Checksum(identity[:]), castagnoli, content)
}

// AddToChecksum adds a record to the checksum of a whole segment. The checksum depends
// only on the records' contents and order, so it is the same for every replica,
// however the records were grouped into appends.
func AddToChecksum(sum *xxhash.Digest, content []byte) {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(content)))
	_, _ = sum.Write(length[:])
	_, _ = sum.Write(content)
}

// AppendRecord appends an encoded record to buf and returns the extended buffer.
// first is the sequence of the first record of the append that the record belongs
// to.
func AppendRecord(buf []byte, seed, sequence, first uint64, content []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(content)))
	buf = binary.LittleEndian.AppendUint32(buf, recordSum(seed, sequence, first, content))
	buf = binary.LittleEndian.AppendUint64(buf, first)
	return append(buf, content...)
}

// Seed returns the checksum seed that binds records to the segment with this name.
func Seed(name string) uint64 { return xxhash.Sum64String(name) }

// parseRecord decodes the record at the start of data. It returns nil content if
// the record is incomplete, fails its checksum or has another sequence. The
// content aliases data. size includes the header.
func parseRecord(data []byte, seed, sequence uint64) (content []byte, first uint64, size int64) {
	if len(data) < HeaderBytes {
		return nil, 0, 0
	}
	n := int64(binary.LittleEndian.Uint32(data))
	if n > MaxRecordBytes || int64(len(data)) < HeaderBytes+n {
		return nil, 0, 0
	}
	first = binary.LittleEndian.Uint64(data[8:])
	content = data[HeaderBytes : HeaderBytes+n : HeaderBytes+n]
	if binary.LittleEndian.Uint32(data[4:]) != recordSum(seed, sequence, first, content) {
		return nil, 0, 0
	}
	return content, first, HeaderBytes + n
}

// IndexEntry is an entry of a segment's sparse index. Offset is the position in the
// file, in bytes, at which the record with this sequence starts.
type IndexEntry struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Offset   int64  `cbor:"2,keyasint"`
}

// indexSpacing is the minimum distance between index entries, in bytes.
const indexSpacing = 256 << 10

// AppendIndexEntry appends an entry if offset is at least indexSpacing bytes after
// the last entry, and returns the resulting index.
func AppendIndexEntry(index []IndexEntry, sequence uint64, offset int64) []IndexEntry {
	if len(index) > 0 && offset-index[len(index)-1].Offset < indexSpacing {
		return index
	}
	return append(index, IndexEntry{Sequence: sequence, Offset: offset})
}

// Scanner reads the records of a segment's file in order. The size of its buffer
// is bounded by the longest record, not by the length of the file. It is not safe
// for concurrent use.
type Scanner struct {
	File io.ReaderAt
	// Seed is the segment's seed, as returned by the function Seed.
	Seed uint64
	// Sequence is the sequence of the next record.
	Sequence uint64
	// Offset is the position in the file of the next record, in bytes.
	Offset int64
	buf    []byte
	// bufOffset is the position in the file of the first byte of buf.
	bufOffset int64
}

// Next returns the content of the next record, the sequence of the first record
// of its append, and its size with the header. It returns nil content at the end
// of the file and at an incomplete or corrupt record. The content is valid until
// the next call.
func (s *Scanner) Next() (content []byte, first uint64, size int64, err error) {
	for want := int64(HeaderBytes); ; {
		data, err := s.peek(want)
		if err != nil {
			return nil, 0, 0, err
		}
		if len(data) >= HeaderBytes {
			n := int64(binary.LittleEndian.Uint32(data))
			if n <= MaxRecordBytes && HeaderBytes+n > int64(len(data)) && want < HeaderBytes+n {
				want = HeaderBytes + n
				continue
			}
		}
		content, first, size = parseRecord(data, s.Seed, s.Sequence)
		if content == nil {
			return nil, 0, 0, nil
		}
		s.Sequence++
		s.Offset += size
		return content, first, size, nil
	}
}

// peek returns the bytes of the file from s.Offset on without advancing. It
// returns at least want bytes unless the file ends before that.
func (s *Scanner) peek(want int64) ([]byte, error) {
	have := s.bufOffset + int64(len(s.buf)) - s.Offset
	if s.Offset >= s.bufOffset && have >= want {
		return s.buf[s.Offset-s.bufOffset:], nil
	}
	size := max(want, readBytes)
	if int64(cap(s.buf)) < size {
		s.buf = make([]byte, size)
	}
	s.buf = s.buf[:size]
	s.bufOffset = s.Offset
	n, err := s.File.ReadAt(s.buf, s.Offset)
	s.buf = s.buf[:n]
	if err == io.EOF {
		err = nil
	}
	return s.buf, err
}

// ContainsLaterAppend reports whether data, the rest of a segment's file, contains at
// any offset the intact first record of an append that starts after sequence.
// It considers only appends that start at most 1<<16 records after sequence.
func ContainsLaterAppend(data []byte, seed, sequence uint64) bool {
	const maxAhead = 1 << 16
	for i := 0; i+HeaderBytes <= len(data); i++ {
		n := int64(binary.LittleEndian.Uint32(data[i:]))
		first := binary.LittleEndian.Uint64(data[i+8:])
		if n > MaxRecordBytes || int64(len(data)-i) < HeaderBytes+n || first <= sequence || first > sequence+maxAhead {
			continue
		}
		if content, _, _ := parseRecord(data[i:], seed, first); content != nil {
			return true
		}
	}
	return false
}
