package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/control"
	"dandelionmux/internal/dispatch"
	"dandelionmux/internal/entry"
	"dandelionmux/internal/etcd"
	"dandelionmux/internal/ingress"
	"dandelionmux/internal/list"
	"dandelionmux/internal/peer"
	"dandelionmux/internal/settings"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/memory"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/share"
)

// Limits of the servers towards callers and operators.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// minShareCallInterval is the shortest time between two store calls for shares,
// other than renewals, by this instance.
const minShareCallInterval = 30 * time.Millisecond

// errSuperseded means that a later run uses this instance's address.
var errSuperseded = errors.New("superseded by a later run at this address")

// Daemon is one running instance.
type Daemon struct {
	settings settings.Settings
	logger   *slog.Logger
	// startTime is the wall time of the start. It becomes the incarnation.
	startTime time.Time
	// startBootTime is the time of the start on the boot clock; see clock.
	startBootTime time.Duration
	self          instance.Info
	registry      metrics.Registry

	// snapshotMu guards changes of the snapshot. Readers don't need it.
	snapshotMu sync.Mutex
	snapshot   atomic.Pointer[entry.Snapshot]

	store     *etcd.Client
	list      *list.Client
	peers     *peer.Network
	loop      *control.Loop
	publisher *publisher
	dispatch  *dispatch.Dispatcher
	handler   *entry.Handler
	memory    *memory.Account
	listeners listeners
	callers   *ingress.Server
	admin     *http.Server

	// tasks are the goroutines that run until Close.
	tasks  *errgroup.Group
	cancel context.CancelFunc
	// handedOver is closed once all rights are handed over to peers.
	handedOver     chan struct{}
	handedOverOnce sync.Once
	// failed gets the error that ends the instance.
	failed chan error
}

// listeners are the sockets on which the instance listens.
type listeners struct {
	entry net.Listener
	peer  net.Listener
	admin net.Listener
}

// Option changes a Daemon under construction.
type Option func(*Daemon)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *slog.Logger) Option {
	return func(d *Daemon) { d.logger = l }
}

// Start starts an instance. It returns as soon as the instance listens. The
// instance is ready later, once it has a document that it can trust; see the
// admin path /ready.
func Start(s settings.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:      s,
		logger:        slog.New(slog.DiscardHandler),
		startTime:     time.Now(),
		startBootTime: boot.Now(),
		registry:      metrics.NewRegistry(),
		handedOver:    make(chan struct{}),
		failed:        make(chan error, 1),
	}
	for _, o := range options {
		o(d)
	}
	d.snapshot.Store(&entry.Snapshot{})
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.assemble(); err != nil {
		d.listeners.close()
		return nil, err
	}
	d.startTasks()
	return d, nil
}

// EntryAddress returns the address to which callers connect.
func (d *Daemon) EntryAddress() string { return d.listeners.entry.Addr().String() }

// AdminAddress returns the address to which operators connect.
func (d *Daemon) AdminAddress() string { return d.listeners.admin.Addr().String() }

// PeerAddress returns the address to which other instances connect.
func (d *Daemon) PeerAddress() string { return d.listeners.peer.Addr().String() }

// Incarnation returns the number that distinguishes this run from others at the
// same address.
func (d *Daemon) Incarnation() uint64 { return d.self.Incarnation }

// Failed returns a channel that gets the error if the instance fails by itself.
func (d *Daemon) Failed() <-chan error { return d.failed }

// Current implements entry.SnapshotSource.
func (d *Daemon) Current() *entry.Snapshot { return d.snapshot.Load() }

// clock returns the time since the start, including time for which the machine
// was suspended: leases that others grant continue to age during a suspend.
func (d *Daemon) clock() time.Duration { return boot.Now() - d.startBootTime }

// listen opens all listeners, or none.
func (d *Daemon) listen() error {
	for _, l := range []struct {
		component string
		address   string
		listener  *net.Listener
	}{
		{"entry", d.settings.EntryAddress, &d.listeners.entry},
		{"peer", d.settings.PeerAddress, &d.listeners.peer},
		{"admin", d.settings.AdminAddress, &d.listeners.admin},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			d.listeners.close()
			return wrap(l.component, err)
		}
		*l.listener = listener
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.entry, l.peer, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// assemble creates the components of the instance and connects them.
func (d *Daemon) assemble() error {
	var err error
	if d.store, err = etcd.New(d.settings.StoreEndpoints); err != nil {
		return wrap("store", err)
	}
	if d.list, err = list.New(d.settings.ListURL); err != nil {
		return wrap("list", err)
	}
	d.self = instance.Info{
		ID: instance.ID{
			Address:     instance.Address(d.PeerAddress()),
			Incarnation: uint64(d.startTime.UnixNano()),
		},
		Zone:   d.settings.Zone,
		Region: d.settings.Region,
	}
	d.publisher = newPublisher(d)
	d.assembleControl()
	d.memory = memory.NewAccount(memoryLimit(d.settings))
	d.dispatch = dispatch.New(d.clock, dispatch.WithObserver(d.handleConnectionEvent))
	d.handler = entry.New(entry.Dependencies{
		Snapshots:  d,
		Admission:  d.loop.Admission(),
		Claims:     d.loop.Claims(),
		Dispatcher: d.dispatch,
		Quarantine: d.loop.Quarantine(),
	},
		entry.WithLogger(d.logger),
		entry.WithDecisionLogging(d.settings.LogDecisions),
		entry.WithMaxRequests(d.settings.MaximumRequests),
		entry.WithMemory(d.memory),
		entry.WithMetrics(d.registry))
	return nil
}

// memoryLimit returns the limit of what is held for requests, in bytes.
func memoryLimit(s settings.Settings) int64 {
	if n := s.MemoryBytes(); n > 0 {
		return memory.LimitOf(n)
	}
	return entry.DefaultMaxBytes
}

// assembleControl creates the control loop and the network that it uses.
func (d *Daemon) assembleControl() {
	adapter := &network{
		logger: d.logger,
	}
	d.peers = peer.New(d.self, adapter.receive, peer.WithLogger(d.logger), peer.WithFailureHandler(adapter.connectionFailed))
	adapter.peers = d.peers
	d.loop = control.New(d.self, control.Dependencies{
		Network:      adapter,
		Store:        d.store,
		HandleEffect: d.handleEffect,
	}, d.clock, []fleet.Option{
		fleet.WithShare(share.ListLag(d.settings.ListLag), share.MinStoreInterval(minShareCallInterval)),
		fleet.WithRevision(revision.WithFreshness(d.settings.FreshnessTerm)),
	}, control.WithLogger(d.logger))
	adapter.tryPost = d.loop.TryPost
}

// startTasks starts the goroutines and the servers.
func (d *Daemon) startTasks() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.tasks = &errgroup.Group{}
	d.spawn(func() { d.loop.Run(ctx) })
	d.spawn(func() { d.publisher.run(ctx) })
	d.spawn(func() { d.pollList(ctx) })
	d.spawn(func() { d.pollReports(ctx) })
	d.spawn(func() { d.servePeers() })
	d.callers = ingress.New(d.handler,
		ingress.WithHeaderTimeout(readHeaderTimeout),
		ingress.WithIdleTimeout(idleTimeout),
		ingress.WithMaxHeaderBytes(maxHeaderBytes),
		ingress.WithMemory(d.memory, http.HandlerFunc(d.handler.RefuseFull)),
		ingress.WithLogger(d.logger),
		ingress.WithMetrics(d.registry))
	d.admin = &http.Server{
		Handler:           d.adminHandler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo),
	}
	d.serve(d.callers, d.listeners.entry)
	d.serve(d.admin, d.listeners.admin)
}

// spawn runs f in a goroutine that Close waits for.
func (d *Daemon) spawn(f func()) {
	d.tasks.Go(func() error {
		f()
		return nil
	})
}

func (d *Daemon) servePeers() {
	if err := d.peers.Serve(d.listeners.peer); err != nil {
		d.fail(wrap("peer", err))
	}
}

// serve serves HTTP on a listener.
func (d *Daemon) serve(server interface{ Serve(net.Listener) error }, l net.Listener) {
	d.spawn(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.fail(wrap("serve", err))
		}
	})
}

// fail reports the error that ends the instance. An error is dropped while an
// earlier one is unread.
func (d *Daemon) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}
