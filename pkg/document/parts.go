package document

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"slices"

	"github.com/go-faster/errors"
)

// Sizes of parts, in bytes.
const (
	// meanPartBytes is the mean size of a part of a large section.
	meanPartBytes = 64 << 10
	// minimumCutBytes is the size below which no entry is a cut point.
	minimumCutBytes = meanPartBytes / 4
	// forcedCutBytes is the size that a part may exceed only if it consists of a
	// single entry: before an entry that would exceed it, the part is ended
	// whatever the content.
	forcedCutBytes = 2 * meanPartBytes
	// MaximumPartBytes is the maximum size of a part. A value of the store holds
	// at most a megabyte.
	MaximumPartBytes = 900_000
)

// ErrEntryTooLarge means that an entry does not fit in a part.
var ErrEntryTooLarge = errors.New("entry too large")

// Split encodes a section as one or more parts. Each part is a JSON document with
// some of the section's entries, in their order. Equal sections have equal parts.
// Errors wrap ErrUnknownSection, ErrEntryTooLarge or ErrMalformed.
func Split(d Document, s Section) ([][]byte, error) {
	switch s {
	case Organisations:
		return splitEntries("Organisations", mapSlice(d.Organisations, toWireOrganisation))
	case Rates:
		return splitEntries("Rates", mapSlice(d.Rates, toWireRate))
	case Routes:
		return splitEntries("Routes", mapSlice(d.Routes, toWireRoute))
	case Services:
		return splitEntries("Services", mapSlice(d.Services, toWireService))
	}
	wire, err := toWireSection(d, s)
	if err != nil {
		return nil, err
	}
	content, err := json.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return [][]byte{content}, nil
}

// Join decodes the parts of a section, in their order, and returns d with that
// section. The error wraps ErrMalformed or is of type Problems.
func Join(d Document, s Section, parts [][]byte) (Document, error) {
	var joined Document
	for _, content := range parts {
		wire, err := decodeWire(content)
		if err != nil {
			return d, err
		}
		if list := wire.sections(); len(list) != 1 || list[0] != s {
			return d, errors.Wrapf(ErrMalformed, "a part of %s holds %v", s, list)
		}
		part, problems := wire.toDocument()
		if len(problems) > 0 {
			return d, Problems(problems)
		}
		joined.Organisations = append(joined.Organisations, part.Organisations...)
		joined.Rates = append(joined.Rates, part.Rates...)
		joined.Routes = append(joined.Routes, part.Routes...)
		joined.Services = append(joined.Services, part.Services...)
		joined.Policy = part.Policy
	}
	return Replace(d, s, joined), nil
}

// Assemble returns the document that consists of the parts of its sections. A
// section without parts is empty, except for Policy, which is DefaultPolicy then.
// Errors wrap ErrUnknownSection or are those of Join.
func Assemble(revision uint64, parts map[Section][][]byte) (Document, error) {
	d := Document{
		Revision: revision,
		Policy:   DefaultPolicy(),
	}
	for s := range parts {
		if !slices.Contains(Sections, s) {
			return Document{}, errors.Wrapf(ErrUnknownSection, "%q is none of %v", s, Sections)
		}
	}
	for _, s := range Sections {
		if len(parts[s]) == 0 {
			continue
		}
		var err error
		if d, err = Join(d, s, parts[s]); err != nil {
			return Document{}, errors.Wrapf(err, "section %s", s)
		}
	}
	return d, nil
}

// partWriter collects encoded entries into the parts of a section.
type partWriter struct {
	section string
	parts   [][]byte
	current bytes.Buffer
}

// splitEntries encodes entries and divides them into parts.
func splitEntries[W any](section string, entries []W) ([][]byte, error) {
	w := partWriter{
		section: section,
	}
	w.beginPart()
	for _, e := range entries {
		content, err := json.Marshal(e)
		if err != nil {
			return nil, errors.Wrap(ErrMalformed, err.Error())
		}
		if len(content) > MaximumPartBytes-forcedCutBytes {
			return nil, errors.Wrapf(ErrEntryTooLarge, "%s: %d bytes exceed the limit of %d: %s", section, len(content), MaximumPartBytes-forcedCutBytes, truncate(string(content), 80))
		}
		w.add(content)
	}
	w.endPart()
	return w.parts, nil
}

// beginPart starts a new part without entries.
func (w *partWriter) beginPart() {
	w.current.Reset()
	w.current.WriteString(`{"` + w.section + `":[`)
}

// empty reports whether the current part has no entries.
func (w *partWriter) empty() bool {
	return w.current.Bytes()[w.current.Len()-1] == '['
}

// add appends an encoded entry to the current part, or to a new one if the current
// part would become too large, and ends the part if the entry is a cut point.
func (w *partWriter) add(content []byte) {
	if !w.empty() && w.current.Len()+len(content) > forcedCutBytes {
		w.endPart()
		w.beginPart()
	}
	if !w.empty() {
		w.current.WriteByte(',')
	}
	w.current.Write(content)
	if w.current.Len() >= minimumCutBytes && isCutPoint(content) {
		w.endPart()
		w.beginPart()
	}
}

// endPart completes the current part. A part without entries is kept only if it is
// the first.
func (w *partWriter) endPart() {
	if w.empty() && len(w.parts) > 0 {
		return
	}
	w.current.WriteString("]}")
	w.parts = append(w.parts, bytes.Clone(w.current.Bytes()))
}

// isCutPoint reports whether a part ends after the entry, which depends only on a
// hash of the entry. Beyond the minimum size, parts end after meanCutDistance bytes
// on average, so that their mean size is meanPartBytes.
func isCutPoint(content []byte) bool {
	h := fnv.New64a()
	_, _ = h.Write(content)
	const meanCutDistance = meanPartBytes - minimumCutBytes
	return h.Sum64()%meanCutDistance < uint64(len(content))
}
