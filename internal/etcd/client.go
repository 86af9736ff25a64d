package etcd

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/answercheck"
	"dandelionmux/pkg/store"
)

// Defaults and bounds of a Client.
const (
	defaultTimeout          = 2 * time.Second
	defaultWatchIdleTimeout = 20 * time.Second
	// maxResponseBytes is the maximum size of one response, in bytes. A value
	// has up to a megabyte and grows by a third in base64.
	maxResponseBytes = 16 << 20
	// keysPerPage is the number of keys on one page of a list.
	keysPerPage = 256
	// maxPages is the maximum number of pages of one list.
	maxPages = 256
)

// ErrEndpoint reports that an endpoint's URL is missing or invalid.
var ErrEndpoint = errors.New("bad store endpoint")

// Client accesses the store through one or more endpoints. It implements
// store.Client and is safe for concurrent use.
type Client struct {
	endpoints        []string
	http             *http.Client
	timeout          time.Duration
	watchIdleTimeout time.Duration
	// lastUsedEndpoint is the index of the endpoint that answered last. It is
	// tried first.
	lastUsedEndpoint atomic.Int64
}

// Option configures a Client.
type Option func(*Client)

// Timeout sets the time limit of each attempt of a call other than a watch;
// 2 s by default.
func Timeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WatchIdleTimeout sets how long a watch waits for a change. After that it checks
// that the store is reachable and returns no changes; 20 s by default.
func WatchIdleTimeout(d time.Duration) Option {
	return func(c *Client) { c.watchIdleTimeout = d }
}

// Transport sets the HTTP transport.
func Transport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// New returns a Client for endpoints such as "http://10.0.0.9:2379". It doesn't
// connect yet. The error wraps ErrEndpoint.
func New(endpoints []string, options ...Option) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, errors.Wrap(ErrEndpoint, "none given")
	}
	c := &Client{
		http: &http.Client{
			Transport:     newTransport(),
			CheckRedirect: refuseRedirect,
		},
		timeout:          defaultTimeout,
		watchIdleTimeout: defaultWatchIdleTimeout,
	}
	for _, e := range endpoints {
		u, err := url.Parse(e)
		if err != nil || u.Scheme == "" || u.Host == "" {
			return nil, errors.Wrapf(ErrEndpoint, "%q is not a URL such as http://10.0.0.9:2379", e)
		}
		c.endpoints = append(c.endpoints, strings.TrimRight(e, "/"))
	}
	for _, o := range options {
		o(c)
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do executes one call. Errors wrap store.ErrUnavailable or
// store.ErrOutcomeUnknown.
func (c *Client) Do(ctx context.Context, call store.Call) (store.Answer, error) {
	switch k := call.(type) {
	case store.Get:
		return c.get(ctx, k)
	case store.List:
		return c.list(ctx, k)
	case store.Swap:
		return c.swap(ctx, k)
	case store.Delete:
		return c.deleteKey(ctx, k)
	case store.GrantLease:
		return c.grant(ctx, k)
	case store.RenewLease:
		return c.renew(ctx, k)
	case store.RevokeLease:
		return c.revoke(ctx, k)
	case store.Watch:
		return c.watch(ctx, k)
	}
	return nil, errors.Wrapf(store.ErrUnavailable, "no such call: %T", call)
}

// newTransport returns a transport that limits the time and memory that a
// hanging or flooding store can take.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: time.Second,
	}
	t := answercheck.NewTransport(dialer.DialContext)
	t.MaxIdleConnsPerHost = 8
	t.IdleConnTimeout = time.Minute
	return t
}

// refuseRedirect stops the HTTP client from following redirects, which would
// send a write twice.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
