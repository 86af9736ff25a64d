package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/instance"
)

// Limits of one session.
const (
	// helloBytes bounds the first frame of a stream.
	helloBytes = 1 << 10
	// streamsPerSession bounds the streams that a peer may open.
	streamsPerSession = 2
	// bufferBytes is the size of a stream's buffers. Most frames are smaller.
	bufferBytes = 1 << 10
	// windowBytes is the yamux window, which bounds what a stream holds unread.
	windowBytes = 256 << 10
	// keepAlive is how often an idle session is probed.
	keepAlive = 30 * time.Second
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = streamsPerSession
	c.EnableKeepAlive = true
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = WriteTimeout
	c.MaxStreamWindowSize = windowBytes
	c.StreamOpenTimeout = HelloTimeout
	c.StreamCloseTimeout = HelloTimeout
	c.LogOutput = io.Discard
	return c
}

// accept takes a connection that a peer opened.
func (n *Network) accept(raw net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.accepted >= MaxAcceptedSessions || n.ctx.Err() != nil {
		_ = raw.Close()
		return
	}
	session, err := yamux.Server(raw, sessionConfig())
	if err != nil {
		_ = raw.Close()
		return
	}
	n.accepted++
	n.sessions[session] = struct{}{}
	n.spawn(func() {
		defer n.release()
		n.read(session, true)
	})
}

func (n *Network) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accepted--
}

// attend reads what the peer sends on a session that this instance opened.
func (n *Network) attend(session *yamux.Session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		_ = session.Close()
		return
	}
	n.sessions[session] = struct{}{}
	n.spawn(func() { n.read(session, false) })
}

// untrack closes a session that is no longer read.
func (n *Network) untrack(session *yamux.Session) {
	_ = session.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, session)
}

// read takes the peer's stream and gives its frames to receive. A session that
// the peer opened and never speaks on is closed after HelloTimeout.
func (n *Network) read(session *yamux.Session, accepted bool) {
	defer n.untrack(session)
	var silent *time.Timer
	if accepted {
		silent = time.AfterFunc(HelloTimeout, func() { _ = session.Close() })
		defer silent.Stop()
	}
	stream, err := session.AcceptStream()
	if err != nil {
		return
	}
	reader := bufio.NewReaderSize(stream, bufferBytes)
	from, err := readHello(stream, reader)
	if err != nil {
		n.logger.Warn("peer refused",
			"Remote", session.RemoteAddr().String(),
			"Error", err)
		return
	}
	if accepted {
		silent.Stop()
		n.offer(from.Address, session)
	}
	err = n.readFrames(reader, from)
	n.logger.Debug("peer session ended",
		"Peer", from.Address,
		"Error", err)
}

// offer lets the link to a peer use the peer's session.
func (n *Network) offer(to instance.Address, session *yamux.Session) {
	l := n.link(to)
	if l == nil {
		return
	}
	select {
	case l.adopted <- session:
	default:
	}
}

// readFrames gives frames to receive until the stream ends.
func (n *Network) readFrames(reader *bufio.Reader, from instance.ID) error {
	var buffer []byte
	for {
		frame, err := readFrame(reader, buffer)
		if err != nil {
			return err
		}
		n.receive(from, frame)
		buffer = reuse(frame)
	}
}

// reuse keeps a small buffer and lets a large one go.
func reuse(frame Frame) []byte {
	const kept = 16 << 10
	if cap(frame) > kept {
		return nil
	}
	return frame[:0]
}

func readHello(stream net.Conn, reader *bufio.Reader) (instance.ID, error) {
	if err := stream.SetReadDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return instance.ID{}, err
	}
	options := protodelim.UnmarshalOptions{
		MaxSize: helloBytes,
	}
	hello := &gen.Hello{}
	if err := options.UnmarshalFrom(reader, hello); err != nil {
		return instance.ID{}, errors.Wrap(err, "hello")
	}
	if hello.GetVersion() != protocolVersion {
		return instance.ID{}, errors.Errorf("protocol version %d, want %d", hello.GetVersion(), protocolVersion)
	}
	if _, err := net.ResolveTCPAddr("tcp", hello.GetAddress()); err != nil {
		return instance.ID{}, errors.Wrap(err, "hello address")
	}
	return instance.ID{
		Address:     instance.Address(hello.GetAddress()),
		Incarnation: hello.GetIncarnation(),
	}, stream.SetReadDeadline(time.Time{})
}

// writeFrame writes a frame behind its length.
func writeFrame(w *bufio.Writer, frame Frame) error {
	var head [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(head[:], uint64(len(frame)))
	if _, err := w.Write(head[:n]); err != nil {
		return err
	}
	_, err := w.Write(frame)
	return err
}

// readFrame reads a frame into buffer, or into a larger one. The buffer grows
// with what arrives and not with what the length claims.
func readFrame(r *bufio.Reader, buffer []byte) (Frame, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > MaxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes, at most %d", size, MaxFrameBytes)
	}
	frame := bytes.NewBuffer(buffer[:0])
	_, err = io.CopyN(frame, r, int64(size))
	return frame.Bytes(), err
}
