package ingress

import (
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// maxDiscardBytes is how much of a body that the handler hasn't read is read, so that the
// connection can be kept.
const maxDiscardBytes = 256 << 10

// body is a request's body.
type body struct {
	exchange *exchange

	mu     sync.Mutex
	source io.Reader
	// awaitsContinue is set while the caller waits for a sign that it may send the body.
	awaitsContinue bool
	// err is the error, or io.EOF, that ended the body.
	err error
	// closed is set once the handler may not read any more.
	closed bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.read(p)
}

func (b *body) read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.awaitsContinue {
		b.awaitsContinue = false
		if err := b.exchange.writer.writeContinue(); err != nil {
			b.err = err
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	if err != nil {
		b.err = err
		b.exchange.conn.bodyRead(b)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}

// discard closes the body, reads what is left of it up to maxDiscardBytes, and reports
// whether that was all. A caller that awaits a sign won't send it.
func (b *body) discard() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if b.err == nil && b.awaitsContinue {
		return false
	}
	buffer := make([]byte, 4<<10)
	for left := maxDiscardBytes; b.err == nil && left > 0; {
		n, _ := b.read(buffer[:min(len(buffer), left)])
		left -= n
	}
	return errors.Is(b.err, io.EOF)
}
