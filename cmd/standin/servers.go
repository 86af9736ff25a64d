package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionmux/internal/standin"
)

const (
	readHeaderTimeout = 10 * time.Second
	maximumTargets    = 1000
)

// ready is the line that a server prints, as JSON, when it is ready.
type ready struct {
	Kind         string
	Address      string        `json:",omitempty"`
	AdminAddress string        `json:",omitempty"`
	Targets      []readyTarget `json:",omitempty"`
}

type readyTarget struct {
	Name    string
	Address string
}

func (r ready) print() error {
	return json.NewEncoder(os.Stdout).Encode(r)
}

// servers is a group of HTTP servers that run until one fails or they are
// closed.
type servers struct {
	running []*http.Server
	failed  chan error
}

func newServers() *servers {
	return &servers{
		failed: make(chan error, 2),
	}
}

func (s *servers) add(address string, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	s.running = append(s.running, server)
	go func() { s.failed <- server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// wait waits until the context is done, and returns nil, or until a server fails.
func (s *servers) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.failed:
		return errors.Wrap(err, "serve")
	}
}

func (s *servers) close() {
	for _, server := range s.running {
		_ = server.Close()
	}
}

// serve runs a stand-in and its admin address until the context is done.
func serve(ctx context.Context, kind, listen, admin string, h, adminHandler http.Handler) error {
	s := newServers()
	defer s.close()
	address, err := s.add(listen, h)
	if err != nil {
		return err
	}
	adminAddress, err := s.add(admin, adminHandler)
	if err != nil {
		return err
	}
	line := ready{
		Kind:         kind,
		Address:      address,
		AdminAddress: adminAddress,
	}
	if err := line.print(); err != nil {
		return err
	}
	return s.wait(ctx)
}

func storeCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin store", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address of the store's protocol, IP:port")
	admin := flags.String("admin", "127.0.0.1:0", "admin address for faults, IP:port")
	return &ffcli.Command{
		Name:      "store",
		ShortHelp: "The platform's key-value store: JSON gateway of the etcd v3 protocol.",
		LongHelp: "Faults: PUT /faults {\"Outage\", \"Refuse\", \"Frozen\", \"Slow\":\"200ms\", \"LoseAnswers\":1, \"LoseWrites\"}\n" +
			"on the admin address; GET /report returns the numbers of calls; POST /compact drops the history.",
		FlagSet: flags,
		Exec: flagsOnly(func(ctx context.Context) error {
			s := standin.NewStore()
			return serve(ctx, "store", *listen, *admin, s, standin.StoreAdmin(s))
		}),
	}
}

func listCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin list", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address of the list, IP:port")
	admin := flags.String("admin", "127.0.0.1:0", "admin address for faults, IP:port")
	lag := flags.Duration("lag", 0, "time after which readers see a change")
	return &ffcli.Command{
		Name:      "list",
		ShortHelp: "The platform's list of live and leaving instances.",
		LongHelp:  "Faults: PUT /faults {\"Lag\":\"2s\", \"Slow\":\"200ms\", \"Outage\", \"Stuck\"} on the admin address.",
		FlagSet:   flags,
		Exec: flagsOnly(func(ctx context.Context) error {
			l := standin.NewList()
			l.SetFaults(standin.ListFaults{
				Lag: *lag,
			})
			return serve(ctx, "list", *listen, *admin, l, standin.ListAdmin(l))
		}),
	}
}

// targetsSettings holds the flags of the targets command.
type targetsSettings struct {
	name     string
	count    int
	ip       string
	port     int
	admin    string
	slots    int
	queue    int
	work     time.Duration
	cold     time.Duration
	downtime time.Duration
}

func targetsCommand() *ffcli.Command {
	var t targetsSettings
	flags := flag.NewFlagSet("standin targets", flag.ContinueOnError)
	flags.StringVar(&t.name, "name", "target", "prefix of the targets' names")
	flags.IntVar(&t.count, "count", 1, "how many targets, 1 to 1000")
	flags.StringVar(&t.ip, "ip", "127.0.0.1", "IP address of the targets")
	flags.IntVar(&t.port, "port", 0, "port of the first target, the others follow; 0 uses free ports")
	flags.StringVar(&t.admin, "admin", "127.0.0.1:0", "admin address for faults, IP:port")
	flags.IntVar(&t.slots, "slots", 6, "how many requests a target executes at the same time")
	flags.IntVar(&t.queue, "queue", -1, "how many more may wait; -1 means as many as slots")
	flags.DurationVar(&t.work, "work", 2*time.Millisecond, "how long the execution of a request takes")
	flags.DurationVar(&t.cold, "cold", 0, "warm-up time of a target after its start")
	flags.DurationVar(&t.downtime, "downtime", time.Second, "how long a crashed target refuses connections")
	return &ffcli.Command{
		Name:      "targets",
		ShortHelp: "Servers that process requests and whose faults can be set.",
		LongHelp: "Faults: PUT /targets/NAME/faults {\"GrayFraction\", \"Hang\", \"SlowFactor\", \"Truncate\":\"length|chunk\", \"Cross\",\n" +
			"\"Death\":\"before|during|after\", \"Shed\", \"Drain\", \"Unhealthy\"}, POST /targets/NAME/crash, GET /targets,\n" +
			"GET /executions, PUT /keys on the admin address.",
		FlagSet: flags,
		Exec: flagsOnly(func(ctx context.Context) error {
			return serveTargets(ctx, t)
		}),
	}
}

func serveTargets(ctx context.Context, t targetsSettings) error {
	if t.count < 1 || t.count > maximumTargets || t.slots < 1 {
		return errors.Wrapf(errUsage, "-count %d (1 to %d), -slots %d (1 at least)", t.count, maximumTargets, t.slots)
	}
	line := ready{
		Kind: "targets",
	}
	var targets []*standin.TargetServer
	for i := range t.count {
		port := t.port
		if port != 0 {
			port += i
		}
		server, err := startTarget(t, i, port)
		if err != nil {
			return err
		}
		defer server.Close()
		targets = append(targets, server)
		line.Targets = append(line.Targets, readyTarget{
			Name:    server.Name(),
			Address: server.Address(),
		})
	}
	s := newServers()
	defer s.close()
	var err error
	line.AdminAddress, err = s.add(t.admin, standin.TargetsAdmin(targets))
	if err != nil {
		return err
	}
	if err := line.print(); err != nil {
		return err
	}
	return s.wait(ctx)
}

func startTarget(t targetsSettings, i, port int) (*standin.TargetServer, error) {
	return standin.ServeTarget(
		fmt.Sprintf("%s-%d", t.name, i+1),
		net.JoinHostPort(t.ip, fmt.Sprint(port)),
		t.downtime,
		standin.TargetSlots(t.slots),
		standin.TargetQueue(t.queue),
		standin.TargetWorkTime(t.work),
		standin.TargetWarmUpTime(t.cold),
		standin.TargetSeed(uint64(i)+1),
	)
}
