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

	"dandelionmux/internal/answercheck"
	"dandelionmux/pkg/store"
)

// accessMode tells whether a call may change the store.
type accessMode int

const (
	readOnly accessMode = iota
	mayWrite
)

// refusal is an error with which the store itself rejected a call, without
// executing it.
type refusal struct {
	code    int
	message string
}

func (r *refusal) Error() string {
	return fmt.Sprintf("the store rejected the call: %s (code %d)", r.message, r.code)
}

// Unwrap makes errors.Is match a refusal with store.ErrUnavailable.
func (*refusal) Unwrap() error { return store.ErrUnavailable }

// post sends a call to the endpoints in turn, starting with the one that
// answered last. It tries the next endpoint only if the call certainly had no
// effect.
func (c *Client) post(ctx context.Context, path string, request, response any, mode accessMode) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrapf(store.ErrUnavailable, "encode: %v", err)
	}
	first := c.lastUsedEndpoint.Load()
	err = errors.Wrap(store.ErrUnavailable, "no endpoint tried")
	for i := range int64(len(c.endpoints)) {
		if ctx.Err() != nil {
			return err
		}
		at := (first + i) % int64(len(c.endpoints))
		err = c.attempt(ctx, c.endpoints[at]+path, body, response, mode)
		if err == nil {
			c.lastUsedEndpoint.Store(at)
			return nil
		}
		var refused *refusal
		if errors.As(err, &refused) || errors.Is(err, store.ErrOutcomeUnknown) {
			return err
		}
	}
	return err
}

// attempt sends the call to one endpoint and decodes the whole response.
func (c *Client) attempt(ctx context.Context, url string, body []byte, response any, mode accessMode) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	answer, err := c.send(ctx, url, body, mode)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := answercheck.ReadBody(answer.Body, maxResponseBytes)
	if err != nil {
		return callError(mode, "read: %v", err)
	}
	// The response to a renewal is a stream, of which the first frame counts.
	if err := json.NewDecoder(bytes.NewReader(content)).Decode(response); err != nil {
		return callError(mode, "decode: %v", err)
	}
	return nil
}

// send sends a request and returns a response with status 200, whose body the
// caller has to close.
func (c *Client) send(ctx context.Context, url string, body []byte, mode accessMode) (*http.Response, error) {
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
		return nil, callError(mode, "send: %v", err)
	}
	if answer.StatusCode != http.StatusOK {
		defer func() { _ = answer.Body.Close() }()
		return nil, responseError(answer, mode)
	}
	return answer, nil
}

// responseError returns the error for a response with a status other than 200.
// Some codes say that the store didn't execute the call. With all others the
// outcome of a write is unknown.
func responseError(answer *http.Response, mode accessMode) error {
	var response ErrorResponse
	content, _ := io.ReadAll(io.LimitReader(answer.Body, 64<<10))
	if err := json.Unmarshal(content, &response); err != nil {
		return callError(mode, "status %d", answer.StatusCode)
	}
	switch response.Code {
	case CodeInvalidArgument, CodeNotFound, CodePermissionDenied, CodeOutOfRange, CodeUnimplemented, CodeUnauthenticated:
		return &refusal{
			code:    response.Code,
			message: response.Message,
		}
	}
	return callError(mode, "status %d: %s", answer.StatusCode, response.Message)
}

// callError returns the error for a failed call that the store may have
// received: ErrUnavailable for a read, which has no effect, and
// ErrOutcomeUnknown for a write.
func callError(mode accessMode, format string, arguments ...any) error {
	if mode == readOnly {
		return errors.Wrapf(store.ErrUnavailable, format, arguments...)
	}
	return errors.Wrapf(store.ErrOutcomeUnknown, format, arguments...)
}
