package peer_test

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"dandelionmux/internal/peer"
	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/instance"
)

// waitTimeout bounds waits for events that must occur.
const waitTimeout = 20 * time.Second

// received is a frame and its sender.
type received struct {
	from  instance.ID
	frame string
}

// node is a Network and the frames that it received.
type node struct {
	*peer.Network
	address instance.Address
	inbox   chan received
}

// start returns a node that serves on a port of its own until the test ends.
func start(t *testing.T, incarnation uint64) *node {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	n := &node{
		address: instance.Address(listener.Addr().String()),
		inbox:   make(chan received, 4096),
	}
	self := instance.Info{
		ID: instance.ID{
			Address:     n.address,
			Incarnation: incarnation,
		},
	}
	n.Network = peer.New(self, func(from instance.ID, frame peer.Frame) {
		n.inbox <- received{
			from:  from,
			frame: string(frame),
		}
	})
	served := make(chan error, 1)
	go func() { served <- n.Serve(listener) }()
	t.Cleanup(func() {
		n.Close()
		is.NoErr(<-served)
	})
	return n
}

// receive returns the next frame that arrives.
func (n *node) receive(t *testing.T) received {
	t.Helper()
	select {
	case r := <-n.inbox:
		return r
	case <-time.After(waitTimeout):
		t.Fatal("no frame arrived")
		return received{}
	}
}

// Guards against frames that get lost, truncated or attributed to the wrong run
// of an instance, also when the peer replies over the sender's connection.
func TestFramesArriveWithSenderIDs(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("both directions", func(t *testing.T) {
		is := is.New(t)
		a, b := start(t, 5), start(t, 9)
		is.True(a.Send(b.address, peer.Frame("to b")))
		got := b.receive(t)
		is.Equal(got.frame, "to b")
		is.Equal(got.from, instance.ID{
			Address:     a.address,
			Incarnation: 5,
		})
		is.True(b.Send(a.address, peer.Frame("to a")))
		is.Equal(a.receive(t).frame, "to a")
	})
	t.Run("large", func(t *testing.T) {
		is := is.New(t)
		a, b := start(t, 1), start(t, 1)
		large := make(peer.Frame, peer.MaxFrameBytes)
		is.True(a.Send(b.address, large))
		is.Equal(len(b.receive(t).frame), peer.MaxFrameBytes)
	})
}

// Guards against a peer that doesn't follow the protocol but keeps its session,
// or whose bytes are passed to the receive function.
func TestMisbehavingPeerIsDisconnected(t *testing.T) {
	tests := []struct {
		name   string
		behave func(raw net.Conn) error
	}{
		{
			name:   "sends nothing",
			behave: func(net.Conn) error { return nil },
		},
		{
			name: "sends garbage",
			behave: func(raw net.Conn) error {
				_, err := raw.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
				return err
			},
		},
		{
			name:   "sends a wrong protocol version",
			behave: func(raw net.Conn) error { return writeToStream(raw, hello(2)) },
		},
		{
			name: "sends an oversized frame",
			behave: func(raw net.Conn) error {
				return writeToStream(raw, hello(1), binary.AppendUvarint(nil, peer.MaxFrameBytes+1))
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := start(t, 1)
			raw, err := net.Dial("tcp", string(a.address))
			is.NoErr(err)
			defer func() { _ = raw.Close() }()
			is.NoErr(tt.behave(raw))
			is.NoErr(raw.SetReadDeadline(time.Now().Add(waitTimeout)))
			_, err = io.Copy(io.Discard, raw)
			var failure net.Error
			stillOpen := errors.As(err, &failure) && failure.Timeout()
			is.True(!stillOpen) // the connection was closed
			is.Equal(len(a.inbox), 0)
		})
	}
}

// hello returns a length-prefixed Hello with the given protocol version.
func hello(version uint32) []byte {
	body, _ := proto.Marshal(&gen.Hello{
		Version:     version,
		Address:     "127.0.0.1:1",
		Incarnation: 1,
	})
	return append(binary.AppendUvarint(nil, uint64(len(body))), body...)
}

// writeToStream writes bytes to a yamux stream. The session isn't closed; it
// ends with the connection.
func writeToStream(raw net.Conn, frames ...[]byte) error {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	session, err := yamux.Client(writeOnlyConn{Conn: raw}, config)
	if err != nil {
		return err
	}
	stream, err := session.Open()
	if err != nil {
		return err
	}
	for _, f := range frames {
		if _, err := stream.Write(f); err != nil {
			return err
		}
	}
	return nil
}

// writeOnlyConn hides a connection's input from the session, so that the test
// can read it.
type writeOnlyConn struct{ net.Conn }

func (writeOnlyConn) Read([]byte) (int, error) { select {} }
