package etcd

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/store"
)

func (c *Client) get(ctx context.Context, call store.Get) (store.Answer, error) {
	request := RangeRequest{
		Key: []byte(call.Key),
	}
	var response RangeResponse
	if err := c.post(ctx, PathRange, request, &response, readOnly); err != nil {
		return nil, err
	}
	entry := store.Entry{
		Key: call.Key,
	}
	if len(response.Kvs) > 0 {
		entry = decodeEntry(response.Kvs[0])
	}
	return store.Value{
		Entry:   entry,
		Counter: headerCounter(response.Header),
	}, nil
}

// list reads the keys page by page, all pages at the revision of the first.
func (c *Client) list(ctx context.Context, call store.List) (store.Answer, error) {
	request := RangeRequest{
		Key:      []byte(call.Prefix),
		RangeEnd: PrefixEnd(call.Prefix),
		Limit:    keysPerPage,
	}
	if call.Prefix == "" {
		request.Key = []byte{0}
	}
	var answer store.Entries
	for range maxPages {
		var response RangeResponse
		if err := c.post(ctx, PathRange, request, &response, readOnly); err != nil {
			return nil, err
		}
		for _, kv := range response.Kvs {
			answer.Entries = append(answer.Entries, decodeEntry(kv))
		}
		if answer.Counter == 0 {
			answer.Counter = headerCounter(response.Header)
		}
		if !response.More || len(response.Kvs) == 0 {
			return answer, nil
		}
		last := response.Kvs[len(response.Kvs)-1].Key
		request.Key = append(append([]byte{}, last...), 0)
		request.Revision = answer.Counter
	}
	return nil, errors.Wrapf(store.ErrUnavailable, "more than %d keys under %q", keysPerPage*maxPages, call.Prefix)
}

func (c *Client) swap(ctx context.Context, call store.Swap) (store.Answer, error) {
	step := RequestOp{
		RequestPut: &PutRequest{
			Key:   []byte(call.Key),
			Value: call.Value,
			Lease: int64(call.Lease),
		},
	}
	answer, err := c.transact(ctx, call.Key, call.Expected, step)
	if err != nil {
		return nil, err
	}
	if answer.Done {
		answer.Current = store.Entry{
			Key:     call.Key,
			Value:   call.Value,
			Version: answer.Current.Version,
			Lease:   call.Lease,
		}
	}
	return answer, nil
}

func (c *Client) deleteKey(ctx context.Context, call store.Delete) (store.Answer, error) {
	step := RequestOp{
		RequestDeleteRange: &DeleteRangeRequest{
			Key: []byte(call.Key),
		},
	}
	answer, err := c.transact(ctx, call.Key, call.Expected, step)
	if err != nil {
		return nil, err
	}
	if answer.Done {
		answer.Current = store.Entry{
			Key: call.Key,
		}
	}
	return answer, nil
}

// transact executes the step if the key has the expected version, and reads
// the key otherwise. If the step was executed, Current.Version is the store's
// counter.
func (c *Client) transact(ctx context.Context, key string, expected int64, step RequestOp) (store.Swapped, error) {
	request := TxnRequest{
		Compare: []Compare{{
			Result:      ResultEqual,
			Target:      TargetMod,
			Key:         []byte(key),
			ModRevision: expected,
		}},
		Success: []RequestOp{step},
		Failure: []RequestOp{{
			RequestRange: &RangeRequest{
				Key: []byte(key),
			},
		}},
	}
	var response TxnResponse
	if err := c.post(ctx, PathTxn, request, &response, mayWrite); err != nil {
		return store.Swapped{}, err
	}
	answer := store.Swapped{
		Done: response.Succeeded,
		Current: store.Entry{
			Key: key,
		},
	}
	if answer.Done {
		answer.Current.Version = headerCounter(response.Header)
		return answer, nil
	}
	if len(response.Responses) == 0 || response.Responses[0].ResponseRange == nil {
		return store.Swapped{}, errors.Wrap(store.ErrOutcomeUnknown, "the response doesn't contain the key's current entry")
	}
	if kvs := response.Responses[0].ResponseRange.Kvs; len(kvs) > 0 {
		answer.Current = decodeEntry(kvs[0])
	}
	return answer, nil
}

func (c *Client) grant(ctx context.Context, call store.GrantLease) (store.Answer, error) {
	request := LeaseGrantRequest{
		TTL: int64((call.Term + time.Second - 1) / time.Second),
	}
	var response LeaseGrantResponse
	if err := c.post(ctx, PathLeaseGrant, request, &response, mayWrite); err != nil {
		return nil, err
	}
	if response.Error != "" || response.ID == 0 {
		return nil, errors.Wrapf(store.ErrOutcomeUnknown, "no lease granted: %q", response.Error)
	}
	return store.Leased{
		Lease: store.LeaseID(response.ID),
		Term:  time.Duration(response.TTL) * time.Second,
	}, nil
}

func (c *Client) renew(ctx context.Context, call store.RenewLease) (store.Answer, error) {
	request := LeaseRequest{
		ID: int64(call.Lease),
	}
	var frame LeaseKeepAliveFrame
	err := c.post(ctx, PathLeaseKeepAlive, request, &frame, mayWrite)
	if isLeaseNotFound(err) || (frame.Error != nil && frame.Error.Code == CodeNotFound) {
		return store.Leased{
			Lease: call.Lease,
		}, nil
	}
	if err != nil {
		return nil, err
	}
	if frame.Result == nil {
		return nil, errors.Wrap(store.ErrOutcomeUnknown, "the response to the renewal has no result")
	}
	return store.Leased{
		Lease: call.Lease,
		Term:  time.Duration(frame.Result.TTL) * time.Second,
	}, nil
}

func (c *Client) revoke(ctx context.Context, call store.RevokeLease) (store.Answer, error) {
	request := LeaseRequest{
		ID: int64(call.Lease),
	}
	var response LeaseRevokeResponse
	err := c.post(ctx, PathLeaseRevoke, request, &response, mayWrite)
	if err != nil && !isLeaseNotFound(err) {
		return nil, err
	}
	return store.Leased{
		Lease: call.Lease,
	}, nil
}

// isLeaseNotFound reports whether the store rejected a call because the lease
// doesn't exist.
func isLeaseNotFound(err error) bool {
	var refused *refusal
	return errors.As(err, &refused) && refused.code == CodeNotFound
}

func decodeEntry(kv KeyValue) store.Entry {
	return store.Entry{
		Key:     string(kv.Key),
		Value:   kv.Value,
		Version: kv.ModRevision,
		Lease:   store.LeaseID(kv.Lease),
	}
}

func headerCounter(h *Header) int64 {
	if h == nil {
		return 0
	}
	return h.Revision
}
