package etcd

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/store"
)

// watch waits for the first batch of changes. Silence proves nothing about
// the store, so after the silence limit a small read does: if it is answered,
// the watch returns no changes and the same counter.
func (c *Client) watch(ctx context.Context, call store.Watch) (store.Answer, error) {
	quiet, cancel := context.WithTimeout(ctx, c.patience(ctx))
	defer cancel()
	changes, err := c.awaitChanges(quiet, call)
	if err == nil {
		return changes, nil
	}
	if ctx.Err() != nil || quiet.Err() == nil {
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
	if err := c.post(ctx, PathRange, request, &response, read); err != nil {
		return nil, err
	}
	return store.Changes{
		Counter: call.After,
	}, nil
}

// patience leaves a fourth of the context's time for the read that follows.
func (c *Client) patience(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.silence
	}
	return min(c.silence, time.Until(deadline)*3/4)
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
	first := c.preferred.Load()
	for i := range int64(len(c.endpoints)) {
		at := (first + i) % int64(len(c.endpoints))
		var changes store.Changes
		changes, err = c.watchOne(ctx, c.endpoints[at]+PathWatch, body)
		if err == nil {
			c.preferred.Store(at)
			return changes, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// watchOne reads frames until one carries changes or the watch's end.
func (c *Client) watchOne(ctx context.Context, url string, body []byte) (store.Changes, error) {
	answer, err := c.send(ctx, url, body, read)
	if err != nil {
		return store.Changes{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(answer.Body, maximumAnswer))
	for {
		var frame WatchFrame
		if err := decoder.Decode(&frame); err != nil {
			return store.Changes{}, failed(read, "watch: %v", err)
		}
		if frame.Error != nil {
			return store.Changes{}, failed(read, "watch: %s", frame.Error.Message)
		}
		if frame.Result == nil {
			continue
		}
		changes, ended, err := changesOf(frame.Result)
		if ended || err != nil {
			return changes, err
		}
	}
}

// changesOf maps one message; ended is false if the watch has to go on.
func changesOf(r *WatchResponse) (changes store.Changes, ended bool, err error) {
	if r.CompactRevision != 0 {
		return store.Changes{
			Counter:   counterOf(r.Header),
			Compacted: true,
		}, true, nil
	}
	if r.Canceled {
		return store.Changes{}, true, failed(read, "watch cancelled: %s", r.CancelReason)
	}
	if len(r.Events) == 0 {
		return store.Changes{}, false, nil
	}
	for _, e := range r.Events {
		if e.Kv == nil {
			continue
		}
		entry := entryOf(*e.Kv)
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
