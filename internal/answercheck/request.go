package answercheck

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

// maxScannedBytes is how much of a line of a request's head is kept. It has room for the fields
// that say how long the body is.
const maxScannedBytes = 64

// requestScanner finds the end of a request. The zero value waits for the first byte.
type requestScanner struct {
	begun bool
	// methodIsHead is set if the method is HEAD.
	methodIsHead bool
	// headEnded is set once the head has ended, and left is then how much of the body is missing.
	headEnded bool
	left      int64
	// line is the beginning of the present line of the head, and lineBytes its length.
	line      []byte
	lineBytes int
}

// isWhole reports whether the request has ended.
func (s *requestScanner) isWhole() bool { return s.headEnded && s.left <= 0 }

// scan takes further bytes of the request.
func (s *requestScanner) scan(b []byte) {
	s.begun = s.begun || len(b) > 0
	for len(b) > 0 && !s.headEnded {
		line, rest, ended := bytes.Cut(b, []byte("\n"))
		room := min(maxScannedBytes-len(s.line), len(line))
		s.line = append(s.line, line[:room]...)
		s.lineBytes += len(line)
		if ended {
			s.endLine()
		}
		b = rest
	}
	s.left -= int64(len(b))
}

// endLine takes a whole line of the head.
func (s *requestScanner) endLine() {
	line := strings.TrimSuffix(string(s.line), "\r")
	empty := len(line) == 0 && s.lineBytes <= 1
	s.line, s.lineBytes = s.line[:0], 0
	if empty {
		s.headEnded = true
		return
	}
	s.methodIsHead = s.methodIsHead || strings.HasPrefix(line, "HEAD ")
	name, value, _ := strings.Cut(line, ":")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		if n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
			s.left = n
		}
	case strings.EqualFold(name, "Transfer-Encoding"):
		s.left = math.MaxInt64
	}
}
