package list

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"dandelionmux/pkg/instance"
)

// ErrUnavailable says that the list could not be had.
var ErrUnavailable = errors.New("instance list unavailable")

// ErrMalformed says that a list's content is not in its form.
var ErrMalformed = errors.New("bad instance list")

// maximumEntries bounds a list.
const maximumEntries = 10_000

// Values of an entry's state on the wire.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// Entry is one instance in the list.
type Entry struct {
	instance.Info
	// EntryAddress is where the instance serves callers, "IP:port".
	EntryAddress string
}

// wireList and wireEntry are the list's form.
type wireList struct {
	Instances []wireEntry
}

type wireEntry struct {
	Address      string
	EntryAddress string
	Zone         string
	Region       string
	Incarnation  uint64
	State        string
}

// Encode writes a list in its form.
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

// Decode reads a list in its form. Errors wrap ErrMalformed.
func Decode(content []byte) ([]Entry, error) {
	var wire wireList
	if err := json.Unmarshal(content, &wire); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(wire.Instances) > maximumEntries {
		return nil, errors.Wrapf(ErrMalformed, "over %d entries", maximumEntries)
	}
	entries := make([]Entry, len(wire.Instances))
	for i, w := range wire.Instances {
		e, err := fromWire(w)
		if err != nil {
			return nil, err
		}
		entries[i] = e
	}
	return entries, nil
}

// EncodeEntry writes one entry, as registration takes it.
func EncodeEntry(e Entry) ([]byte, error) {
	content, err := json.Marshal(toWire(e))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return content, nil
}

// DecodeEntry reads one entry. Errors wrap ErrMalformed.
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
	if w.Address == "" {
		return Entry{}, errors.Wrap(ErrMalformed, "an instance without an address")
	}
	if w.State != stateLive && w.State != stateLeaving {
		return Entry{}, errors.Wrapf(ErrMalformed, "instance %s: state %q is neither live nor leaving", w.Address, w.State)
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
