package peer

import (
	"bufio"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/instance"
)

// protocolVersion is the version of the protocol that this package implements.
const protocolVersion = 1

// link sends frames to one peer, over a session that either side dialled.
type link struct {
	network *Network
	address instance.Address
	queue   chan Frame
	// offered passes on sessions that the peer dialled.
	offered chan *yamux.Session

	session  *yamux.Session
	stream   net.Conn
	writer   *bufio.Writer
	lastDial time.Time
}

func newLink(n *Network, to instance.Address) *link {
	return &link{
		network: n,
		address: to,
		queue:   make(chan Frame, MaxQueuedFrames),
		offered: make(chan *yamux.Session, 1),
	}
}

// run sends queued frames until the network is closed or the link is idle.
func (l *link) run() {
	defer l.disconnect()
	idle := time.NewTimer(IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.network.ctx.Done():
			return
		case s := <-l.offered:
			l.adopt(s)
		case frame := <-l.queue:
			idle.Reset(IdleTimeout)
			l.send(frame)
		case <-idle.C:
			l.network.removeLink(l)
			return
		}
	}
}

// adopt makes a session that the peer dialled the one that frames are sent over,
// unless the link already has an open one.
func (l *link) adopt(s *yamux.Session) {
	if l.stream != nil && !l.session.IsClosed() {
		return
	}
	l.disconnect()
	l.session = s
	l.openStream()
}

// send writes a frame and all frames that are queued behind it.
func (l *link) send(frame Frame) {
	if !l.ensureConnected() {
		return
	}
	for {
		if err := l.write(frame); err != nil {
			l.fail("write", err)
			return
		}
		select {
		case frame = <-l.queue:
			continue
		default:
		}
		break
	}
	if err := l.writer.Flush(); err != nil {
		l.fail("write", err)
	}
}

func (l *link) write(frame Frame) error {
	if err := l.stream.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return err
	}
	return writeFrame(l.writer, frame)
}

// ensureConnected reports whether there is a stream to the peer. If there is none,
// it first takes a session that the peer dialled, or else dials the peer. Within
// MinDialInterval of the last dial it doesn't dial again, and the frame is dropped.
func (l *link) ensureConnected() bool {
	if l.stream != nil && !l.session.IsClosed() {
		return true
	}
	l.disconnect()
	select {
	case s := <-l.offered:
		l.adopt(s)
		return l.stream != nil
	default:
	}
	if time.Since(l.lastDial) < MinDialInterval {
		return false
	}
	l.lastDial = time.Now()
	raw, err := l.network.dialer.DialContext(l.network.ctx, "tcp", string(l.address))
	if err != nil {
		l.fail("dial", err)
		return false
	}
	session, err := yamux.Client(raw, sessionConfig())
	if err != nil {
		_ = raw.Close()
		l.fail("session", err)
		return false
	}
	l.session = session
	l.network.readDialled(session)
	l.openStream()
	return l.stream != nil
}

// openStream opens the stream for sending and buffers its Hello.
func (l *link) openStream() {
	stream, err := l.session.Open()
	if err != nil {
		l.fail("open stream", err)
		return
	}
	l.stream = stream
	l.writer = bufio.NewWriterSize(stream, bufferBytes)
	self := l.network.self
	_ = stream.SetWriteDeadline(time.Now().Add(WriteTimeout))
	_, err = protodelim.MarshalTo(l.writer, &gen.Hello{
		Version:     protocolVersion,
		Address:     string(self.Address),
		Incarnation: self.Incarnation,
		Zone:        self.Zone,
		Region:      self.Region,
	})
	if err != nil {
		l.fail("hello", err)
	}
}

// fail closes the session after an error and calls the failure handler.
func (l *link) fail(operation string, err error) {
	l.network.logger.Debug("connection to peer failed",
		"Peer", l.address,
		"Doing", operation,
		"Error", err)
	l.disconnect()
	if l.network.ctx.Err() == nil {
		l.network.onFailure(l.address)
	}
}

// disconnect closes the stream and its session.
func (l *link) disconnect() {
	if l.stream != nil {
		_ = l.stream.Close()
	}
	if l.session != nil {
		_ = l.session.Close()
	}
	l.stream = nil
	l.session = nil
}
