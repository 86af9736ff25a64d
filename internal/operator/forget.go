package operator

import (
	"context"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/store"
)

// DeadPrefix begins the keys of the operators' word of death. The rest of the
// key is the instance's address, and the value is, in decimal, the highest
// incarnation that is dead.
const DeadPrefix = "dead/"

// DecodeDead reads one entry under DeadPrefix. The error wraps ErrDocument.
func DecodeDead(entry store.Entry) (instance.ID, error) {
	address, ok := strings.CutPrefix(entry.Key, DeadPrefix)
	incarnation, err := strconv.ParseUint(string(entry.Value), 10, 64)
	if !ok || address == "" || err != nil {
		return instance.ID{}, errors.Wrapf(ErrDocument, "key %s is no word of death", entry.Key)
	}
	return instance.ID{
		Address:     instance.Address(address),
		Incarnation: incarnation,
	}, nil
}

// DeclareDead gives the operator's word that a run of an instance, and all earlier
// ones at its address, are dead: they don't run, and will not go on after a
// pause. It is the last resort for taking back the shares of instances that
// died while those that could have vouched died too.
func (e *Editor) DeclareDead(ctx context.Context, id instance.ID) error {
	key := DeadPrefix + string(id.Address)
	var last error
	for range writeAttempts {
		entry, err := e.get(ctx, key)
		if err != nil {
			return err
		}
		if said, err := strconv.ParseUint(string(entry.Value), 10, 64); err == nil && said >= id.Incarnation {
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
		if err != nil && !e.rest(ctx) {
			break
		}
	}
	if errors.Is(last, store.ErrOutcomeUnknown) {
		return errors.Wrapf(ErrUndecided, "write %s: %v", key, last)
	}
	return errors.Wrapf(ErrStore, "write %s: %v", key, last)
}
