package answercheck

import (
	"context"
	"net"
	"net/http"
)

// MaxHeadBytes bounds the heads of an answer, interim ones included.
const MaxHeadBytes = 64 << 10

// DialContext establishes a connection, like net.Dialer.DialContext.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport that checks the answers on its connections, which dial
// establishes, and bounds their heads. Everything else has the defaults of http.Transport.
func NewTransport(dial DialContext) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return NewConn(raw), nil
		},
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}

// EndsWithConnection reports whether the body of an answer ends with its connection. If the peer
// fails, a part of such a body looks like the whole.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Request.Method != http.MethodHead
}
