package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"dandelionmux/internal/daemon"
	"dandelionmux/internal/etcd"
	"dandelionmux/internal/list"
	"dandelionmux/internal/operator"
	"dandelionmux/internal/settings"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
)

const (
	instanceCount = 3
	targetCount   = 6
	slots         = 6
	// connections is how many connections a target accepts.
	connections = 350
	// downtime is how long a crashed target refuses connections.
	downtime = time.Second
	// startTimeout bounds the wait until the fleet is ready.
	startTimeout = time.Minute
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// balancerLag is how long a stopping instance still accepts requests, until
	// the balancer has noticed its stop.
	balancerLag = time.Second
)

// The organisations and their keys. The step withdrawKey withdraws withdrawnKey.
const (
	steady       = "orchard"
	greedy       = "mill"
	withdrawn    = "kiosk"
	steadyKey    = "demo-key-of-orchard"
	greedyKey    = "demo-key-of-mill"
	withdrawnKey = "demo-key-of-kiosk"
)

// Rates of the organisations, in requests a second, and their bursts.
const (
	steadyRate  = 300
	greedyRate  = 20
	greedyBurst = 20
)

// config is the configuration that differs between Run and Overhead.
type config struct {
	// slots is how many requests each target runs at once.
	slots int
	// rate is the rate of the steady organisation, in requests a second. Its
	// burst is half of that.
	rate int
	// work is how long a target takes for a request.
	work time.Duration
}

// demoConfig is the configuration of Run.
var demoConfig = config{
	slots: slots,
	rate:  steadyRate,
	work:  2 * time.Millisecond,
}

// fleet is the instances and the stand-ins that they need.
type fleet struct {
	config    config
	store     *standin.Store
	list      *standin.List
	targets   []*standin.TargetServer
	servers   []*http.Server
	instances []*daemon.Daemon
	editor    *operator.Editor
	client    *etcd.Client
	document  document.Document
	logger    *slog.Logger

	storeURL  string
	listURL   string
	targetURL string
}

// newFleet starts the stand-ins and the instances, and waits until all instances
// are ready.
func newFleet(ctx context.Context, logger *slog.Logger, s config) (*fleet, error) {
	f := &fleet{
		config: s,
		store:  standin.NewStore(),
		list:   standin.NewList(),
		logger: logger,
	}
	if err := f.start(ctx); err != nil {
		f.close()
		return nil, wrap("start", err)
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	if err := f.startStoreAndList(); err != nil {
		return err
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	f.document = f.initialDocument()
	if err := f.writeDocument(ctx, document.Sections...); err != nil {
		return err
	}
	for i := range instanceCount {
		if err := f.startInstance(fmt.Sprintf("zone-%d", i)); err != nil {
			return err
		}
	}
	if _, ready := eventually(ctx, startTimeout, f.ready); !ready {
		return context.DeadlineExceeded
	}
	return nil
}

// serve serves a handler on a free port and returns the server's URL.
func (f *fleet) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
	}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (f *fleet) startStoreAndList() (err error) {
	if f.storeURL, err = f.serve(f.store); err != nil {
		return err
	}
	if f.listURL, err = f.serve(f.list); err != nil {
		return err
	}
	f.client, err = etcd.New([]string{f.storeURL})
	if err != nil {
		return err
	}
	f.editor = operator.New(f.client, operator.Author("demo"))
	return nil
}

func (f *fleet) startTargets() (err error) {
	for i := range targetCount {
		t, err := standin.ServeTarget(fmt.Sprintf("desk-%d", i+1), "127.0.0.1:0", downtime,
			standin.TargetSlots(f.config.slots), standin.TargetWorkTime(f.config.work), standin.TargetSeed(uint64(i+1)))
		if err != nil {
			return err
		}
		t.ForbidKeys(steadyKey, greedyKey, withdrawnKey)
		f.targets = append(f.targets, t)
	}
	f.targetURL, err = f.serve(standin.TargetsAdmin(f.targets))
	return err
}

// initialDocument returns the document that the fleet starts with.
func (f *fleet) initialDocument() document.Document {
	service := document.Service{
		Name:  "desk",
		Floor: 50,
	}
	for i, t := range f.targets {
		service.Targets = append(service.Targets, document.Target{
			Name:        t.Name(),
			Address:     t.Address(),
			Zone:        fmt.Sprintf("zone-%d", i%instanceCount),
			Slots:       f.config.slots,
			Connections: connections,
		})
	}
	return document.Document{
		Organisations: []document.Organisation{
			organisation(steady, steadyKey),
			organisation(greedy, greedyKey),
			organisation(withdrawn, withdrawnKey),
		},
		Rates: []document.Rate{
			rate(steady, float64(f.config.rate), f.config.rate/2),
			rate(greedy, greedyRate, greedyBurst),
			rate(withdrawn, steadyRate, steadyRate),
		},
		Routes: []document.Route{{
			Name:       "desk",
			PathPrefix: "/",
			Service:    "desk",
			Timeout:    5 * time.Second,
		}},
		Services: []document.Service{service},
		Policy:   document.DefaultPolicy(),
	}
}

func organisation(name, key string) document.Organisation {
	return document.Organisation{
		Name:       name,
		KeyDigests: []document.KeyDigest{document.DigestKey(key)},
	}
}

func rate(name string, perSecond float64, burst int) document.Rate {
	return document.Rate{
		Organisation: name,
		PerSecond:    perSecond,
		Burst:        burst,
	}
}

// writeDocument writes sections of the document to the store.
func (f *fleet) writeDocument(ctx context.Context, sections ...document.Section) error {
	_, err := f.editor.Set(ctx, operator.Change{
		Sections: sections,
		Document: f.document,
		Base:     operator.Latest,
	})
	return err
}

func (f *fleet) startInstance(zone string) error {
	d, err := daemon.Start(settings.Settings{
		EntryAddress:    "127.0.0.1:0",
		PeerAddress:     "127.0.0.1:0",
		AdminAddress:    "127.0.0.1:0",
		Zone:            zone,
		Region:          "demo",
		StoreEndpoints:  []string{f.storeURL},
		ListURL:         f.listURL,
		ListLag:         time.Second,
		FreshnessTerm:   2 * time.Second,
		BalancerLag:     balancerLag,
		StopTimeout:     20 * time.Second,
		MaximumRequests: 4096,
	}, daemon.WithLogger(f.logger))
	if err != nil {
		return err
	}
	f.instances = append(f.instances, d)
	f.list.Register(list.Entry{
		Info: instance.Info{
			ID: instance.ID{
				Address:     instance.Address(d.PeerAddress()),
				Incarnation: d.Incarnation(),
			},
			Zone:   zone,
			Region: "demo",
		},
		EntryAddress: d.EntryAddress(),
	})
	return nil
}

// ready reports whether all instances are ready for requests and know each other.
func (f *fleet) ready() bool {
	for _, d := range f.instances {
		s := d.Status()
		if !s.Ready || len(s.Members) != len(f.instances) {
			return false
		}
	}
	return true
}

// entries returns the entry URLs of the instances.
func (f *fleet) entries() []string {
	urls := make([]string, len(f.instances))
	for i, d := range f.instances {
		urls[i] = "http://" + d.EntryAddress()
	}
	return urls
}

// load sends requests of the callers through all instances for the duration d.
func (f *fleet) load(ctx context.Context, d time.Duration, method string, callers ...standin.Caller) (standin.Summary, error) {
	return standin.Load{
		Entries:  f.entries(),
		Callers:  callers,
		Method:   method,
		Path:     "/bookings",
		Duration: d,
		Targets:  []string{f.targetURL},
		Seed:     1,
	}.Run(ctx)
}

// printCommands prints commands that a user can try on the running fleet.
func (f *fleet) printCommands(out io.Writer) {
	_, _ = fmt.Fprintf(out, "\nThe fleet runs until you interrupt it. Try:\n")
	for _, d := range f.instances {
		_, _ = fmt.Fprintf(out, "  curl -i -H 'X-Api-Key: %s' http://%s/bookings\n", steadyKey, d.EntryAddress())
		_, _ = fmt.Fprintf(out, "  curl -s http://%s/status\n", d.AdminAddress())
	}
	_, _ = fmt.Fprintf(out, "  dandelionctl get -store %s Rates\n", f.storeURL)
}

// close stops the instances and the stand-ins.
func (f *fleet) close() {
	for _, d := range f.instances {
		d.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, t := range f.targets {
		t.Close()
	}
	if f.client != nil {
		f.client.Close()
	}
}

// eventually waits until the condition holds, at most until limit has passed or
// the context ends. It returns how long it waited, and whether the condition
// held.
func eventually(ctx context.Context, limit time.Duration, condition func() bool) (time.Duration, bool) {
	const interval = 10 * time.Millisecond
	began := time.Now()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if condition() {
			return time.Since(began), true
		}
		if time.Since(began) > limit {
			return limit, false
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return time.Since(began), false
		}
	}
}
