package operator

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/store"
)

const (
	// claimPrefix is the prefix of the keys of claims on parts.
	claimPrefix = "document/claim/"
	// claimTerm is the term of a claim's lease, after which the claim of a dead
	// writer lapses.
	claimTerm = 2 * time.Minute
	// writeAttempts is the maximum number of attempts at an idempotent write.
	writeAttempts = 5
)

// claim lists the parts that a writer needs, so that no other writer removes
// them before its head references them. It lapses with its lease.
type claim struct {
	key       string
	lease     store.LeaseID
	startedAt time.Time
	digests   []revision.Digest
}

// claimParts writes a claim on parts. Without parts it writes nothing and
// returns a claim without a key.
func (e *Editor) claimParts(ctx context.Context, nonce []byte, digests []revision.Digest) (claim, error) {
	if len(digests) == 0 {
		return claim{}, nil
	}
	c := claim{
		key:       claimPrefix + hex.EncodeToString(nonce),
		startedAt: e.clock(),
		digests:   digests,
	}
	var err error
	if c.lease, err = e.grantLease(ctx); err != nil {
		return claim{}, err
	}
	texts := make([]string, len(digests))
	for i, d := range digests {
		texts[i] = d.String()
	}
	content, err := json.Marshal(texts)
	if err != nil {
		return claim{}, errors.Wrapf(ErrStore, "claim: %v", err)
	}
	return c, e.ensureWrittenWithLease(ctx, c.key, content, c.lease)
}

// releaseClaim removes a claim by revoking its lease.
func (e *Editor) releaseClaim(ctx context.Context, c claim) {
	if c.key == "" {
		return
	}
	_, _ = e.client.Do(ctx, store.RevokeLease{
		Lease: c.lease,
	})
}

// grantLease obtains a lease. If the answer is lost, the granted lease lapses
// unused.
func (e *Editor) grantLease(ctx context.Context) (store.LeaseID, error) {
	var last error
	for range readAttempts {
		answer, err := e.client.Do(ctx, store.GrantLease{
			Term: claimTerm,
		})
		if leased, ok := answer.(store.Leased); ok && err == nil {
			return leased.Lease, nil
		}
		last = err
		if !e.pauseBeforeRetry(ctx) {
			break
		}
	}
	return 0, errors.Wrapf(ErrStore, "lease: %v", last)
}

// ensureWritten writes a key whose value never changes, even if it exists
// already. The write raises the key's version, so that a removal that expects
// an older version fails.
func (e *Editor) ensureWritten(ctx context.Context, key string, value []byte) error {
	return e.ensureWrittenWithLease(ctx, key, value, 0)
}

func (e *Editor) ensureWrittenWithLease(ctx context.Context, key string, value []byte, lease store.LeaseID) error {
	var last error
	for range writeAttempts {
		entry, err := e.get(ctx, key)
		if err != nil {
			return err
		}
		if entry.Version != 0 && !bytes.Equal(entry.Value, value) {
			return errors.Wrapf(ErrDocument, "key %s has other content", key)
		}
		answer, err := e.client.Do(ctx, store.Swap{
			Key:      key,
			Value:    value,
			Expected: entry.Version,
			Lease:    lease,
		})
		if swapped, ok := answer.(store.Swapped); ok && err == nil && swapped.Done {
			return nil
		}
		last = err
		if err != nil && !e.pauseBeforeRetry(ctx) {
			break
		}
	}
	return errors.Wrapf(ErrStore, "write %s: %v", key, last)
}
