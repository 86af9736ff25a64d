package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Figures of the case, from the pages.
const (
	// maxFiles is what max_fds of a machine, 4,100, leaves for sockets, and a few files.
	maxFiles = 3900 + 20
	// requestsPerSecond is what the requesters of rewa-press send together.
	requestsPerSecond = 86.4
	// loadTime is for how long they send.
	loadTime = 66 * time.Second
	// idleLimit is idle_timeout_ms of the configuration.
	idleLimit = 15 * time.Second
	// unsafeTimeout and unsafeDeadline are those of tanker-booking, safeTimeout and safeDeadline
	// those of intake-tally.
	unsafeTimeout  = 4 * time.Second
	unsafeDeadline = 8 * time.Second
	safeTimeout    = 3 * time.Second
	safeDeadline   = 6 * time.Second
	// unreadTerm is when a requester abandons an idempotent request that hasn't been read.
	unreadTerm = time.Second
	// lateTerm is how long after its route's time-out a request may be answered, and minLate the
	// number of later ones that breaks the rule.
	lateTerm = 500 * time.Millisecond
	minLate  = 8
)

// tally counts the requests that can't be repeated.
type tally struct {
	mu sync.Mutex
	// sent, and of these unanswered at the route's time-out, and late: still so half a second later.
	sent, unanswered, late int
}

func (t *tally) add(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if took >= unsafeTimeout {
		t.unanswered++
	}
	if took >= unsafeTimeout+lateTerm {
		t.late++
	}
}

// descriptors: one machine is left, and its requesters stay idle on the connections that they have
// opened.
func descriptors(r *run) (string, error) {
	store, err := startStore("127.0.0.9:0")
	if err != nil {
		return "", err
	}
	store.put("op/config", configuration(7, []route{
		{"r-tally", "tally.example", "/tally/", "safe", "intake-ledger", int(safeTimeout.Milliseconds()), 2, false},
		{"r-booking", "booking.example", "/booking/", "unsafe", "dispatch-desk", int(unsafeTimeout.Milliseconds()), 2, false},
	}, []string{"intake-ledger", "dispatch-desk"}, []tenant{{"growers", []string{"key-1"}, 0, 0}}))
	for i := range 12 {
		service := []string{"intake-ledger", "dispatch-desk"}[i%2]
		if _, err := startServer(r, store, fmt.Sprintf("i-%02d", i), service, zones[i%3], 20*time.Millisecond); err != nil {
			return "", err
		}
	}
	p, err := freePorts("127.0.0.1")
	if err != nil {
		return "", err
	}
	m, err := newMachine(r.folder, "edge-1", "127.0.0.1", zones[0], p, store.address())
	if err != nil {
		return "", err
	}
	if err := m.start(); err != nil {
		return "", err
	}
	defer m.kill()
	if err := limitFiles(m.command.Process.Pid, maxFiles); err != nil {
		return "", err
	}
	if err := m.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	counts := &tally{}
	sendLoad(r, m, counts)
	if m.hasExited() {
		return "", fmt.Errorf("%s has ended", m.name)
	}
	r.note("%d unsafe requests were sent, %d unanswered at their route's timeout_ms, %d of these %s later", counts.sent, counts.unanswered, counts.late, lateTerm)
	if counts.late >= minLate && counts.late*2 > counts.unanswered {
		return fmt.Sprintf("CONFIG: %d of %d unsafe requests that were unanswered at their route's timeout_ms had no answer half a second later", counts.late, counts.unanswered), nil
	}
	return "", nil
}

// limitFiles sets the number of descriptors that a process may have.
func limitFiles(pid int, number uint64) error {
	limit := syscall.Rlimit{
		Cur: number,
		Max: number,
	}
	_, _, code := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if code != 0 {
		return code
	}
	return nil
}

// sendLoad sends requests, each on a connection of its own, and returns once the last has ended.
func sendLoad(r *run, m *machine, counts *tally) {
	over := make(chan struct{})
	go watchMachine(r, m, over)
	var requests sync.WaitGroup
	began := time.Now()
	for i := 0; ; i++ {
		due := time.Duration(float64(i) / requestsPerSecond * float64(time.Second))
		if due > loadTime {
			break
		}
		time.Sleep(time.Until(began.Add(due)))
		requests.Go(func() { sendOne(r, m, i, counts, over) })
	}
	time.Sleep(unsafeDeadline)
	close(over)
	requests.Wait()
}

// watchMachine asks each second whether the machine is ready, as the platform does.
func watchMachine(r *run, m *machine, over chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Second):
		}
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.command.Process.Pid))
		if err == nil {
			r.note("ready: %t, descriptors: %d", m.isReady(), len(files))
		}
	}
}

// sendOne sends a request on a new connection, and stays on that: until the machine closes it or,
// without the disruption, for four fifths of the configured limit.
func sendOne(r *run, m *machine, number int, counts *tally, over chan struct{}) {
	id := fmt.Sprintf("%016x", number)
	isUnsafe := number%2 == 0
	began := time.Now()
	c, err := net.DialTimeout("tcp4", m.entry(), time.Second)
	if err != nil {
		r.note("request %s: no connection: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }()
	text := fmt.Sprintf("GET /tally/%s HTTP/1.1\r\nHost: tally.example\r\nDandelionmux-Request-Id: %s\r\nDandelionmux-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n\r\n", id, id, safeDeadline.Milliseconds())
	wait := unreadTerm
	if isUnsafe {
		text = fmt.Sprintf("POST /booking/%s HTTP/1.1\r\nHost: booking.example\r\nDandelionmux-Request-Id: %s\r\nDandelionmux-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nload", id, id, unsafeDeadline.Milliseconds())
		wait = unsafeDeadline
	}
	_ = c.SetDeadline(began.Add(wait))
	line, _, _ := strings.Cut(text, "\r\n")
	r.note("request %s is sent: %s", id, line)
	_, _ = io.WriteString(c, text)
	in := bufio.NewReader(c)
	outcome := receive(in)
	took := time.Since(began)
	if isUnsafe {
		counts.add(took)
	}
	r.note("request %s: %s after %d ms", id, outcome, took.Milliseconds())
	if outcome != "200" {
		return
	}
	stay(r, c, over)
}

// receive reads an answer and returns its status, or that there was none.
func receive(in *bufio.Reader) string {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return "no answer (" + err.Error() + ")"
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "incomplete"
	}
	return fmt.Sprint(response.StatusCode)
}

// stay keeps an idle connection open.
func stay(r *run, c net.Conn, over chan struct{}) {
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-over:
			_ = c.SetDeadline(time.Now())
		case <-ended:
		}
	}()
	limit := time.Time{}
	if !r.trouble {
		limit = time.Now().Add(idleLimit * 4 / 5)
	}
	_ = c.SetDeadline(limit)
	_, _ = c.Read(make([]byte, 1))
}
