package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of an instance, on a loopback address of its own.
const (
	entryPort     = 8782
	readyPort     = 8789
	adminPort     = 8783
	firstPeerPort = 7340
	lastPeerPort  = 7355
	metricsPort   = 9464
)

// zoneNames are the zones of the installation.
var zoneNames = []string{"ahmedabad", "surat", "vadodara"}

// lab is a small installation on loopback addresses.
type lab struct {
	program string
	folder  string
	// network is the first two bytes of all addresses.
	network string
	began   time.Time
	store   *store
	// storeAddress is the store's.
	storeAddress string
	instances    []*process
	servers      []*server

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
	closed bool
}

func newLab(recordPath, program string) (*lab, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	l := &lab{
		program: program,
		folder:  folder,
		began:   time.Now(),
		store:   newStore(),
		file:    file,
		record:  bufio.NewWriter(file),
	}
	for range 50 {
		l.network = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		listener, err := net.Listen("tcp4", l.address(200, 1, 8784))
		if err != nil {
			continue
		}
		l.storeAddress = listener.Addr().String()
		server := &http.Server{
			Handler: l.store,
		}
		go func() { _ = server.Serve(listener) }()
		return l, nil
	}
	return nil, fmt.Errorf("no free address: %w", err)
}

// address returns an address of the installation.
func (l *lab) address(third, fourth, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", l.network, third, fourth, port)
}

// notef writes a line to the record and to standard output.
func (l *lab) notef(format string, arguments ...any) {
	fmt.Printf("%7.3f "+format+"\n", append([]any{time.Since(l.began).Seconds()}, arguments...)...)
	l.logf(format, arguments...)
}

// logf writes a line to the record.
func (l *lab) logf(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		_, _ = fmt.Fprintf(l.record, "%7.3f "+format+"\n", append([]any{time.Since(l.began).Seconds()}, arguments...)...)
	}
}

// close ends all processes, and the record.
func (l *lab) close() {
	for _, p := range l.instances {
		p.end(syscall.SIGKILL)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.store.ended)
	_ = l.record.Flush()
	_ = l.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	}
}

// process is an instance of dandelionmux.
type process struct {
	lab      *lab
	name     string
	ip       string
	settings string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// limits are the limits of an instance's machine, and memory what it may use.
const memoryMB = 284

// addInstance adds an instance of a zone, which isn't started yet.
func (l *lab) addInstance(zone string) (*process, error) {
	n := len(l.instances) + 1
	p := &process{
		lab:  l,
		name: fmt.Sprintf("edge-%s-%d", zone, n),
		ip:   fmt.Sprintf("%s.1.%d", l.network, n),
	}
	zones := map[string]string{}
	for _, z := range zoneNames {
		zones[z] = "gujarat"
	}
	settings := map[string]any{
		"node":           p.name,
		"role":           "gateway",
		"machine_class":  "edge",
		"serves":         []string{"edge"},
		"ip":             p.ip,
		"zone":           zone,
		"region":         "gujarat",
		"zones":          zones,
		"listen":         map[string]string{"http": l.address(1, n, entryPort), "readiness": l.address(1, n, readyPort), "admin": l.address(1, n, adminPort)},
		"internal_ports": []int{firstPeerPort, lastPeerPort},
		"seeds":          []string{},
		"bootstrap":      true,
		"limits":         map[string]any{"cpu_share": 0.32, "cpus": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir":       nil,
		"discovery":      "platform",
		"entry":          "vip",
		"heartbeat_ms":   1500,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "health", "tenants", "quota", "platform"},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
			"drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
			"max_skew_ms": 5000, "strict_revoke": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
			"retry_min": 56, "quota_window_s": quotaWindowS, "quota_overage": quotaOverage, "quota_slack": quotaSlack,
			"recovery_s": 15, "probes_per_s": 3, "min_share": 0.7},
		"platform": map[string]any{"address": l.storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
			"history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	p.settings = filepath.Join(l.folder, p.name+".json")
	l.instances = append(l.instances, p)
	return p, os.WriteFile(p.settings, content, 0o600)
}

// entry returns the address for requesters.
func (p *process) entry() string { return fmt.Sprintf("%s:%d", p.ip, entryPort) }

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.lab.program, "platform", "-metrics-port", fmt.Sprint(metricsPort))
	command.Env = []string{"DANDELIONMUX_SETTINGS=" + p.settings, "HOME=" + p.lab.folder, "PATH=/usr/bin:/bin"}
	log, err := os.OpenFile(filepath.Join(p.lab.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exited = command, make(chan struct{})
	p.lab.notef("%s started", p.name)
	go func(exited chan struct{}) {
		err := command.Wait()
		p.lab.notef("%s ended: %v", p.name, err)
		_ = log.Close()
		close(exited)
	}(p.exited)
	return nil
}

// end sends a signal to the process, if it runs, and waits for its end, up to the time after
// which the platform kills it.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(s)
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		_ = command.Process.Kill()
		<-exited
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// ready reports whether the instance says that it is ready.
func (p *process) ready() bool {
	client := http.Client{
		Timeout: 500 * time.Millisecond,
	}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", p.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all given instances are ready.
func awaitReady(list []*process, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, p := range list {
		for !p.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startAll adds and starts instances, as many in each zone, and waits until they are ready.
func (l *lab) startAll(perZone int) error {
	for range perZone {
		for _, zone := range zoneNames {
			if _, err := l.addInstance(zone); err != nil {
				return err
			}
		}
	}
	for _, p := range l.instances {
		if err := p.start(); err != nil {
			return err
		}
	}
	return awaitReady(l.instances, 15*time.Second)
}
