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

	"dandelionmux/pkg/store"
)

// Defaults and bounds of a Client.
const (
	defaultTimeout      = 2 * time.Second
	defaultWatchSilence = 20 * time.Second
	// maximumAnswer bounds one answer, in bytes. A value holds up to a megabyte
	// and grows by a third in base64.
	maximumAnswer = 16 << 20
	// pageKeys is how many keys one page of a list holds.
	pageKeys = 256
	// maximumPages bounds one list.
	maximumPages = 256
)

// ErrEndpoint says that an endpoint's URL can't be used.
var ErrEndpoint = errors.New("bad store endpoint")

// Client speaks to the store through one or more endpoints. It implements
// store.Client.
type Client struct {
	endpoints []string
	http      *http.Client
	timeout   time.Duration
	silence   time.Duration
	// preferred is the index of the endpoint that answered last.
	preferred atomic.Int64
}

// Option changes a Client under construction.
type Option func(*Client)

// Timeout bounds each attempt of a call other than a watch; 2 s by default.
func Timeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WatchIdleTimeout is how long a watch waits for a change before it makes sure
// that the store is still there and returns no changes; 20 s by default.
func WatchIdleTimeout(d time.Duration) Option {
	return func(c *Client) { c.silence = d }
}

// Transport replaces the HTTP transport.
func Transport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// New makes a Client for endpoints such as "http://10.0.0.9:2379". It opens no
// connection yet. The error wraps ErrEndpoint.
func New(endpoints []string, options ...Option) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, errors.Wrap(ErrEndpoint, "none given")
	}
	c := &Client{
		http: &http.Client{
			Transport:     newTransport(),
			CheckRedirect: refuseRedirect,
		},
		timeout: defaultTimeout,
		silence: defaultWatchSilence,
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

// Do carries out one call.
func (c *Client) Do(ctx context.Context, call store.Call) (store.Answer, error) {
	switch k := call.(type) {
	case store.Get:
		return c.get(ctx, k)
	case store.List:
		return c.list(ctx, k)
	case store.Swap:
		return c.swap(ctx, k)
	case store.Delete:
		return c.remove(ctx, k)
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

// newTransport bounds what a store that hangs or floods may cost.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: time.Second,
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    8,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// refuseRedirect keeps a write from being sent twice.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
