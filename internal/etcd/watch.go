package etcd

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/store"
)

// watch waits for the first batch of changes. A watch without events doesn't
// show that the store is reachable. After the idle timeout, watch therefore
// reads a key, and returns no changes and the same counter if that succeeds.
func (c *Client) watch(ctx context.Context, call store.Watch) (store.Answer, error) {
	watchCtx, cancel := context.WithTimeout(ctx, c.idleTimeout(ctx))
	defer cancel()
	changes, err := c.awaitChanges(watchCtx, call)
	if err == nil {
		return changes, nil
	}
	if ctx.Err() != nil || watchCtx.Err() == nil {
		return nil, err
	}
	request := RangeRequest{
		Key:       []byte(call.Prefix),
		CountOnly: true,
	}
	if call.Prefix == "" {
		request.Key = []byte{0}
	}
	var response RangeResponse
	if err := c.post(ctx, PathRange, request, &response, readOnly); err != nil {
		return nil, err
	}
	return store.Changes{
		Counter: call.After,
	}, nil
}

// idleTimeout returns how long to wait for changes. It leaves a quarter of the
// context's remaining time for the read that follows.
func (c *Client) idleTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.watchIdleTimeout
	}
	return min(c.watchIdleTimeout, time.Until(deadline)*3/4)
}

func (c *Client) awaitChanges(ctx context.Context, call store.Watch) (store.Answer, error) {
	request := WatchRequest{
		CreateRequest: &WatchCreateRequest{
			Key:           []byte(call.Prefix),
			RangeEnd:      PrefixEnd(call.Prefix),
			StartRevision: call.After + 1,
		},
	}
	if call.Prefix == "" {
		request.CreateRequest.Key = []byte{0}
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrapf(store.ErrUnavailable, "encode: %v", err)
	}
	first := c.lastUsedEndpoint.Load()
	for i := range int64(len(c.endpoints)) {
		at := (first + i) % int64(len(c.endpoints))
		var changes store.Changes
		changes, err = c.watchEndpoint(ctx, c.endpoints[at]+PathWatch, body)
		if err == nil {
			c.lastUsedEndpoint.Store(at)
			return changes, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// watchEndpoint reads frames from one endpoint until a frame contains changes
// or ends the watch.
func (c *Client) watchEndpoint(ctx context.Context, url string, body []byte) (store.Changes, error) {
	answer, err := c.send(ctx, url, body, readOnly)
	if err != nil {
		return store.Changes{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(answer.Body, maxResponseBytes))
	for {
		var frame WatchFrame
		if err := decoder.Decode(&frame); err != nil {
			return store.Changes{}, callError(readOnly, "watch: %v", err)
		}
		if frame.Error != nil {
			return store.Changes{}, callError(readOnly, "watch: %s", frame.Error.Message)
		}
		if frame.Result == nil {
			continue
		}
		changes, ended, err := decodeChanges(frame.Result)
		if ended || err != nil {
			return changes, err
		}
	}
}

// decodeChanges decodes one message of a watch. Ended is false if the watch
// has to go on.
func decodeChanges(r *WatchResponse) (changes store.Changes, ended bool, err error) {
	if r.CompactRevision != 0 {
		return store.Changes{
			Counter:   headerCounter(r.Header),
			Compacted: true,
		}, true, nil
	}
	if r.Canceled {
		return store.Changes{}, true, callError(readOnly, "watch cancelled: %s", r.CancelReason)
	}
	if len(r.Events) == 0 {
		return store.Changes{}, false, nil
	}
	for _, e := range r.Events {
		if e.Kv == nil {
			continue
		}
		entry := decodeEntry(*e.Kv)
		changes.Counter = max(changes.Counter, e.Kv.ModRevision)
		if e.Type == TypeDelete {
			entry = store.Entry{
				Key: entry.Key,
			}
		}
		changes.Entries = append(changes.Entries, entry)
	}
	return changes, true, nil
}
