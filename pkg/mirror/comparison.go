package mirror

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionmux/pkg/store"
)

const (
	// differenceTime is how long two mirrors must differ at equal positions before one of them
	// is listed anew. While a list of several pages is read, they may differ for a moment.
	differenceTime = time.Second
	// relistPause is the least time between two lists for that reason.
	relistPause = 30 * time.Second
)

// entryDigest returns the part of a mirror's digest that stands for an entry.
func entryDigest(e store.Entry) uint64 {
	b := make([]byte, 0, 256)
	b = append(b, e.Key...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(e.Version)))
}

// Remedy is what to do about a difference: Nothing, Relist or Report.
type Remedy interface{ remedy() }

// Nothing is to be done.
type Nothing struct{}

// Relist lets the instance list the store anew.
type Relist struct{}

// Report tells the other instance that it differs from a list of the store.
type Report struct{}

func (Nothing) remedy() {}
func (Relist) remedy()  {}
func (Report) remedy()  {}

// Comparison decides what an instance does when its mirror differs from the one that it copies
// although both are at the same position. First it lists the store itself. If they go on
// differing, the other one is wrong. The zero value is ready to use.
type Comparison struct {
	differs  bool
	since    time.Duration
	listed   bool
	listedAt time.Duration
}

// Compared records whether the mirrors were equal, and returns what to do.
func (c *Comparison) Compared(now time.Duration, equal bool) Remedy {
	switch {
	case equal:
		c.differs = false
		return Nothing{}
	case !c.differs:
		c.differs, c.since = true, now
		return Nothing{}
	case now-c.since < differenceTime:
		return Nothing{}
	}
	c.differs = false
	if c.MayList(now) {
		return Relist{}
	}
	return Report{}
}

// MayList reports whether the store may be listed because of a difference, and if so records
// that it is.
func (c *Comparison) MayList(now time.Duration) bool {
	if c.listed && now-c.listedAt < relistPause {
		return false
	}
	c.listed, c.listedAt = true, now
	return true
}
