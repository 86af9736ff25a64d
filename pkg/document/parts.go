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
	// preferredPart is the size that cuts aim at.
	preferredPart = 64 << 10
	// smallestPart is the size below which no cut is made.
	smallestPart = preferredPart / 4
	// largestPart is the size at which a cut is made wherever it falls. Only a
	// single entry may be larger.
	largestPart = 2 * preferredPart
	// MaximumPartBytes bounds a part. A store's value holds a megabyte.
	MaximumPartBytes = 900_000
)

// ErrEntryTooLarge says that an entry is too large for a part.
var ErrEntryTooLarge = errors.New("entry too large")

// Split writes a section as parts, one at least, each a document of its own
// with some of the section's entries in their order. Equal sections have equal
// parts. Errors wrap ErrUnknownSection or ErrEntryTooLarge.
func Split(d Document, s Section) ([][]byte, error) {
	switch s {
	case Organisations:
		return splitList("Organisations", mapAll(d.Organisations, organisationWire))
	case Rates:
		return splitList("Rates", mapAll(d.Rates, rateWire))
	case Routes:
		return splitList("Routes", mapAll(d.Routes, routeWire))
	case Services:
		return splitList("Services", mapAll(d.Services, serviceWire))
	}
	wire, err := sectionWire(d, s)
	if err != nil {
		return nil, err
	}
	content, err := json.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return [][]byte{content}, nil
}

// Join puts a section's parts, in their order, into d. The error wraps ErrMalformed
// or is of type Problems.
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
		part, problems := wire.document()
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

// Assemble makes a document of the parts of its sections. A section that isn't
// there is empty, but for Policy, which is then the default. Errors wrap
// ErrUnknownSection or are those of Join.
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

// splitter gathers encoded entries into parts.
type splitter struct {
	name  string
	parts [][]byte
	part  bytes.Buffer
}

func splitList[W any](name string, entries []W) ([][]byte, error) {
	sp := splitter{
		name: name,
	}
	sp.begin()
	for _, e := range entries {
		content, err := json.Marshal(e)
		if err != nil {
			return nil, errors.Wrap(ErrMalformed, err.Error())
		}
		if len(content) > MaximumPartBytes-largestPart {
			return nil, errors.Wrapf(ErrEntryTooLarge, "%s: %d bytes are over %d: %s", name, len(content), MaximumPartBytes-largestPart, cut(string(content), 80))
		}
		sp.add(content)
	}
	sp.end()
	return sp.parts, nil
}

func (sp *splitter) begin() {
	sp.part.Reset()
	sp.part.WriteString(`{"` + sp.name + `":[`)
}

// empty tells whether the part under way has no entry.
func (sp *splitter) empty() bool {
	return sp.part.Bytes()[sp.part.Len()-1] == '['
}

func (sp *splitter) add(content []byte) {
	if !sp.empty() && sp.part.Len()+len(content) > largestPart {
		sp.end()
		sp.begin()
	}
	if !sp.empty() {
		sp.part.WriteByte(',')
	}
	sp.part.Write(content)
	if sp.part.Len() >= smallestPart && cutsAfter(content) {
		sp.end()
		sp.begin()
	}
}

// end closes the part under way. An empty one counts only as the first.
func (sp *splitter) end() {
	if sp.empty() && len(sp.parts) > 0 {
		return
	}
	sp.part.WriteString("]}")
	sp.parts = append(sp.parts, bytes.Clone(sp.part.Bytes()))
}

// cutsAfter chooses cuts by the content before them, on average once in the
// preferred size.
func cutsAfter(content []byte) bool {
	h := fnv.New64a()
	_, _ = h.Write(content)
	const distance = preferredPart - smallestPart
	return h.Sum64()%distance < uint64(len(content))
}
