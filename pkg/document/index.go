package document

import (
	"cmp"
	"crypto/subtle"
	"encoding/binary"
	"slices"
)

// Index finds a valid document's entries for traffic. It never changes, so any
// number of goroutines may use it. The document's slices are shared with it
// and must not change either.
type Index struct {
	document Document
	// keys are in order of their digests. places leads from a digest's first
	// bytes to the first of the keys that begin with them.
	keys      []indexedKey
	firstKeys map[uint64]int32
	rates     map[string]int32
	// services and organisations are by name.
	services      map[string]int32
	organisations map[string]int32
	// nodes are the routes by path prefix; elements is the largest number of
	// elements in a prefix.
	nodes       map[string]*routeNode
	maxElements int
}

type indexedKey struct {
	digest       KeyDigest
	organisation int32
}

// NewIndex builds the index of a document that Validate found nothing wrong
// with.
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

// digestPrefix is the part of a digest that leads to its place.
func digestPrefix(d KeyDigest) uint64 {
	return binary.BigEndian.Uint64(d[:])
}

// Document returns the indexed document.
func (x *Index) Document() Document { return x.document }

// Revision is the document's revision.
func (x *Index) Revision() uint64 { return x.document.Revision }

// Policy returns the policy.
func (x *Index) Policy() Policy { return x.document.Policy }

// Organisation finds the organisation whose key has the digest. Whole digests
// are compared in constant time; the way to them depends on a digest's first
// bytes only, which tell nothing about a key that isn't known already.
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

// HasOrganisation tells whether the document names the organisation.
func (x *Index) HasOrganisation(name string) bool {
	_, ok := x.organisations[name]
	return ok
}

// Rate finds an organisation's rate.
func (x *Index) Rate(organisation string) (Rate, bool) {
	i, ok := x.rates[organisation]
	if !ok {
		return Rate{}, false
	}
	return x.document.Rates[i], true
}

// Service finds a service by its name. It must not be changed.
func (x *Index) Service(name string) (*Service, bool) {
	i, ok := x.services[name]
	if !ok {
		return nil, false
	}
	return &x.document.Services[i], true
}
