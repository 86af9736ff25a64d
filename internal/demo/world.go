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
	// connections is how many connections a target takes.
	connections = 350
	// downtime is how long a crashed target refuses connections.
	downtime = time.Second
	// patience bounds the wait for the fleet's start.
	patience = time.Minute
	headTime = 10 * time.Second
	// balancerLag is how long instances serve on after they began to leave.
	balancerLag = time.Second
)

// The organisations and their keys.
const (
	steady     = "orchard"
	greedy     = "mill"
	leaving    = "kiosk"
	steadyKey  = "demo-key-of-orchard"
	greedyKey  = "demo-key-of-mill"
	leavingKey = "demo-key-of-kiosk"
)

// Rates of the organisations, in requests a second, and their bursts.
const (
	steadyRate  = 300
	greedyRate  = 20
	greedyBurst = 20
)

// shape is what differs between a demo and a measurement.
type shape struct {
	// slots is of each target.
	slots int
	// rate is of the steady organisation, in requests a second, and its burst.
	rate int
	// work is how long a target runs a request.
	work time.Duration
}

// demoShape is the demo's.
var demoShape = shape{
	slots: slots,
	rate:  steadyRate,
	work:  2 * time.Millisecond,
}

// world is the fleet and all around it.
type world struct {
	shape     shape
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

// newWorld starts everything and waits until all instances are ready.
func newWorld(ctx context.Context, logger *slog.Logger, s shape) (*world, error) {
	w := &world{
		shape:  s,
		store:  standin.NewStore(),
		list:   standin.NewList(),
		logger: logger,
	}
	if err := w.start(ctx); err != nil {
		w.close()
		return nil, wrap("start", err)
	}
	return w, nil
}

func (w *world) start(ctx context.Context) error {
	if err := w.startPlatform(); err != nil {
		return err
	}
	if err := w.startTargets(); err != nil {
		return err
	}
	w.document = w.firstDocument()
	if err := w.edit(ctx, document.Sections...); err != nil {
		return err
	}
	for i := range instanceCount {
		if err := w.startInstance(fmt.Sprintf("zone-%d", i)); err != nil {
			return err
		}
	}
	if _, ready := eventually(ctx, patience, w.ready); !ready {
		return context.DeadlineExceeded
	}
	return nil
}

// serve serves a handler on a free port and returns its URL.
func (w *world) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headTime,
	}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (w *world) startPlatform() (err error) {
	if w.storeURL, err = w.serve(w.store); err != nil {
		return err
	}
	if w.listURL, err = w.serve(w.list); err != nil {
		return err
	}
	w.client, err = etcd.New([]string{w.storeURL})
	if err != nil {
		return err
	}
	w.editor = operator.New(w.client, operator.Author("demo"))
	return nil
}

func (w *world) startTargets() (err error) {
	for i := range targetCount {
		t, err := standin.ServeTarget(fmt.Sprintf("desk-%d", i+1), "127.0.0.1:0", downtime,
			standin.TargetSlots(w.shape.slots), standin.TargetWorkTime(w.shape.work), standin.TargetSeed(uint64(i+1)))
		if err != nil {
			return err
		}
		t.ForbidKeys(steadyKey, greedyKey, leavingKey)
		w.targets = append(w.targets, t)
	}
	w.targetURL, err = w.serve(standin.TargetsAdmin(w.targets))
	return err
}

// firstDocument is what operators begin with.
func (w *world) firstDocument() document.Document {
	service := document.Service{
		Name:  "desk",
		Floor: 50,
	}
	for i, t := range w.targets {
		service.Targets = append(service.Targets, document.Target{
			Name:        t.Name(),
			Address:     t.Address(),
			Zone:        fmt.Sprintf("zone-%d", i%instanceCount),
			Slots:       w.shape.slots,
			Connections: connections,
		})
	}
	return document.Document{
		Organisations: []document.Organisation{
			organisation(steady, steadyKey),
			organisation(greedy, greedyKey),
			organisation(leaving, leavingKey),
		},
		Rates: []document.Rate{
			rate(steady, float64(w.shape.rate), w.shape.rate/2),
			rate(greedy, greedyRate, greedyBurst),
			rate(leaving, steadyRate, steadyRate),
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

// edit puts sections of the document into the store.
func (w *world) edit(ctx context.Context, sections ...document.Section) error {
	_, err := w.editor.Set(ctx, operator.Change{
		Sections: sections,
		Document: w.document,
		Base:     operator.Latest,
	})
	return err
}

func (w *world) startInstance(zone string) error {
	d, err := daemon.Start(settings.Settings{
		EntryAddress:    "127.0.0.1:0",
		PeerAddress:     "127.0.0.1:0",
		AdminAddress:    "127.0.0.1:0",
		Zone:            zone,
		Region:          "demo",
		StoreEndpoints:  []string{w.storeURL},
		ListURL:         w.listURL,
		ListLag:         time.Second,
		FreshnessTerm:   2 * time.Second,
		BalancerLag:     balancerLag,
		StopTimeout:     20 * time.Second,
		MaximumRequests: 4096,
	}, daemon.WithLogger(w.logger))
	if err != nil {
		return err
	}
	w.instances = append(w.instances, d)
	w.list.Register(list.Entry{
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

// ready reports whether all instances take requests and know all shares' holders.
func (w *world) ready() bool {
	for _, d := range w.instances {
		s := d.Status()
		if !s.Ready || len(s.Members) != len(w.instances) {
			return false
		}
	}
	return true
}

// entries are the URLs of the instances.
func (w *world) entries() []string {
	urls := make([]string, len(w.instances))
	for i, d := range w.instances {
		urls[i] = "http://" + d.EntryAddress()
	}
	return urls
}

// load sends a bounded load through all instances.
func (w *world) load(ctx context.Context, d time.Duration, method string, callers ...standin.Caller) (standin.Summary, error) {
	return standin.Load{
		Entries:  w.entries(),
		Callers:  callers,
		Method:   method,
		Path:     "/bookings",
		Duration: d,
		Targets:  []string{w.targetURL},
		Seed:     1,
	}.Run(ctx)
}

// invite tells what to try.
func (w *world) invite(out io.Writer) {
	_, _ = fmt.Fprintf(out, "\nThe fleet goes on until you interrupt it. Try:\n")
	for _, d := range w.instances {
		_, _ = fmt.Fprintf(out, "  curl -i -H 'X-Api-Key: %s' http://%s/bookings\n", steadyKey, d.EntryAddress())
		_, _ = fmt.Fprintf(out, "  curl -s http://%s/status\n", d.AdminAddress())
	}
	_, _ = fmt.Fprintf(out, "  dandelionctl get -store %s Rates\n", w.storeURL)
}

// close ends everything.
func (w *world) close() {
	for _, d := range w.instances {
		d.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, t := range w.targets {
		t.Close()
	}
	if w.client != nil {
		w.client.Close()
	}
}

// eventually waits until the condition holds and returns how long it took.
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
