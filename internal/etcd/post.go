package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/store"
)

// kind tells whether a call may change the store.
type kind int

const (
	read kind = iota
	write
)

// refusal is the store's own word that it did not carry out a call.
type refusal struct {
	code    int
	message string
}

func (r *refusal) Error() string {
	return fmt.Sprintf("the store refused: %s (code %d)", r.message, r.code)
}

// Unwrap makes a refusal a case of the port's error.
func (*refusal) Unwrap() error { return store.ErrUnavailable }

// post tries the endpoints in turn, from the one that answered last. It goes
// on to the next one only while the call certainly had no effect.
func (c *Client) post(ctx context.Context, path string, request, response any, k kind) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrapf(store.ErrUnavailable, "encode: %v", err)
	}
	first := c.preferred.Load()
	err = errors.Wrap(store.ErrUnavailable, "no endpoint tried")
	for i := range int64(len(c.endpoints)) {
		if ctx.Err() != nil {
			return err
		}
		at := (first + i) % int64(len(c.endpoints))
		err = c.attempt(ctx, c.endpoints[at]+path, body, response, k)
		if err == nil {
			c.preferred.Store(at)
			return nil
		}
		var refused *refusal
		if errors.As(err, &refused) || errors.Is(err, store.ErrOutcomeUnknown) {
			return err
		}
	}
	return err
}

// attempt sends the call to one endpoint and reads the whole answer.
func (c *Client) attempt(ctx context.Context, url string, body []byte, response any, k kind) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	answer, err := c.send(ctx, url, body, k)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maximumAnswer+1))
	if err != nil {
		return failed(k, "read: %v", err)
	}
	if len(content) > maximumAnswer {
		return failed(k, "the answer is over %d bytes", maximumAnswer)
	}
	// The renewal stream may hold more than one frame; the first is the answer.
	if err := json.NewDecoder(bytes.NewReader(content)).Decode(response); err != nil {
		return failed(k, "decode: %v", err)
	}
	return nil
}

// send returns an answer of status 200, whose body the caller closes.
func (c *Client) send(ctx context.Context, url string, body []byte, k kind) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(store.ErrUnavailable, "request: %v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return nil, errors.Wrapf(store.ErrUnavailable, "connect: %v", err)
	}
	if err != nil {
		return nil, failed(k, "send: %v", err)
	}
	if answer.StatusCode != http.StatusOK {
		defer func() { _ = answer.Body.Close() }()
		return nil, refusalOf(answer, k)
	}
	return answer, nil
}

// refusalOf sorts an answer other than 200: some codes say that the store
// never began, all others leave a write open.
func refusalOf(answer *http.Response, k kind) error {
	var response ErrorResponse
	content, _ := io.ReadAll(io.LimitReader(answer.Body, 64<<10))
	if err := json.Unmarshal(content, &response); err != nil {
		return failed(k, "status %d", answer.StatusCode)
	}
	switch response.Code {
	case CodeInvalidArgument, CodeNotFound, CodePermissionDenied, CodeOutOfRange, CodeUnimplemented, CodeUnauthenticated:
		return &refusal{
			code:    response.Code,
			message: response.Message,
		}
	}
	return failed(k, "status %d: %s", answer.StatusCode, response.Message)
}

// failed is the error of a call that the store may have seen: a read had no
// effect all the same, a write may have had.
func failed(k kind, format string, arguments ...any) error {
	if k == read {
		return errors.Wrapf(store.ErrUnavailable, format, arguments...)
	}
	return errors.Wrapf(store.ErrOutcomeUnknown, format, arguments...)
}
