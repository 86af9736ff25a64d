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
	if err := c.post(ctx, PathRange, request, &response, read); err != nil {
		return nil, err
	}
	entry := store.Entry{
		Key: call.Key,
	}
	if len(response.Kvs) > 0 {
		entry = entryOf(response.Kvs[0])
	}
	return store.Value{
		Entry:   entry,
		Counter: counterOf(response.Header),
	}, nil
}

// list reads page by page, all at the counter of the first.
func (c *Client) list(ctx context.Context, call store.List) (store.Answer, error) {
	request := RangeRequest{
		Key:      []byte(call.Prefix),
		RangeEnd: PrefixEnd(call.Prefix),
		Limit:    pageKeys,
	}
	if call.Prefix == "" {
		request.Key = []byte{0}
	}
	var answer store.Entries
	for range maximumPages {
		var response RangeResponse
		if err := c.post(ctx, PathRange, request, &response, read); err != nil {
			return nil, err
		}
		for _, kv := range response.Kvs {
			answer.Entries = append(answer.Entries, entryOf(kv))
		}
		if answer.Counter == 0 {
			answer.Counter = counterOf(response.Header)
		}
		if !response.More || len(response.Kvs) == 0 {
			return answer, nil
		}
		last := response.Kvs[len(response.Kvs)-1].Key
		request.Key = append(append([]byte{}, last...), 0)
		request.Revision = answer.Counter
	}
	return nil, errors.Wrapf(store.ErrUnavailable, "more than %d keys under %q", pageKeys*maximumPages, call.Prefix)
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

func (c *Client) remove(ctx context.Context, call store.Delete) (store.Answer, error) {
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

// transact runs the step if the key's version is the expected one, and reads
// the key otherwise. If the step ran, Current.Version is the counter.
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
	if err := c.post(ctx, PathTxn, request, &response, write); err != nil {
		return store.Swapped{}, err
	}
	answer := store.Swapped{
		Done: response.Succeeded,
		Current: store.Entry{
			Key: key,
		},
	}
	if answer.Done {
		answer.Current.Version = counterOf(response.Header)
		return answer, nil
	}
	if len(response.Responses) == 0 || response.Responses[0].ResponseRange == nil {
		return store.Swapped{}, errors.Wrap(store.ErrOutcomeUnknown, "the answer lacks the key's state")
	}
	if kvs := response.Responses[0].ResponseRange.Kvs; len(kvs) > 0 {
		answer.Current = entryOf(kvs[0])
	}
	return answer, nil
}

func (c *Client) grant(ctx context.Context, call store.GrantLease) (store.Answer, error) {
	request := LeaseGrantRequest{
		TTL: int64((call.Term + time.Second - 1) / time.Second),
	}
	var response LeaseGrantResponse
	if err := c.post(ctx, PathLeaseGrant, request, &response, write); err != nil {
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
	err := c.post(ctx, PathLeaseKeepAlive, request, &frame, write)
	if lapsed(err) || (frame.Error != nil && frame.Error.Code == CodeNotFound) {
		return store.Leased{
			Lease: call.Lease,
		}, nil
	}
	if err != nil {
		return nil, err
	}
	if frame.Result == nil {
		return nil, errors.Wrap(store.ErrOutcomeUnknown, "the renewal's answer is empty")
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
	err := c.post(ctx, PathLeaseRevoke, request, &response, write)
	if err != nil && !lapsed(err) {
		return nil, err
	}
	return store.Leased{
		Lease: call.Lease,
	}, nil
}

// lapsed tells whether the store said that it knows no such lease.
func lapsed(err error) bool {
	var refused *refusal
	return errors.As(err, &refused) && refused.code == CodeNotFound
}

func entryOf(kv KeyValue) store.Entry {
	return store.Entry{
		Key:     string(kv.Key),
		Value:   kv.Value,
		Version: kv.ModRevision,
		Lease:   store.LeaseID(kv.Lease),
	}
}

func counterOf(h *Header) int64 {
	if h == nil {
		return 0
	}
	return h.Revision
}
