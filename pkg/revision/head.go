package revision

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// Keys of the document in the store.
const (
	// HeadKey holds the encoded Head. Whoever writes it first writes all parts
	// that it names, and then replaces it by compare-and-swap.
	HeadKey = "document/head"
	// PartPrefix begins the keys of parts. See PartKey.
	PartPrefix = "document/part/"
)

// Bounds of a head and its parts.
const (
	// MaximumPartBytes is the largest part, in bytes.
	MaximumPartBytes = 1 << 20
	// PreferredPartBytes is the size, in bytes, that writers cut sections into. A
	// change to one entry replaces one part on all instances, so small parts
	// keep the cost of a change small.
	PreferredPartBytes = 64 << 10
	// MaximumParts is how many parts all sections have together.
	MaximumParts = 512
	// MaximumSections is how many sections a head names.
	MaximumSections = 16
	// MaximumSectionNameBytes is the longest name of a section, in bytes.
	MaximumSectionNameBytes = 64
	// MaximumNonceBytes is the longest nonce, in bytes.
	MaximumNonceBytes = 64
	// MaximumHeadBytes is the largest encoded head, in bytes.
	MaximumHeadBytes = 128 << 10
)

// Errors of this package.
var (
	// ErrMalformed says that content isn't in the form it should have.
	ErrMalformed = errors.New("malformed")
	// ErrBounds says that content is larger than its bound.
	ErrBounds = errors.New("out of bounds")
)

// Head names one revision of the whole document. All sections have one head,
// so revisions have one order, and a write of the head tells its writer which
// revision it followed.
type Head struct {
	// Number is one more than that of the head it replaced, and one at first.
	Number uint64
	// Sections are the document's parts by section, each section once.
	Sections []SectionHead
	// Nonce is chosen by the writer, so that it can tell, after a lost answer,
	// whether the head in the store is its own.
	Nonce []byte
}

// SectionHead names the parts of one section.
type SectionHead struct {
	// Section is the section's name.
	Section string
	// Revision is the Number of the head that last changed the section. A
	// writer that finds it changed lost a race over this section; if only
	// others changed, it puts its section into the new head and tries again.
	Revision uint64
	// Parts are digests of the section's parts in their order.
	Parts []Digest
}

// PartKey is the store's key of a part.
func PartKey(d Digest) string {
	return PartPrefix + d.String()
}

// Section finds the section by its name.
func (h Head) Section(name string) (SectionHead, bool) {
	for _, s := range h.Sections {
		if s.Section == name {
			return s, true
		}
	}
	return SectionHead{}, false
}

// Digests lists each part once, in order of first use.
func (h Head) Digests() []Digest {
	var list []Digest
	seen := map[Digest]bool{}
	for _, s := range h.Sections {
		for _, d := range s.Parts {
			if !seen[d] {
				seen[d] = true
				list = append(list, d)
			}
		}
	}
	return list
}

// Validate reports what is wrong with the head. Errors wrap ErrMalformed or
// ErrBounds.
func (h Head) Validate() error {
	if h.Number == 0 {
		return errors.Wrap(ErrMalformed, "head number is zero")
	}
	if len(h.Sections) > MaximumSections {
		return errors.Wrapf(ErrBounds, "head has %d sections", len(h.Sections))
	}
	if len(h.Nonce) > MaximumNonceBytes {
		return errors.Wrapf(ErrBounds, "nonce has %d bytes", len(h.Nonce))
	}
	parts := 0
	seen := map[string]bool{}
	for _, s := range h.Sections {
		if err := s.check(h.Number); err != nil {
			return err
		}
		if seen[s.Section] {
			return errors.Wrapf(ErrMalformed, "section %q stands twice", s.Section)
		}
		seen[s.Section] = true
		parts += len(s.Parts)
	}
	if parts > MaximumParts {
		return errors.Wrapf(ErrBounds, "head has %d parts", parts)
	}
	return nil
}

func (s SectionHead) check(number uint64) error {
	if s.Section == "" {
		return errors.Wrap(ErrMalformed, "section without a name")
	}
	if len(s.Section) > MaximumSectionNameBytes {
		return errors.Wrapf(ErrBounds, "section name has %d bytes", len(s.Section))
	}
	if s.Revision > number {
		return errors.Wrapf(ErrMalformed, "section %q is newer than its head", s.Section)
	}
	return nil
}

// headRecord is the form of a Head in the store.
type headRecord struct {
	Number   uint64
	Sections []sectionRecord
	Nonce    string
}

// sectionRecord is the form of a SectionHead in the store.
type sectionRecord struct {
	Section  string
	Revision uint64
	Parts    []string
}

// EncodeHead writes the head as JSON. Errors are those of Check.
func EncodeHead(h Head) ([]byte, error) {
	if err := h.Validate(); err != nil {
		return nil, err
	}
	record := headRecord{
		Number:   h.Number,
		Sections: make([]sectionRecord, len(h.Sections)),
		Nonce:    base64.StdEncoding.EncodeToString(h.Nonce),
	}
	for i, s := range h.Sections {
		parts := make([]string, len(s.Parts))
		for j, d := range s.Parts {
			parts[j] = d.String()
		}
		record.Sections[i] = sectionRecord{
			Section:  s.Section,
			Revision: s.Revision,
			Parts:    parts,
		}
	}
	content, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(content) > MaximumHeadBytes {
		return nil, errors.Wrapf(ErrBounds, "head has %d bytes", len(content))
	}
	return content, nil
}

// DecodeHead reads what EncodeHead wrote. Fields that it doesn't know are
// refused, since they may change what the others mean. Errors wrap
// ErrMalformed or ErrBounds.
func DecodeHead(content []byte) (Head, error) {
	if len(content) > MaximumHeadBytes {
		return Head{}, errors.Wrapf(ErrBounds, "head has %d bytes", len(content))
	}
	var record headRecord
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&record); err != nil {
		return Head{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Head{}, errors.Wrap(ErrMalformed, "content after the head")
	}
	return record.head()
}

func (r headRecord) head() (Head, error) {
	nonce, err := base64.StdEncoding.DecodeString(r.Nonce)
	if err != nil {
		return Head{}, errors.Wrap(ErrMalformed, "nonce not in base64")
	}
	h := Head{
		Number: r.Number,
		Nonce:  nonce,
	}
	for _, s := range r.Sections {
		section := SectionHead{
			Section:  s.Section,
			Revision: s.Revision,
		}
		for _, text := range s.Parts {
			d, err := ParseDigest(text)
			if err != nil {
				return Head{}, err
			}
			section.Parts = append(section.Parts, d)
		}
		h.Sections = append(h.Sections, section)
	}
	if err := h.Validate(); err != nil {
		return Head{}, err
	}
	return h, nil
}
