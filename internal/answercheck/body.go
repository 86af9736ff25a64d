package answercheck

import (
	"io"
	"slices"

	"github.com/go-faster/errors"
)

// ErrTooLong says that a body is longer than it may be.
var ErrTooLong = errors.New("body too long")

// Sizes of the segments in which a body is read. Each one is as long as all before it together,
// within these bounds.
const (
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 1 << 20
)

// ReadBody reads to the end. Its error wraps ErrTooLong if that comes after more than limit bytes, and
// is that of r otherwise. What is read isn't copied before it is known to be short enough.
func ReadBody(r io.Reader, limit int) ([]byte, error) {
	var full [][]byte
	segment := make([]byte, 0, minSegmentBytes)
	for size := 0; size <= limit; {
		if len(segment) == cap(segment) {
			full = append(full, segment)
			segment = make([]byte, 0, min(size, maxSegmentBytes))
		}
		n, err := r.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		size += n
		switch {
		case errors.Is(err, io.EOF) && size <= limit:
			return slices.Concat(append(full, segment)...), nil
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		}
	}
	return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", limit)
}
