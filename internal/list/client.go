package list

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/instance"
)

// Bounds of a Client.
const (
	defaultTimeout = 2 * time.Second
	// maximumContent bounds a list, in bytes.
	maximumContent = 4 << 20
)

// Client reads the list, and for trials also writes it. It is safe for
// concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// Option changes a Client under construction.
type Option func(*Client)

// Timeout bounds each call; 2 s by default.
func Timeout(d time.Duration) Option {
	return func(c *Client) { c.http.Timeout = d }
}

// New makes a Client for the list at a URL. The error wraps ErrUnavailable.
func New(address string, options ...Option) (*Client, error) {
	u, err := url.Parse(address)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, errors.Wrapf(ErrUnavailable, "%q is not a URL", address)
	}
	c := &Client{
		url: address,
		http: &http.Client{
			Timeout:   defaultTimeout,
			Transport: &http.Transport{},
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

// Entries reads the list. Errors wrap ErrUnavailable or ErrMalformed.
func (c *Client) Entries(ctx context.Context) ([]Entry, error) {
	content, err := c.do(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, err
	}
	return Decode(content)
}

// Register puts an entry into the list, or replaces that of the same address.
func (c *Client) Register(ctx context.Context, e Entry) error {
	content, err := EncodeEntry(e)
	if err != nil {
		return err
	}
	_, err = c.do(ctx, http.MethodPut, c.url, content)
	return err
}

// Remove takes the entry of an address out of the list.
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
	content, err := io.ReadAll(io.LimitReader(answer.Body, maximumContent+1))
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "status %d", answer.StatusCode)
	}
	if len(content) > maximumContent {
		return nil, errors.Wrapf(ErrMalformed, "over %d bytes", maximumContent)
	}
	return content, nil
}
