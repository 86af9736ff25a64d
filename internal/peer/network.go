package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"dandelionmux/pkg/instance"
)

// Limits of the network between instances.
const (
	// MaxFrameBytes bounds the size of a frame. It has room for a whole part of the
	// document, which has at most revision.MaximumPartBytes, although parts are
	// sent in smaller chunks. Send doesn't check the size; the receiver disconnects
	// the sender of a larger frame.
	MaxFrameBytes = 1<<20 + 64<<10
	// MaxQueuedFrames bounds the number of frames queued for one peer.
	MaxQueuedFrames = 128
	// HelloTimeout bounds the wait for the peer's Hello: from the start of the
	// session if the peer dialled it, otherwise from the opening of the peer's
	// stream. It also bounds opening and closing a stream.
	HelloTimeout = 2 * time.Second
	// DialTimeout bounds the time to open a connection.
	DialTimeout = time.Second
	// WriteTimeout bounds one write. A peer to which a write takes longer is
	// disconnected.
	WriteTimeout = 5 * time.Second
	// MinDialInterval is the shortest time between two dials of the same peer.
	MinDialInterval = 200 * time.Millisecond
	// IdleTimeout closes a link to which no frame was sent for that long.
	IdleTimeout = 2 * time.Minute
	// MaxAcceptedSessions bounds the open sessions that peers dialled.
	MaxAcceptedSessions = 2048
)

// Frame is one encoded message.
type Frame []byte

// ReceiveFunc is called with each received frame and its sender. It is called
// from many goroutines and must not keep the frame after it returns.
type ReceiveFunc func(from instance.ID, frame Frame)

// Network connects this instance to its peers. It is safe for concurrent use.
type Network struct {
	self      instance.Info
	receive   ReceiveFunc
	onFailure func(instance.Address)
	logger    *slog.Logger
	dialer    net.Dialer

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu    sync.Mutex
	links map[instance.Address]*link
	// acceptedSessions counts the open sessions that peers dialled.
	acceptedSessions int
	// sessions are the sessions being read, whichever side dialled.
	sessions map[*yamux.Session]struct{}
}

// Option changes a Network under construction.
type Option func(*Network)

// WithLogger sets where connection events are logged.
func WithLogger(l *slog.Logger) Option {
	return func(n *Network) { n.logger = l }
}

// WithFailureHandler sets a function that is called, from the link's goroutine,
// when dialling a peer or sending to it fails while the network is open.
func WithFailureHandler(f func(instance.Address)) Option {
	return func(n *Network) { n.onFailure = f }
}

// New returns a Network that passes received frames to receive. It accepts no
// connections before Serve is called.
func New(self instance.Info, receive ReceiveFunc, options ...Option) *Network {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Network{
		self:      self,
		receive:   receive,
		onFailure: func(instance.Address) {},
		logger:    slog.New(slog.DiscardHandler),
		dialer: net.Dialer{
			Timeout: DialTimeout,
		},
		ctx:    ctx,
		cancel: cancel,
		links:  map[instance.Address]*link{},

		sessions: map[*yamux.Session]struct{}{},
	}
	for _, o := range options {
		o(n)
	}
	return n
}

// Send queues a frame for a peer and reports whether it was queued. A frame is
// dropped if the queue is full or the network is closed, and a queued frame may
// still be lost.
func (n *Network) Send(to instance.Address, frame Frame) bool {
	l := n.link(to)
	if l == nil {
		return false
	}
	select {
	case l.queue <- frame:
		return true
	default:
		return false
	}
}

// Serve accepts connections until the network is closed, and then returns nil.
// It returns an error if accepting a connection fails.
func (n *Network) Serve(listener net.Listener) error {
	stop := context.AfterFunc(n.ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		raw, err := listener.Accept()
		if n.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &Error{
				Operation: "accept",
				cause:     err,
			}
		}
		n.accept(raw)
	}
}

// Close ends all sessions and waits for their goroutines.
func (n *Network) Close() {
	n.mu.Lock()
	n.cancel()
	for s := range n.sessions {
		_ = s.Close()
	}
	n.mu.Unlock()
	n.tasks.Wait()
}

// PeerCount returns the number of peers that have a link now.
func (n *Network) PeerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}

// link returns the link to a peer, and creates it if there is none. It returns
// nil if the network is closed.
func (n *Network) link(to instance.Address) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return nil
	}
	l, ok := n.links[to]
	if !ok {
		l = newLink(n, to)
		n.links[to] = l
		n.spawn(l.run)
	}
	return l
}

// removeLink removes an idle link.
func (n *Network) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[l.address] == l {
		delete(n.links, l.address)
	}
}

// spawn runs f in a goroutine that Close waits for. The caller holds mu and
// has checked that ctx hasn't ended, so that Close can't already be waiting.
func (n *Network) spawn(f func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		f()
	}()
}
