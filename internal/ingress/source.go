package ingress

import (
	"io"
	"net"
	"time"
)

// bufferBytes is the size of a connection's read buffer.
const bufferBytes = 4 << 10

// source reads from a connection, bounds what a request's head may read, and remembers when
// the latest bytes arrived.
type source struct {
	raw net.Conn
	// left is the number of bytes that may still be read; negative if there is no bound.
	// exceeded is set once more than that were asked for.
	left     int
	exceeded bool
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
