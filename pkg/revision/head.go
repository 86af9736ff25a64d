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
	// HeadKey is the key of the encoded Head. A writer first writes all parts that the
	// head names, and then replaces the head by compare-and-swap.
	HeadKey = "document/head"
	// PartPrefix is the prefix of the keys of parts. See PartKey.
	PartPrefix = "document/part/"
)

// Maximum sizes of a head and its parts. Those whose names end in Bytes are in bytes.
const (
	// MaximumPartBytes is the largest size of a part.
	MaximumPartBytes = 1 << 20
	// PreferredPartBytes is the size of the parts into which writers split sections. A
	// change to one entry replaces one part on all instances, so small parts keep the
	// cost of a change small.
	PreferredPartBytes = 64 << 10
	// MaximumParts is the largest number of parts of all sections together.
	MaximumParts = 512
	// MaximumSections is the largest number of sections in a head.
	MaximumSections = 16
	// MaximumSectionNameBytes is the greatest length of a section's name.
	MaximumSectionNameBytes = 64
	// MaximumNonceBytes is the greatest length of a nonce.
	MaximumNonceBytes = 64
	// MaximumHeadBytes is the largest size of an encoded head.
	MaximumHeadBytes = 128 << 10
)

// Errors of this package.
var (
	// ErrMalformed says that content doesn't have the required form.
	ErrMalformed = errors.New("malformed")
	// ErrBounds says that content is larger than its maximum.
	ErrBounds = errors.New("out of bounds")
)

// Head names one revision of the whole document. All sections share one head, so
// revisions have a total order, and a writer that replaces the head knows which
// revision it replaced.
type Head struct {
	// Number is one more than the number of the head that this one replaced; the first
	// head has number one.
	Number uint64
	// Sections lists the document's sections, each once.
	Sections []SectionHead
	// Nonce is chosen by the writer, so that after a lost answer it can tell whether
	// the head in the store is its own.
	Nonce []byte
}

// SectionHead names the parts of one section.
type SectionHead struct {
	// Section is the section's name.
	Section string
	// Revision is the Number of the head that last changed this section. A writer that
	// finds it changed has lost a race over this section. If only other sections
	// changed, the writer puts its section into the new head and tries again.
	Revision uint64
	// Parts lists the digests of the section's parts in order.
	Parts []Digest
}

// PartKey returns the key of a part in the store.
func PartKey(d Digest) string {
	return PartPrefix + d.String()
}

// Section returns the section of the given name, and whether there is one.
func (h Head) Section(name string) (SectionHead, bool) {
	for _, s := range h.Sections {
		if s.Section == name {
			return s, true
		}
	}
	return SectionHead{}, false
}

// Digests returns the digest of each part once, in order of first use.
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

// Validate returns an error if the head is malformed or exceeds a maximum. Its
// errors wrap ErrMalformed or ErrBounds.
func (h Head) Validate() error {
	if h.Number == 0 {
		return errors.Wrap(ErrMalformed, "head number is zero")
	}
	if len(h.Sections) > MaximumSections {
		return errors.Wrapf(ErrBounds, "head has %d sections, more than %d", len(h.Sections), MaximumSections)
	}
	if len(h.Nonce) > MaximumNonceBytes {
		return errors.Wrapf(ErrBounds, "nonce has %d bytes, more than %d", len(h.Nonce), MaximumNonceBytes)
	}
	parts := 0
	seen := map[string]bool{}
	for _, s := range h.Sections {
		if err := s.check(h.Number); err != nil {
			return err
		}
		if seen[s.Section] {
			return errors.Wrapf(ErrMalformed, "section %q appears twice", s.Section)
		}
		seen[s.Section] = true
		parts += len(s.Parts)
	}
	if parts > MaximumParts {
		return errors.Wrapf(ErrBounds, "head has %d parts, more than %d", parts, MaximumParts)
	}
	return nil
}

// check validates the section of a head with the given number.
func (s SectionHead) check(number uint64) error {
	if s.Section == "" {
		return errors.Wrapf(ErrMalformed, "head %d has a section without a name", number)
	}
	if len(s.Section) > MaximumSectionNameBytes {
		return errors.Wrapf(ErrBounds, "section name has %d bytes, more than %d", len(s.Section), MaximumSectionNameBytes)
	}
	if s.Revision > number {
		return errors.Wrapf(ErrMalformed, "section %q has revision %d, newer than its head's number %d", s.Section, s.Revision, number)
	}
	return nil
}

// headRecord is the JSON form of a Head in the store.
type headRecord struct {
	Number   uint64
	Sections []sectionRecord
	Nonce    string
}

// sectionRecord is the JSON form of a SectionHead in the store.
type sectionRecord struct {
	Section  string
	Revision uint64
	Parts    []string
}

// EncodeHead encodes the head as JSON. Its errors wrap ErrMalformed or ErrBounds.
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
		return nil, errors.Wrapf(ErrBounds, "head has %d bytes, more than %d", len(content), MaximumHeadBytes)
	}
	return content, nil
}

// DecodeHead decodes the output of EncodeHead. It rejects unknown fields, since they
// may change the meaning of the others. Its errors wrap ErrMalformed or ErrBounds.
func DecodeHead(content []byte) (Head, error) {
	if len(content) > MaximumHeadBytes {
		return Head{}, errors.Wrapf(ErrBounds, "head has %d bytes, more than %d", len(content), MaximumHeadBytes)
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

// head converts the record to a valid Head.
func (r headRecord) head() (Head, error) {
	nonce, err := base64.StdEncoding.DecodeString(r.Nonce)
	if err != nil {
		return Head{}, errors.Wrapf(ErrMalformed, "nonce %.100q is not in base64", r.Nonce)
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
