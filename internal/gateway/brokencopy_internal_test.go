package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"dandelionmux/internal/answercheck"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/store"
)

// copyFrom requests a copy from an instance that answers as given.
func copyFrom(t *testing.T, answer func(c *net.TCPConn, r *http.Request)) (mirrorCopy, error) {
	t.Helper()
	s, err := standin.NewRawServer(answer)
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	g := &Gateway{peerClient: newPeerClient()}
	t.Cleanup(g.peerClient.CloseIdleConnections)
	return g.requestMirror(t.Context(), instance.Address(s.Address()), mirrorRequest{Patience: copyTimeout})
}

// Guards against a copy that breaks the syntax of HTTP/1.1, or of which only a part has come, and
// that replaces what an instance knows.
func TestBrokenCopyIsNoCopy(t *testing.T) {
	whole := encodeMirrorCopy(mirrorCopy{Delta: mirror.Delta{
		Full: true,
		Entries: []store.Entry{
			{Key: "first", Value: []byte("1"), Version: 1},
			{Key: "second", Value: []byte("2"), Version: 2},
		},
	}})
	last := len(appendEntries(nil, []store.Entry{{Key: "second", Value: []byte("2"), Version: 2}}))
	tests := []struct {
		name, head string
		cut        int
		fails      bool
	}{
		{name: "whole", head: "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"},
		{name: "blank in a name", head: "HTTP/1.1 200 OK\r\nX More: 1\r\nContent-Length: %d\r\n\r\n", fails: true},
		{name: "part, with a length", head: "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", cut: last, fails: true},
		{name: "part, without a length", head: "HTTP/1.1 200 OK\r\nX-Length: %d\r\n\r\n", cut: last, fails: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, err := copyFrom(t, func(c *net.TCPConn, _ *http.Request) {
				_, _ = fmt.Fprintf(c, tt.head, len(whole))
				_, _ = c.Write(whole[:len(whole)-tt.cut])
			})
			is.Equal(err != nil, tt.fails)
			is.Equal(len(got.Entries) == 2, !tt.fails)
		})
	}
}

// maxControlBytes is the memory that an instance may use for control, by the size to design for.
const maxControlBytes = 32 << 20

// Guards against an answer without end to a request for a copy, from whatever has an instance's
// address, that fills the memory of the instance that asked.
func TestCopyWithoutEndIsBounded(t *testing.T) {
	entry := string(appendEntries(nil, []store.Entry{{Key: "k"}}))
	tests := []struct{ name, head, repeated string }{
		{"fields of the head", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
		{"line of the head", "HTTP/1.1 200 OK\r\nX-More: ", "x"},
		{"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"entries", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", entry},
		{"entries in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(entry), entry)},
		{"entries without a length", "HTTP/1.1 200 OK\r\n\r\n", entry},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			endless := standin.NewEndlessAnswer(tt.head, tt.repeated)
			began := time.Now()
			peak := standin.PeakHeap(func() {
				_, err := copyFrom(t, func(c *net.TCPConn, _ *http.Request) { _ = endless.Send(c, nil) })
				is.True(err != nil)
			})
			t.Logf("heap %d KB, %d KB sent, after %s", peak>>10, endless.Sent()>>10, time.Since(began).Round(time.Millisecond))
			is.True(peak <= maxControlBytes)
			is.True(time.Since(began) < 2*firstCopyTimeout)
		})
	}
}

// Guards against a small copy that becomes large when it is decompressed.
func TestDecompressedCopyIsBounded(t *testing.T) {
	is := is.New(t)
	whole, err := compress(make([]byte, maxCopyBytes))
	is.NoErr(err)
	plain, err := decompress(whole)
	is.NoErr(err)
	is.Equal(len(plain), maxCopyBytes)
	larger, err := compress(make([]byte, maxCopyBytes+1))
	is.NoErr(err)
	_, err = decompress(larger)
	is.True(errors.Is(err, answercheck.ErrTooLong))
}
