package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// lastRequest numbers the requests.
var lastRequest atomic.Int64

// call is one request.
type call struct {
	method   string
	host     string
	path     string
	key      string
	deadline time.Duration
	body     io.Reader
	length   int64
}

// result is what a requester got.
type result struct {
	id     string
	status int
	server string
	err    error
}

// newCallID returns the id of a new request.
func newCallID() string { return fmt.Sprintf("%016x", lastRequest.Add(1)) }

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableCompression:  true,
			MaxIdleConnsPerHost: 64,
		},
	}
}

// send sends a request to an instance.
func (l *lab) send(client *http.Client, p *process, c call) result {
	out := result{
		id: newCallID(),
	}
	request, err := http.NewRequest(c.method, "http://"+p.entry()+c.path, c.body)
	if err != nil {
		out.err = err
		return out
	}
	if c.length > 0 {
		request.ContentLength = c.length
	}
	request.Host = c.host
	request.Header.Set("Dandelionmux-Request-Id", out.id)
	request.Header.Set("Dandelionmux-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	l.logf("send %s to %s: %s %s%s, key %q", out.id, p.name, c.method, c.host, c.path, c.key)
	response, err := client.Do(request)
	if err != nil {
		out.err = err
		l.logf("got %s: %s", out.id, err)
		return out
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	out.status, out.err = response.StatusCode, err
	out.server, _, _ = strings.Cut(string(body), " ")
	l.logf("got %s: %d %q, error %v", out.id, out.status, strings.TrimSpace(string(body)), err)
	return out
}
