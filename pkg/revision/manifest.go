package revision

import "slices"

// manifest is a decoded head together with its encoded form, whose digest the
// notice contains.
type manifest struct {
	notice  Notice
	head    Head
	content []byte
	digests []Digest
}

// readManifest decodes and validates an encoded head.
func readManifest(content []byte) (*manifest, error) {
	h, err := DecodeHead(content)
	if err != nil {
		return nil, err
	}
	return &manifest{
		notice:  NoticeOf(h.Number, content),
		head:    h,
		content: slices.Clone(content),
		digests: h.Digests(),
	}, nil
}

// number returns the revision's number, or zero for a nil manifest.
func (m *manifest) number() uint64 {
	if m == nil {
		return 0
	}
	return m.notice.Number
}
