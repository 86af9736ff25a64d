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
	"dandelionmux/internal/list"
	"dandelionmux/internal/peer"
	"dandelionmux/internal/settings"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/share"
)

// Limits of the servers towards callers and operators.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// minClaimInterval is the least time between two claims of shares by this instance.
const minClaimInterval = 30 * time.Millisecond

// errSuperseded says that a later run has this instance's address.
var errSuperseded = errors.New("superseded by a later run at this address")

// Daemon is one running instance.
type Daemon struct {
	settings      settings.Settings
	logger        *slog.Logger
	startTime     time.Time
	startBootTime time.Duration
	self          instance.Info
	registry      metrics.Registry

	// snapshotMu guards changes of the snapshot.
	snapshotMu sync.Mutex
	snapshot   atomic.Pointer[entry.Snapshot]

	store     *etcd.Client
	list      *list.Client
	peers     *peer.Network
	loop      *control.Loop
	publisher *publisher
	dispatch  *dispatch.Dispatcher
	handler   *entry.Handler
	listeners listeners
	servers   []*http.Server

	// tasks are the goroutines that run until the stop.
	tasks  *errgroup.Group
	cancel context.CancelFunc
	// handedOver is closed once all rights are handed over.
	handedOver     chan struct{}
	handedOverOnce sync.Once
	// failed gets the error that ends the instance.
	failed chan error
}

// listeners are where the instance listens.
type listeners struct {
	entry net.Listener
	peer  net.Listener
	admin net.Listener
}

// Option changes a Daemon under construction.
type Option func(*Daemon)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(d *Daemon) { d.logger = l }
}

// Start starts an instance. It returns once the instance listens; it is ready
// when it has a document and has heard the fleet.
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

// EntryAddress is where callers connect.
func (d *Daemon) EntryAddress() string { return d.listeners.entry.Addr().String() }

// AdminAddress is where operators connect.
func (d *Daemon) AdminAddress() string { return d.listeners.admin.Addr().String() }

// PeerAddress is where other instances connect.
func (d *Daemon) PeerAddress() string { return d.listeners.peer.Addr().String() }

// Incarnation tells this run from others at the same address.
func (d *Daemon) Incarnation() uint64 { return d.self.Incarnation }

// Failed gives the error that ended the instance, if it ends by itself.
func (d *Daemon) Failed() <-chan error { return d.failed }

// Current implements entry.SnapshotSource.
func (d *Daemon) Current() *entry.Snapshot { return d.snapshot.Load() }

// clock is time since the start, counting the time that the machine was
// suspended: leases of others went on meanwhile.
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

// assemble makes the parts and joins them.
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
		entry.WithMaximumRequests(d.settings.MaximumRequests),
		entry.WithMetrics(d.registry))
	return nil
}

// assembleControl makes the control loop and the network under it.
func (d *Daemon) assembleControl() {
	net := &network{
		logger: d.logger,
	}
	d.peers = peer.New(d.self, net.receive, peer.WithLogger(d.logger), peer.WithFailureHandler(net.connectionFailed))
	net.peers = d.peers
	d.loop = control.New(d.self, control.Dependencies{
		Network:      net,
		Store:        d.store,
		HandleEffect: d.handleEffect,
	}, d.clock, []fleet.Option{
		fleet.WithShare(share.ListLag(d.settings.ListLag), share.MinStoreInterval(minClaimInterval)),
		fleet.WithRevision(revision.WithFreshness(d.settings.FreshnessTerm)),
	}, control.WithLogger(d.logger))
	net.tryPost = d.loop.TryPost
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
	d.serve(d.handler, d.listeners.entry)
	d.serve(d.adminHandler(), d.listeners.admin)
}

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
func (d *Daemon) serve(handler http.Handler, l net.Listener) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo),
	}
	d.servers = append(d.servers, server)
	d.spawn(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.fail(wrap("serve", err))
		}
	})
}

// fail reports the error that ends the instance.
func (d *Daemon) fail(err error) {
	select {
	case d.failed <- err:
	default:
	}
}
