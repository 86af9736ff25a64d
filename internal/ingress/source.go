package ingress

import (
	"bytes"
	"io"
	"net"
	"time"

	"dandelionmux/pkg/memory"
)

const (
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// headLineBytes is what a line of a head takes besides its own length: in the header, and in
	// those of the attempts.
	headLineBytes = 256
	// smallHeadBytes is the size up to which a head isn't counted.
	smallHeadBytes = 8 << 10
)

// source reads from a connection, bounds what a request's head may read, and remembers when
// the latest bytes arrived.
type source struct {
	raw net.Conn
	// left is the number of bytes that may still be read; negative if there is no bound.
	// exceeded is set once more than that were asked for.
	left     int
	exceeded bool
	// account counts heads, or is nil. head is what is held for the head that is being read, or
	// nil if it is small, headBytes its size in memory, and held those bytes that are counted.
	// noRoom is set once there was no room for more.
	account   *memory.Account
	head      *memory.Holding
	headBytes int64
	held      int64
	noRoom    bool
	// end is the number of bytes read so far.
	end int64
	// arrivals holds when the latest bufferBytes arrived, oldest first.
	arrivals []arrival
}

// arrival is when the bytes up to an offset were read.
type arrival struct {
	end int64
	at  time.Time
}

// Read implements io.Reader.
func (s *source) Read(b []byte) (int, error) {
	if s.left == 0 {
		s.exceeded = true
		return 0, io.EOF
	}
	if s.left > 0 && len(b) > s.left {
		b = b[:s.left]
	}
	n, err := s.raw.Read(b)
	if s.left > 0 {
		s.left -= n
		if !s.growHead(b[:n]) {
			s.noRoom = true
			return 0, io.EOF
		}
	}
	if n > 0 {
		s.end += int64(n)
		s.forgetBefore(s.end - bufferBytes)
		s.arrivals = append(s.arrivals, arrival{
			end: s.end,
			at:  time.Now(),
		})
	}
	return n, err
}

// beginHead begins to count a head, of which some bytes are in the buffer already.
func (s *source) beginHead(buffered []byte) {
	s.head = nil
	s.headBytes = 0
	s.held = 0
	s.noRoom = !s.growHead(buffered)
}

// growHead counts bytes of the head that is being read, and reports whether there is room.
func (s *source) growHead(b []byte) bool {
	s.headBytes += int64(len(b) + headLineBytes*bytes.Count(b, []byte{'\n'}))
	if s.account == nil || s.headBytes <= smallHeadBytes {
		return true
	}
	if s.head == nil {
		s.head = s.account.Open("")
	}
	more := s.headBytes - s.held
	s.held += more
	return s.head.Grow(more)
}

// forgetBefore drops the arrivals of bytes before an offset.
func (s *source) forgetBefore(offset int64) {
	n := 0
	for n < len(s.arrivals) && s.arrivals[n].end <= offset {
		n++
	}
	s.arrivals = append(s.arrivals[:0], s.arrivals[n:]...)
}

// arrivedAt returns when the byte before an offset was read.
func (s *source) arrivedAt(offset int64) time.Time {
	for _, a := range s.arrivals {
		if a.end >= offset {
			return a.at
		}
	}
	return time.Now()
}
