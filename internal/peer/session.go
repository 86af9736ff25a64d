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
	// maxHelloBytes bounds the size of the first frame of a stream.
	maxHelloBytes = 1 << 10
	// acceptBacklog bounds the streams that a peer has opened and that aren't
	// accepted yet.
	acceptBacklog = 2
	// bufferBytes is the size of a stream's read and write buffers. Most frames
	// are smaller.
	bufferBytes = 1 << 10
	// windowBytes is the yamux window, which bounds the unread bytes of a
	// stream.
	windowBytes = 256 << 10
	// keepAliveInterval is the interval at which a session is probed.
	keepAliveInterval = 30 * time.Second
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.EnableKeepAlive = true
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = WriteTimeout
	c.MaxStreamWindowSize = windowBytes
	c.StreamOpenTimeout = HelloTimeout
	c.StreamCloseTimeout = HelloTimeout
	c.LogOutput = io.Discard
	return c
}

// accept starts a session on a connection that a peer dialled. It closes the
// connection if there are MaxAcceptedSessions.
func (n *Network) accept(raw net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptedSessions >= MaxAcceptedSessions || n.ctx.Err() != nil {
		_ = raw.Close()
		return
	}
	session, err := yamux.Server(raw, sessionConfig())
	if err != nil {
		_ = raw.Close()
		return
	}
	n.acceptedSessions++
	n.sessions[session] = struct{}{}
	n.spawn(func() {
		defer n.releaseAccepted()
		n.readSession(session, true)
	})
}

// releaseAccepted counts the end of a session that a peer dialled.
func (n *Network) releaseAccepted() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.acceptedSessions--
}

// readDialled reads what the peer sends on a session that this instance
// dialled.
func (n *Network) readDialled(session *yamux.Session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		_ = session.Close()
		return
	}
	n.sessions[session] = struct{}{}
	n.spawn(func() { n.readSession(session, false) })
}

// closeSession closes a session that is no longer read.
func (n *Network) closeSession(session *yamux.Session) {
	_ = session.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, session)
}

// readSession accepts the peer's stream and passes its frames to receive. If
// the peer dialled the session but sends no Hello on it, the session is closed
// after HelloTimeout.
func (n *Network) readSession(session *yamux.Session, accepted bool) {
	defer n.closeSession(session)
	var helloTimer *time.Timer
	if accepted {
		helloTimer = time.AfterFunc(HelloTimeout, func() { _ = session.Close() })
		defer helloTimer.Stop()
	}
	stream, err := session.AcceptStream()
	if err != nil {
		return
	}
	reader := bufio.NewReaderSize(stream, bufferBytes)
	from, err := readHello(stream, reader)
	if err != nil {
		n.logger.Warn("rejected a session of a peer",
			"Remote", session.RemoteAddr().String(),
			"Error", err)
		return
	}
	if accepted {
		helloTimer.Stop()
		n.offerSession(from.Address, session)
	}
	err = n.readFrames(reader, from)
	n.logger.Debug("peer session ended",
		"Peer", from.Address,
		"Error", err)
}

// offerSession lets the link to a peer send over a session that the peer
// dialled.
func (n *Network) offerSession(to instance.Address, session *yamux.Session) {
	l := n.link(to)
	if l == nil {
		return
	}
	select {
	case l.offered <- session:
	default:
	}
}

// readFrames passes frames to receive until reading the stream fails.
func (n *Network) readFrames(reader *bufio.Reader, from instance.ID) error {
	var buffer []byte
	for {
		frame, err := readFrame(reader, buffer)
		if err != nil {
			return err
		}
		n.receive(from, frame)
		buffer = reusable(frame)
	}
}

// reusable returns the frame's buffer for the next frame, or nil if it is too
// large to keep.
func reusable(frame Frame) []byte {
	const maxReusedBytes = 16 << 10
	if cap(frame) > maxReusedBytes {
		return nil
	}
	return frame[:0]
}

// readHello reads and checks the first frame of a stream, and returns the
// sender.
func readHello(stream net.Conn, reader *bufio.Reader) (instance.ID, error) {
	if err := stream.SetReadDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return instance.ID{}, err
	}
	options := protodelim.UnmarshalOptions{
		MaxSize: maxHelloBytes,
	}
	hello := &gen.Hello{}
	if err := options.UnmarshalFrom(reader, hello); err != nil {
		return instance.ID{}, errors.Wrap(err, "read hello")
	}
	if hello.GetVersion() != protocolVersion {
		return instance.ID{}, errors.Errorf("unsupported protocol version %d, want %d", hello.GetVersion(), protocolVersion)
	}
	if _, err := net.ResolveTCPAddr("tcp", hello.GetAddress()); err != nil {
		return instance.ID{}, errors.Wrap(err, "invalid address in hello")
	}
	return instance.ID{
		Address:     instance.Address(hello.GetAddress()),
		Incarnation: hello.GetIncarnation(),
	}, stream.SetReadDeadline(time.Time{})
}

// writeFrame writes the frame's length and the frame.
func writeFrame(w *bufio.Writer, frame Frame) error {
	var header [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(header[:], uint64(len(frame)))
	if _, err := w.Write(header[:n]); err != nil {
		return err
	}
	_, err := w.Write(frame)
	return err
}

// readFrame reads a frame into the buffer, or into a larger one. The buffer
// grows with the bytes that arrive and not with the length that the peer
// declares.
func readFrame(r *bufio.Reader, buffer []byte) (Frame, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > MaxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d", size, MaxFrameBytes)
	}
	frame := bytes.NewBuffer(buffer[:0])
	_, err = io.CopyN(frame, r, int64(size))
	return frame.Bytes(), err
}
