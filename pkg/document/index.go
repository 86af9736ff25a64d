package document

import (
	"cmp"
	"crypto/subtle"
	"encoding/binary"
	"slices"
)

// Index looks up the entries of a valid document while requests are served. It is
// immutable and safe for concurrent use. It shares the document's slices, which
// must not be modified either.
type Index struct {
	document Document
	// keys are sorted by digestPrefix. firstKeys maps a digestPrefix to the index
	// of the first key with that prefix.
	keys      []indexedKey
	firstKeys map[uint64]int32
	// rates, services and organisations map names to indexes into the document.
	rates         map[string]int32
	services      map[string]int32
	organisations map[string]int32
	// nodes are the routes by path prefix; maxSlashes is the largest number of
	// slashes in a prefix.
	nodes      map[string]*routeNode
	maxSlashes int
}

// indexedKey is the digest of a key and the index of its organisation.
type indexedKey struct {
	digest       KeyDigest
	organisation int32
}

// NewIndex builds the index of a document for which Validate reports no problems.
func NewIndex(d Document) *Index {
	x := &Index{
		document:      d,
		rates:         make(map[string]int32, len(d.Rates)),
		services:      make(map[string]int32, len(d.Services)),
		organisations: make(map[string]int32, len(d.Organisations)),
		nodes:         make(map[string]*routeNode, len(d.Routes)),
	}
	for i, o := range d.Organisations {
		x.organisations[o.Name] = int32(i)
		for _, digest := range o.KeyDigests {
			x.keys = append(x.keys, indexedKey{
				digest:       digest,
				organisation: int32(i),
			})
		}
	}
	for i, r := range d.Rates {
		x.rates[r.Organisation] = int32(i)
	}
	for i, s := range d.Services {
		x.services[s.Name] = int32(i)
	}
	x.indexKeys()
	x.indexRoutes()
	return x
}

func (x *Index) indexKeys() {
	slices.SortFunc(x.keys, func(a, b indexedKey) int {
		return cmp.Compare(digestPrefix(a.digest), digestPrefix(b.digest))
	})
	x.firstKeys = make(map[uint64]int32, len(x.keys))
	for i, k := range x.keys {
		if _, ok := x.firstKeys[digestPrefix(k.digest)]; !ok {
			x.firstKeys[digestPrefix(k.digest)] = int32(i)
		}
	}
}

// digestPrefix returns the first 8 bytes of a digest, by which keys are indexed.
func digestPrefix(d KeyDigest) uint64 {
	return binary.BigEndian.Uint64(d[:])
}

// Document returns the indexed document.
func (x *Index) Document() Document { return x.document }

// Revision returns the document's revision.
func (x *Index) Revision() uint64 { return x.document.Revision }

// Policy returns the policy.
func (x *Index) Policy() Policy { return x.document.Policy }

// Organisation returns the name of the organisation whose key has the digest, and
// false if there is none. Whole digests are compared in constant time. The time of
// the lookup depends only on the first bytes of the digest, which reveal nothing
// about a key that the caller doesn't already know.
func (x *Index) Organisation(d KeyDigest) (string, bool) {
	start, ok := x.firstKeys[digestPrefix(d)]
	if !ok {
		return "", false
	}
	found := int32(-1)
	for _, k := range x.keys[start:] {
		if digestPrefix(k.digest) != digestPrefix(d) {
			break
		}
		if subtle.ConstantTimeCompare(k.digest[:], d[:]) == 1 {
			found = k.organisation
		}
	}
	if found < 0 {
		return "", false
	}
	return x.document.Organisations[found].Name, true
}

// HasOrganisation reports whether the document has the organisation.
func (x *Index) HasOrganisation(name string) bool {
	_, ok := x.organisations[name]
	return ok
}

// Priority returns the priority of an organisation's requests on a route: the organisation's
// own if it is set, else the route's.
func (x *Index) Priority(organisation string, r *Route) int {
	if i, ok := x.organisations[organisation]; ok {
		if own := x.document.Organisations[i].Priority; own != nil {
			return *own
		}
	}
	return r.Priority
}

// Rate returns the rate of an organisation, and false if it has none.
func (x *Index) Rate(organisation string) (Rate, bool) {
	i, ok := x.rates[organisation]
	if !ok {
		return Rate{}, false
	}
	return x.document.Rates[i], true
}

// Service returns the service with the given name, and false if there is none.
// The service must not be modified.
func (x *Index) Service(name string) (*Service, bool) {
	i, ok := x.services[name]
	if !ok {
		return nil, false
	}
	return &x.document.Services[i], true
}
