package list

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/answercheck"
	"dandelionmux/pkg/instance"
)

// Bounds of a Client.
const (
	defaultTimeout = 2 * time.Second
	// maxListBytes is the maximum size of an encoded list, in bytes.
	maxListBytes = 4 << 20
)

// Client reads the list, and can change it in tests and demonstrations. It is
// safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// Option configures a Client.
type Option func(*Client)

// Timeout sets the time limit of each call; 2 s by default.
func Timeout(d time.Duration) Option {
	return func(c *Client) { c.http.Timeout = d }
}

// New returns a Client for the list at the URL address. The error wraps
// ErrUnavailable.
func New(address string, options ...Option) (*Client, error) {
	u, err := url.Parse(address)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, errors.Wrapf(ErrUnavailable, "%q is not an absolute URL", address)
	}
	c := &Client{
		url: address,
		http: &http.Client{
			Timeout:   defaultTimeout,
			Transport: answercheck.NewTransport(new(net.Dialer).DialContext),
		},
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

// Entries returns the entries of the list, and errors about those that are left out because
// they can't be that of an instance. Errors wrap ErrUnavailable or ErrMalformed.
func (c *Client) Entries(ctx context.Context) (entries []Entry, odd []error, err error) {
	content, err := c.do(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, nil, err
	}
	return Decode(content)
}

// Register adds an entry to the list, or replaces the one with the same
// address. Errors wrap ErrUnavailable or ErrMalformed.
func (c *Client) Register(ctx context.Context, e Entry) error {
	content, err := EncodeEntry(e)
	if err != nil {
		return err
	}
	_, err = c.do(ctx, http.MethodPut, c.url, content)
	return err
}

// Remove removes the entry with an address from the list. Errors wrap
// ErrUnavailable or ErrMalformed.
func (c *Client) Remove(ctx context.Context, address instance.Address) error {
	_, err := c.do(ctx, http.MethodDelete, c.url+"?Address="+url.QueryEscape(string(address)), nil)
	return err
}

func (c *Client) do(ctx context.Context, method, address string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := answercheck.ReadBody(answer.Body, maxListBytes)
	switch {
	case errors.Is(err, answercheck.ErrTooLong) && answer.StatusCode == http.StatusOK:
		return nil, errors.Wrap(ErrMalformed, err.Error())
	case err != nil:
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	case answer.StatusCode != http.StatusOK:
		return nil, errors.Wrapf(ErrUnavailable, "HTTP status %d", answer.StatusCode)
	}
	return content, nil
}
