package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/memory"
)

const (
	// firstSegmentBytes is the least size of a segment of a body whose length isn't known. Each
	// further segment is one part in segmentPart of what has been read, up to maxSegmentBytes.
	firstSegmentBytes = 4 << 10
	segmentPart       = 4
	maxSegmentBytes   = 1 << 20
	// memoryRetryAfter is when a caller may come back whose request found no room. By then other
	// requests have usually ended.
	memoryRetryAfter = time.Second
)

// requestBody is the body of a request, in segments, so that one whose length isn't known needs
// no copy to grow. The zero value is an empty body.
type requestBody struct {
	segments [][]byte
	size     int64
}

// reader returns a reader of the whole body.
func (b requestBody) reader() io.Reader {
	readers := make([]io.Reader, len(b.segments))
	for i, segment := range b.segments {
		readers[i] = bytes.NewReader(segment)
	}
	return io.MultiReader(readers...)
}

// digest returns the SHA-256 digest of the body.
func (b requestBody) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, segment := range b.segments {
		h.Write(segment)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// errNoMemory says that there is no room for a body.
var errNoMemory = errors.New("no room for the request's body")

// readBody reads the whole body into memory, so that a slow caller occupies no
// slot of a target and the body can be sent again in a retry.
func (x *exchange) readBody(held *memory.Holding) error {
	if x.request.Body == nil || x.request.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(x.writer)
	_ = control.SetReadDeadline(x.deadline)
	ignore := context.AfterFunc(x.handler.givenUp, func() { _ = control.SetReadDeadline(time.Now()) })
	defer func() {
		ignore()
		_ = control.SetReadDeadline(time.Time{})
	}()
	limit := x.snapshot.Index.Policy().MaximumBody
	if limit <= 0 {
		limit = DefaultMaxBodyBytes
	}
	if x.request.ContentLength > limit {
		return bodyRefusal(&http.MaxBytesError{
			Limit: limit,
		})
	}
	body, err := readSegments(http.MaxBytesReader(x.writer, x.request.Body, limit), x.request.ContentLength, held)
	switch {
	case err == nil:
		x.body = body
		return nil
	case x.handler.givenUp.Err() != nil:
		return StoppingRefusal()
	}
	return bodyRefusal(err)
}

// readSegments reads a body of the length, which is negative if it isn't known. It returns
// errNoMemory if there is no room for it.
func readSegments(r io.Reader, length int64, held *memory.Holding) (requestBody, error) {
	var b requestBody
	next := int64(firstSegmentBytes)
	if length >= 0 {
		next = length
	}
	for {
		if !held.Grow(next) {
			return requestBody{}, errNoMemory
		}
		segment := make([]byte, next)
		n, err := fill(r, segment)
		if n > 0 {
			b.segments = append(b.segments, segment[:n])
			b.size += int64(n)
		}
		switch {
		case b.size == length, length < 0 && errors.Is(err, io.EOF):
			return b, nil
		case errors.Is(err, io.EOF):
			return requestBody{}, io.ErrUnexpectedEOF
		case err != nil:
			return requestBody{}, err
		}
		next = min(max(b.size/segmentPart, firstSegmentBytes), maxSegmentBytes)
	}
}

// fill reads until the segment is full or the reader ends. Unlike io.ReadFull it returns the
// reader's own error: a body that breaks off ends with io.ErrUnexpectedEOF.
func fill(r io.Reader, segment []byte) (n int, err error) {
	for n < len(segment) && err == nil {
		var read int
		read, err = r.Read(segment[n:])
		n += read
	}
	return n, err
}

// bodyRefusal returns the refusal for an error of reading the body.
func bodyRefusal(err error) *Refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &Refusal{
			Status: http.StatusRequestEntityTooLarge,
			Reason: "body-too-large",
		}
	case errors.Is(err, errNoMemory):
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "instance-full",
			RetryAfter: memoryRetryAfter,
			Elsewhere:  true,
		}
	}
	return &Refusal{
		Status: http.StatusBadRequest,
		Reason: "body-not-read",
	}
}
