package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is a requester's attempt and its answer.
type request struct {
	id     string
	key    string
	method string
	path   string
	body   string
	// deadline is the time budget.
	deadline time.Duration
	node     *node
	sentAt   time.Time
	// status is that of the answer, or zero if the connection ended without one.
	status     int
	answeredAt time.Time
	failure    string
	content    string
}

// hostName is the host of all routes.
const hostName = "jepu9.example"

// caller sends requests and remembers them.
type caller struct {
	lab      *lab
	mu       sync.Mutex
	requests []*request
	group    sync.WaitGroup
	// transports holds one pool of connections for each machine.
	transports map[*node]*http.Transport
}

func newCaller(l *lab) *caller {
	c := &caller{
		lab:        l,
		transports: map[*node]*http.Transport{},
	}
	for _, n := range l.nodes {
		c.transports[n] = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     12 * time.Second,
		}
	}
	return c
}

// send sends a request to a machine, and waits for the answer.
func (c *caller) send(n *node, q *request) {
	q.id, q.node = c.lab.newID(), n
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	var body io.Reader
	if q.body != "" {
		body = strings.NewReader(q.body)
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.entry+q.path, body)
	if err != nil {
		cannotRun(err.Error())
	}
	r.Host = hostName
	r.Header.Set("Dandelionmux-Request-Id", q.id)
	r.Header.Set("Dandelionmux-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+q.key)
	// Without GetBody the client doesn't send the request twice by itself.
	r.GetBody = nil
	q.sentAt = time.Now()
	c.mu.Lock()
	c.requests = append(c.requests, q)
	c.mu.Unlock()
	response, err := c.transports[n].RoundTrip(r)
	if err != nil {
		q.failure, q.answeredAt = err.Error(), time.Now()
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	q.answeredAt = time.Now()
	if err != nil {
		q.failure = err.Error()
		return
	}
	q.status, q.content = response.StatusCode, string(content)
}

// sendAtRate sends copies of a request, a number each second for a time, to machines in rotation.
func (c *caller) sendAtRate(q request, perSecond float64, until time.Time) {
	next := time.Now()
	for next.Before(until) {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(float64(time.Second) / perSecond))
		one := q
		c.group.Go(func() { c.send(c.lab.pick(), &one) })
	}
}

// recordAll writes all requests and runs to the record.
func (c *caller) recordAll(runs []run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.requests {
		c.lab.write("sent %s %s %s at %.4f to %s; answered %d %s after %.4f", q.id, q.method, q.path,
			q.sentAt.Sub(c.lab.start).Seconds(), q.node.name, q.status, q.failure, q.answeredAt.Sub(q.sentAt).Seconds())
	}
	for _, r := range runs {
		c.lab.write("run %s %s %s at %.4f by %s for %s", r.id, r.method, r.path, r.at.Sub(c.lab.start).Seconds(), r.server, r.tenant)
	}
}

// table is a part of the configuration, encoded as columns and rows.
type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// configuration returns the content of the operator's configuration.
func configuration(version int, routes, services, tenants [][]any) map[string]any {
	return map[string]any{
		"version": versionText(version),
		"routes": table{
			Columns: []string{"name", "host", "prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "split", "max_attempts", "public", "service"},
			Rows:    routes,
		},
		"services": table{
			Columns: []string{"name", "health_path", "max_connections", "protocol", "tls"},
			Rows:    services,
		},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": table{
			Columns: []string{"name", "api_keys", "priority", "rate_per_s", "burst"},
			Rows:    tenants,
		},
	}
}

func versionText(version int) string {
	text := strconv.FormatInt(int64(version), 16)
	return strings.Repeat("0", 8-len(text)) + text
}
