// Package rights counts the parts of shards that an instance has borrowed, and
// since when. Each part ends at the time that its lender set, noticed or not:
// the count at a moment never depends on when it is asked for.
//
// # Usage
//
//	t := rights.New(64)
//	t.Update(now, borrowed, settle)
//	held := t.Held(now, shard)
package rights

import (
	"math"
	"math/bits"
	"time"

	"dandelionmux/pkg/share"
)

// words are the bits of a set of shards.
type words = [share.Shards / 64]uint64

// never stands for a part that is not held.
const never = time.Duration(math.MinInt64)

// endless is the earliest end of no parts at all.
const endless = time.Duration(math.MaxInt64)

// Tracker holds the parts of all shards. Use New.
type Tracker struct {
	total    int
	lent     []share.Borrowed
	lapsing  []bool
	shards   map[share.Shard]*Holding
	earliest time.Duration
}

// Holding is what is held of one shard.
type Holding struct {
	// Count is how many shares are held.
	Count int
	// Since is when the share was got, by share number; see Has.
	since []time.Duration
	// LastAdded is when the last share was added.
	LastAdded time.Duration
	// MajoritySince is when the count last rose above half.
	MajoritySince time.Duration
}

// BeforeChange is called just before a part of a shard is added or removed, with the
// time of the change.
type BeforeChange func(shard share.Shard, at time.Duration, added bool)

// New makes a tracker for a total number of shares.
func New(total int) *Tracker {
	return &Tracker{
		total:    total,
		lent:     make([]share.Borrowed, total),
		lapsing:  make([]bool, total),
		shards:   map[share.Shard]*Holding{},
		earliest: endless,
	}
}

// Total is the number of shares.
func (t *Tracker) Total() int {
	return t.total
}

// Update takes in what is now held of one share.
func (t *Tracker) Update(now time.Duration, b share.Borrowed, settle BeforeChange) {
	t.Advance(now, settle)
	if int(b.Share) >= t.total {
		return
	}
	if b.Until <= now {
		b.Shards = share.ShardSet{}
	}
	old := &t.lent[b.Share]
	was, is := old.Shards.Words(), b.Shards.Words()
	if was != is {
		t.replace(now, b.Share, was, is, settle)
	}
	*old = b
	t.lapsing[b.Share] = is != words{}
	t.findEarliest()
}

func (t *Tracker) replace(now time.Duration, n share.Number, was, is words, settle BeforeChange) {
	for i := range was {
		for changed := was[i] ^ is[i]; changed != 0; changed &= changed - 1 {
			bit := bits.TrailingZeros64(changed)
			s := share.Shard(i*64 + bit)
			added := is[i]>>bit&1 == 1
			settle(s, now, added)
			if added {
				t.add(now, s, n)
			} else {
				t.remove(s, n)
			}
		}
	}
}

// Advance ends the parts whose time has come, in order of their ends.
func (t *Tracker) Advance(now time.Duration, settle BeforeChange) {
	for now >= t.earliest {
		for n := range t.lent {
			if t.lapsing[n] && t.lent[n].Until == t.earliest {
				t.lapse(&t.lent[n], settle)
			}
		}
		t.findEarliest()
	}
}

func (t *Tracker) lapse(b *share.Borrowed, settle BeforeChange) {
	t.replace(b.Until, b.Share, b.Shards.Words(), words{}, settle)
	t.lapsing[b.Share] = false
	b.Shards = share.ShardSet{}
}

func (t *Tracker) findEarliest() {
	t.earliest = endless
	for n, lapsing := range t.lapsing {
		if lapsing {
			t.earliest = min(t.earliest, t.lent[n].Until)
		}
	}
}

func (t *Tracker) add(now time.Duration, s share.Shard, n share.Number) {
	p := t.shards[s]
	if p == nil {
		p = &Holding{
			since: make([]time.Duration, t.total),
		}
		for i := range p.since {
			p.since[i] = never
		}
		t.shards[s] = p
	}
	p.since[n] = now
	p.Count++
	p.LastAdded = now
	if 2*p.Count > t.total && 2*(p.Count-1) <= t.total {
		p.MajoritySince = now
	}
}

func (t *Tracker) remove(s share.Shard, n share.Number) {
	p := t.shards[s]
	p.since[n] = never
	p.Count--
	if p.Count == 0 {
		delete(t.shards, s)
	}
}

// Holding returns what is held of a shard as of the last Advance or Update, or
// nil for nothing.
func (t *Tracker) Holding(s share.Shard) *Holding {
	return t.shards[s]
}

// Shards lists the shards of which anything is held, in no certain order.
func (t *Tracker) Shards() []share.Shard {
	list := make([]share.Shard, 0, len(t.shards))
	for s := range t.shards {
		list = append(list, s)
	}
	return list
}

// Majority tells whether more than half the shares of a shard are held, as of
// the last Advance or Update, and since when.
func (t *Tracker) Majority(s share.Shard) (since time.Duration, ok bool) {
	p := t.shards[s]
	if p == nil || 2*p.Count <= t.total {
		return 0, false
	}
	return p.MajoritySince, true
}

// NextExpiry is the end of the part that ends first.
func (t *Tracker) NextExpiry() time.Duration {
	return t.earliest
}

// HeldUntil counts the parts of a shard that end at the time or later, and tells
// whether the deciding share is among them.
func (t *Tracker) HeldUntil(s share.Shard, at time.Duration) (count int, deciding bool) {
	p := t.shards[s]
	if p == nil {
		return 0, false
	}
	if at <= t.earliest {
		return p.Count, p.Has(t.TieBreaker(s))
	}
	for n, since := range p.since {
		if since == never || t.lent[n].Until < at {
			continue
		}
		count++
		deciding = deciding || share.Number(n) == t.TieBreaker(s)
	}
	return count, deciding
}

// AppendExpiries appends the ends of a shard's parts to list.
func (t *Tracker) AppendExpiries(list []time.Duration, s share.Shard) []time.Duration {
	p := t.shards[s]
	if p == nil {
		return list
	}
	for n, since := range p.since {
		if since != never {
			list = append(list, t.lent[n].Until)
		}
	}
	return list
}

// TieBreaker is the share that breaks a tie when two instances hold exactly half
// of a shard each.
func (t *Tracker) TieBreaker(s share.Shard) share.Number {
	return share.Number(int(s) % t.total)
}

// Has tells whether a share is held.
func (p *Holding) Has(n share.Number) bool {
	return p.since[n] != never
}

// ForEachAge calls f with how long each part has been held.
func (p *Holding) ForEachAge(now time.Duration, f func(age time.Duration)) {
	for _, since := range p.since {
		if since != never {
			f(now - since)
		}
	}
}
