package transporter

import (
	"errors"

	"github.com/jackdawgate/jackdawgate/holder"
)

const (
	// maxHeadBytes and maxHeadLines bound what is read for the heads of one answer, interim
	// ones included.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
	// headMemory is how many bytes of memory a byte of a head takes when it is parsed.
	headMemory = 2
)

var errHeadTooLong = errors.New("bytes that do not become an answer")

// headMeter bounds what is read for the heads of one answer. It counts until the head of an
// answer that is not interim has ended, since bytes of the body may come with it.
type headMeter struct {
	account *holder.Account
	bytes   int
	lines   int
	// column is the number of bytes of the current line, line the number of the current
	// line in its head, from 0. interim is set if the status of the head begins with 1.
	column, line int
	interim      bool
	ended        bool
}

// statusColumn is the place of the first digit of the status in the first line of a head.
const statusColumn = len("HTTP/1.1 ")

// room returns how many bytes may be read next.
func (m *headMeter) room() int { return maxHeadBytes - m.bytes }

// count counts bytes that were read. It returns an error if they are too many.
func (m *headMeter) count(p []byte) error {
	for i := 0; i < len(p) && !m.ended; i++ {
		m.bytes++
		m.add(p[i])
	}
	if m.lines > maxHeadLines {
		return errHeadTooLong
	}
	return m.account.Reserve(int64(len(p)) * headMemory)
}

func (m *headMeter) add(b byte) {
	switch {
	case b == '\n' && m.column == 0:
		m.ended = !m.interim && m.line > 0
		m.line, m.interim = 0, false
		return
	case b == '\n':
		m.lines++
		m.line++
		m.column = 0
		return
	case b == '\r' && m.column == 0:
		return
	case m.line == 0 && m.column == statusColumn:
		m.interim = b == '1'
	}
	m.column++
}
