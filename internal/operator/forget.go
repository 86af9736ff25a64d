package operator

import (
	"context"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

// DeadPrefix is the prefix of the keys by which operators declare instances
// dead. The rest of the key is the instance's address. The value is the highest
// dead incarnation, in decimal.
const DeadPrefix = "dead/"

// DecodeDead decodes an entry under DeadPrefix into the dead instance's ID.
// The error wraps ErrDocument.
func DecodeDead(entry store.Entry) (instance.ID, error) {
	address, ok := strings.CutPrefix(entry.Key, DeadPrefix)
	incarnation, err := strconv.ParseUint(string(entry.Value), 10, 64)
	if !ok || address == "" || err != nil {
		return instance.ID{}, errors.Wrapf(ErrDocument, "key %s with value %q doesn't declare an instance dead", entry.Key, entry.Value)
	}
	return instance.ID{
		Address:     instance.Address(address),
		Incarnation: incarnation,
	}, nil
}

// DeclareDead records in the store that an incarnation of an instance, and all
// earlier ones at its address, are dead: they don't run, and won't resume after
// a pause. Operators use it to reclaim the shares of dead instances if the
// instances that could have confirmed the deaths died too. Errors wrap ErrStore,
// ErrUndecided if the answer to the last write is lost.
func (e *Editor) DeclareDead(ctx context.Context, id instance.ID) error {
	key := DeadPrefix + string(id.Address)
	var last error
	for range writeAttempts {
		entry, err := e.get(ctx, key)
		if err != nil {
			return err
		}
		if declared, err := strconv.ParseUint(string(entry.Value), 10, 64); err == nil && declared >= id.Incarnation {
			return nil
		}
		answer, err := e.client.Do(ctx, store.Swap{
			Key:      key,
			Value:    strconv.AppendUint(nil, id.Incarnation, 10),
			Expected: entry.Version,
		})
		if swapped, ok := answer.(store.Swapped); ok && err == nil && swapped.Done {
			return nil
		}
		last = err
		if err != nil && !e.pauseBeforeRetry(ctx) {
			break
		}
	}
	if errors.Is(last, store.ErrOutcomeUnknown) {
		return errors.Wrapf(ErrUndecided, "write %s: %v", key, last)
	}
	return errors.Wrapf(ErrStore, "write %s: %v", key, last)
}
