package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/internal/forward"
	"dandelionmux/internal/ingress"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/memory"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/quarantine"
)

// Limits of the servers and of connections to targets.
const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// relayHeaderBytes is the room for what instances add to the header of a caller.
	relayHeaderBytes = 4 << 10
	// idleTimeout is longer than callers keep idle connections.
	idleTimeout = time.Minute
	// targetIdleTimeout is how long an idle connection to a target is kept. Targets
	// close theirs after 10 s.
	targetIdleTimeout = 8 * time.Second
	// targetDialTimeout bounds connecting to a target. A live target accepts within a
	// few milliseconds, and a lost packet is sent again only after a second.
	targetDialTimeout = 150 * time.Millisecond
	// testTimeout is targetDialTimeout for the tests of links, for which requests wait.
	testTimeout = 100 * time.Millisecond
)

// Gateway is one running instance.
type Gateway struct {
	settings Settings
	adapters Adapters
	logger   *slog.Logger
	registry metrics.Registry
	self     instance.Info
	// dialTarget establishes connections to targets.
	dialTarget forward.DialContext

	datagrams *net.UDPConn
	listeners []net.Listener
	// callers serves the entry listener, servers the others.
	callers    *ingress.Server
	servers    []*http.Server
	entry      *entry.Handler
	memory     *memory.Account
	peerClient *http.Client

	state   *localState
	backoff backoff
	// discovery is how this run has learnt the members.
	discovery *discovery
	pending   *pendingRequests
	// asks are this instance's requests for slots, allocation says for which services there are
	// any, and allocates whether the instance grants slots. allocatorWake tells that requests
	// wait for slots here.
	asks          *pendingSlots
	allocation    allocationBounds
	allocates     bool
	allocatorWake chan struct{}
	// loses drops datagrams in tests; nil if there is no such test.
	loses    func(to instance.Address, m message) bool
	snapshot atomic.Pointer[entry.Snapshot]
	leaving  atomic.Bool
	// readingStore is set while the instance reads the store for its zone.
	readingStore atomic.Bool
	// relist is set when the store is to be listed anew because of a difference.
	relist atomic.Bool
	// copies are the last answers to followers, the next of which is replaced, and fullCopy
	// is the last one with all entries that was compressed.
	copyMu   sync.Mutex
	copies   [2]encodedEntries
	nextCopy int
	fullCopy encodedEntries
	// publishMu serialises changes of the snapshot.
	publishMu sync.Mutex

	// unsaved receives the requests whose quarantine may have to be changed in the store.
	unsaved chan quarantine.Fingerprint

	tasks  *errgroup.Group
	cancel context.CancelFunc
	// deregister ends the instance's registration.
	deregister context.CancelFunc
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *slog.Logger) Option {
	return func(g *Gateway) { g.logger = l }
}

// WithMetrics sets the registry for the counters. By default it is a new one.
func WithMetrics(r metrics.Registry) Option {
	return func(g *Gateway) { g.registry = r }
}

// WithTargetDialer sets how connections to targets are established. The default is a
// net.Dialer.
func WithTargetDialer(dial forward.DialContext) Option {
	return func(g *Gateway) { g.dialTarget = dial }
}

// Start starts an instance. s must have passed Check. Start returns once the instance
// listens, or an error if it can't listen on an address. The instance reports that it is
// ready once it has a configuration.
func Start(s Settings, a Adapters, options ...Option) (*Gateway, error) {
	g := &Gateway{
		settings: s,
		adapters: a,
		logger:   slog.New(slog.DiscardHandler),
		registry: metrics.NewRegistry(),
		self: instance.Info{
			ID: instance.ID{
				Incarnation: uint64(time.Now().UnixNano()),
			},
			Zone: s.Zone,
		},
		dialTarget: new(net.Dialer).DialContext,
		pending:    newPendingRequests(),
		asks:       newPendingSlots(),
		allocation: allocationBounds{
			minMembers: minAllocatedMembers,
			maxSlots:   maxAllocatedSlots,
		},
		allocates:     true,
		allocatorWake: make(chan struct{}, 1),
		discovery:     newDiscovery(),
		unsaved:       make(chan quarantine.Fingerprint, maxUnsavedEntries),
		peerClient:    newPeerClient(),
	}
	for _, o := range options {
		o(g)
	}
	g.snapshot.Store(&entry.Snapshot{})
	if err := g.listen(); err != nil {
		g.closeListeners()
		return nil, err
	}
	g.self.Address = instance.Address(g.address(peerListener))
	g.state = newLocalState(g)
	g.start()
	return g, nil
}

// Current implements entry.SnapshotSource.
func (g *Gateway) Current() *entry.Snapshot { return g.snapshot.Load() }

// publish replaces the snapshot that requests read by a changed copy.
func (g *Gateway) publish(change func(*entry.Snapshot)) {
	g.publishMu.Lock()
	defer g.publishMu.Unlock()
	next := *g.snapshot.Load()
	change(&next)
	g.snapshot.Store(&next)
}

// Indexes of the listeners.
const (
	entryListener = iota
	readyListener
	peerListener
	metricsListener
)

// listen opens all sockets. The UDP socket for other instances has the same port as the
// TCP listener for them.
func (g *Gateway) listen() error {
	for _, address := range []string{
		entryListener:   g.settings.EntryAddress,
		readyListener:   g.settings.ReadyAddress,
		peerListener:    g.settings.PeerAddress,
		metricsListener: g.settings.MetricsAddress,
	} {
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		g.listeners = append(g.listeners, l)
	}
	var err error
	g.datagrams, err = listenDatagrams(g.address(peerListener))
	return err
}

// address returns the address of a listener.
func (g *Gateway) address(listener int) string { return g.listeners[listener].Addr().String() }

// EntryAddress returns the address for callers.
func (g *Gateway) EntryAddress() string { return g.address(entryListener) }

// ReadyAddress returns the address for the balancer's checks.
func (g *Gateway) ReadyAddress() string { return g.address(readyListener) }

// MetricsAddress returns the address at which counters are served.
func (g *Gateway) MetricsAddress() string { return g.address(metricsListener) }

// PeerAddress returns the address that serves other instances.
func (g *Gateway) PeerAddress() string { return string(g.self.Address) }

func (g *Gateway) closeListeners() {
	if g.datagrams != nil {
		_ = g.datagrams.Close()
	}
	for _, l := range g.listeners {
		_ = l.Close()
	}
}

// start starts the servers and the goroutines.
func (g *Gateway) start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.tasks = &errgroup.Group{}
	g.memory = newAccount(g.settings.MemoryBytes, g.registry)
	g.entry = entry.New(entry.Dependencies{
		Snapshots:  g,
		Admission:  admission{g},
		Dispatcher: dispatcher{g},
		Quarantine: quarantineCheck{g},
		Relays:     relays{g},
	},
		entry.WithMemory(g.memory),
		entry.WithDialect(g.adapters.Dialect),
		entry.WithLogger(g.logger),
		entry.WithMetrics(g.registry),
		entry.WithClient(forward.New(
			forward.WithIdleTimeout(targetIdleTimeout),
			forward.WithDialContext(g.connect))))
	g.serveCallers()
	g.serve(readyListener, http.HandlerFunc(g.serveReady))
	g.serve(peerListener, http.HandlerFunc(g.servePeer))
	g.serve(metricsListener, http.HandlerFunc(g.serveOperators))
	g.goTask(g.receive)
	g.goLoop(ctx, g.maintainMirror)
	membership, deregister := context.WithCancel(ctx)
	g.deregister = deregister
	g.goLoop(membership, g.keepMembership)
	g.goLoop(ctx, g.tick)
	g.goLoop(ctx, g.saveQuarantines)
	g.goLoop(ctx, g.runAllocator)
	g.logger.Info("started",
		slog.String("Instance", g.settings.Name),
		slog.String("Build", g.settings.Build),
		slog.String("Zone", g.settings.Zone),
		slog.String("Entry", g.EntryAddress()),
		slog.String("Peer", string(g.self.Address)))
}

// newAccount returns the account of what is held for requests, and registers gauges of it.
func newAccount(memoryBytes int64, r metrics.Registry) *memory.Account {
	limit := int64(entry.DefaultMaxBytes)
	if memoryBytes > 0 {
		limit = memory.LimitOf(memoryBytes)
	}
	a := memory.NewAccount(limit)
	metrics.NewRegisteredFunctionalGauge("Memory.HeldBytes", r, func() int64 {
		now, _ := a.Used()
		return now
	})
	metrics.NewRegisteredFunctionalGauge("Memory.HeldBytes.Peak", r, func() int64 {
		_, peak := a.Used()
		return peak
	})
	return a
}

// goTask runs f in a goroutine that Close waits for.
func (g *Gateway) goTask(f func()) {
	g.tasks.Go(func() error {
		f()
		return nil
	})
}

// serveCallers serves the connections of callers until the server is closed.
func (g *Gateway) serveCallers() {
	g.callers = ingress.New(g.entry,
		ingress.WithHeaderTimeout(readHeaderTimeout),
		ingress.WithIdleTimeout(idleTimeout),
		ingress.WithMaxHeaderBytes(maxHeaderBytes),
		ingress.WithMemory(g.memory, http.HandlerFunc(g.entry.RefuseFull)),
		ingress.WithLogger(g.logger),
		ingress.WithMetrics(g.registry))
	g.goTask(func() { g.logServerEnd(entryListener, g.callers.Serve(g.listeners[entryListener])) })
}

// serve serves another listener until its server is closed.
func (g *Gateway) serve(listener int, handler http.Handler) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(g.logger.Handler(), slog.LevelDebug),
	}
	if listener == peerListener {
		server.MaxHeaderBytes += relayHeaderBytes
	}
	g.servers = append(g.servers, server)
	g.goTask(func() { g.logServerEnd(listener, server.Serve(g.listeners[listener])) })
}

// logServerEnd logs why a listener is no longer served, unless its server was closed.
func (g *Gateway) logServerEnd(listener int, err error) {
	if !errors.Is(err, http.ErrServerClosed) {
		g.logger.Error("server failed",
			slog.String("Address", g.listeners[listener].Addr().String()),
			slog.String("Error", err.Error()))
	}
}

// Times of the periodic work.
const (
	tickPeriod = 100 * time.Millisecond
	// loanRequestTicks is the number of ticks between two loan requests.
	loanRequestTicks = int(meter.LoanRequestPeriod / tickPeriod)
)

// tick does the periodic work until ctx ends.
func (g *Gateway) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.contain(func() { g.state.expire(boot.Now()) })
		if n%claimExpiryTicks == 0 {
			g.contain(func() { g.state.withLock(func() { g.state.expireClaims(boot.Now()) }) })
		}
		if n%loanRequestTicks == 0 {
			g.contain(g.sendLoanRequests)
		}
		g.contain(func() { g.findUnresponsive(boot.Now()) })
		g.contain(func() { g.sendReports(boot.Now()) })
		g.contain(func() { g.sendZoneLoads(boot.Now()) })
		g.contain(g.stepLinks)
		g.contain(g.confirmStrikes)
		g.contain(func() { g.reportLinks(boot.Now()) })
	}
}

// count increments the counter with a name.
func (g *Gateway) count(name string) {
	metrics.GetOrRegisterCounter(name, g.registry).Inc(1)
}

// newRandom returns a random source that is only used to spread load.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
