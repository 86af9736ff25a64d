package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

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
