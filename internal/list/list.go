package list

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/instance"
)

// ErrUnavailable reports that the list can't be read or changed.
var ErrUnavailable = errors.New("instance list unavailable")

// ErrMalformed reports that a list or an entry has invalid content.
var ErrMalformed = errors.New("bad instance list")

// maxEntries is the maximum number of entries in a list.
const maxEntries = 10_000

// Values of wireEntry.State.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// Entry is one instance in the list.
type Entry struct {
	instance.Info
	// EntryAddress is the address at which the instance serves callers,
	// "IP:port".
	EntryAddress string
}

// wireList is the JSON format of the list.
type wireList struct {
	Instances []wireEntry
}

// wireEntry is the JSON format of an entry.
type wireEntry struct {
	Address      string
	EntryAddress string
	Zone         string
	Region       string
	Incarnation  uint64
	State        string
}

// Encode encodes a list as JSON. The error wraps ErrMalformed.
func Encode(entries []Entry) ([]byte, error) {
	wire := wireList{
		Instances: make([]wireEntry, len(entries)),
	}
	for i, e := range entries {
		wire.Instances[i] = toWire(e)
	}
	content, err := json.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return content, nil
}

// Decode decodes a list from JSON. An entry that can't be that of an instance is left out and
// returned as an error among odd; the others count. Errors wrap ErrMalformed.
func Decode(content []byte) (entries []Entry, odd []error, err error) {
	var raw struct{ Instances []json.RawMessage }
	if err := json.Unmarshal(content, &raw); err != nil {
		return nil, nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(raw.Instances) > maxEntries {
		return nil, nil, errors.Wrapf(ErrMalformed, "%d entries, at most %d are allowed", len(raw.Instances), maxEntries)
	}
	entries = []Entry{}
	for _, one := range raw.Instances {
		e, err := DecodeEntry(one)
		if err != nil {
			odd = append(odd, err)
			continue
		}
		entries = append(entries, e)
	}
	return entries, odd, nil
}

// EncodeEntry encodes one entry as JSON, the body of a registration. The error
// wraps ErrMalformed.
func EncodeEntry(e Entry) ([]byte, error) {
	content, err := json.Marshal(toWire(e))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return content, nil
}

// DecodeEntry decodes one entry from JSON. The error wraps ErrMalformed.
func DecodeEntry(content []byte) (Entry, error) {
	var wire wireEntry
	if err := json.Unmarshal(content, &wire); err != nil {
		return Entry{}, errors.Wrap(ErrMalformed, err.Error())
	}
	return fromWire(wire)
}

func toWire(e Entry) wireEntry {
	state := stateLive
	if e.Leaving {
		state = stateLeaving
	}
	return wireEntry{
		Address:      string(e.Address),
		EntryAddress: e.EntryAddress,
		Zone:         e.Zone,
		Region:       e.Region,
		Incarnation:  e.Incarnation,
		State:        state,
	}
}

func fromWire(w wireEntry) (Entry, error) {
	if !instance.Address(w.Address).IsValid() {
		return Entry{}, errors.Wrapf(ErrMalformed, "address %.60q of an instance", w.Address)
	}
	if w.State != stateLive && w.State != stateLeaving {
		return Entry{}, errors.Wrapf(ErrMalformed, "instance %s: state %.60q is neither live nor leaving", w.Address, w.State)
	}
	return Entry{
		Info: instance.Info{
			ID: instance.ID{
				Address:     instance.Address(w.Address),
				Incarnation: w.Incarnation,
			},
			Zone:    w.Zone,
			Region:  w.Region,
			Leaving: w.State == stateLeaving,
		},
		EntryAddress: w.EntryAddress,
	}, nil
}
