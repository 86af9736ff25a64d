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

// shardWords are the bits of a set of shards.
type shardWords = [share.Shards / 64]uint64

// notHeld stands for a part that is not held.
const notHeld = time.Duration(math.MinInt64)

// noExpiry is the earliest end of no parts at all.
const noExpiry = time.Duration(math.MaxInt64)

// Tracker holds the parts of all shards. Use New.
type Tracker struct {
	total    int
	borrowed     []share.Borrowed
	active  []bool
	shards   map[share.Shard]*Holding
	nextExpiry time.Duration
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
		borrowed:     make([]share.Borrowed, total),
		active:  make([]bool, total),
		shards:   map[share.Shard]*Holding{},
		nextExpiry: noExpiry,
	}
}

// Total is the number of shares.
func (t *Tracker) Total() int {
	return t.total
}

// Update takes in what is now held of one share.
func (t *Tracker) Update(now time.Duration, b share.Borrowed, beforeChange BeforeChange) {
	t.Advance(now, beforeChange)
	if int(b.Share) >= t.total {
		return
	}
	if b.Until <= now {
		b.Shards = share.ShardSet{}
	}
	old := &t.borrowed[b.Share]
	before, after := old.Shards.Words(), b.Shards.Words()
	if before != after {
		t.replaceShards(now, b.Share, before, after, beforeChange)
	}
	*old = b
	t.active[b.Share] = after != shardWords{}
	t.updateNextExpiry()
}

func (t *Tracker) replaceShards(now time.Duration, n share.Number, before, after shardWords, beforeChange BeforeChange) {
	for i := range before {
		for changed := before[i] ^ after[i]; changed != 0; changed &= changed - 1 {
			bit := bits.TrailingZeros64(changed)
			s := share.Shard(i*64 + bit)
			added := after[i]>>bit&1 == 1
			beforeChange(s, now, added)
			if added {
				t.add(now, s, n)
			} else {
				t.remove(s, n)
			}
		}
	}
}

// Advance ends the parts whose time has come, in order of their ends.
func (t *Tracker) Advance(now time.Duration, beforeChange BeforeChange) {
	for now >= t.nextExpiry {
		for n := range t.borrowed {
			if t.active[n] && t.borrowed[n].Until == t.nextExpiry {
				t.expire(&t.borrowed[n], beforeChange)
			}
		}
		t.updateNextExpiry()
	}
}

func (t *Tracker) expire(b *share.Borrowed, beforeChange BeforeChange) {
	t.replaceShards(b.Until, b.Share, b.Shards.Words(), shardWords{}, beforeChange)
	t.active[b.Share] = false
	b.Shards = share.ShardSet{}
}

func (t *Tracker) updateNextExpiry() {
	t.nextExpiry = noExpiry
	for n, active := range t.active {
		if active {
			t.nextExpiry = min(t.nextExpiry, t.borrowed[n].Until)
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
			p.since[i] = notHeld
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
	p.since[n] = notHeld
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
	return t.nextExpiry
}

// HeldUntil counts the parts of a shard that end at the time or later, and tells
// whether the deciding share is among them.
func (t *Tracker) HeldUntil(s share.Shard, at time.Duration) (count int, tieBreaker bool) {
	p := t.shards[s]
	if p == nil {
		return 0, false
	}
	if at <= t.nextExpiry {
		return p.Count, p.Has(t.TieBreaker(s))
	}
	for n, since := range p.since {
		if since == notHeld || t.borrowed[n].Until < at {
			continue
		}
		count++
		tieBreaker = tieBreaker || share.Number(n) == t.TieBreaker(s)
	}
	return count, tieBreaker
}

// AppendExpiries appends the ends of a shard's parts to list.
func (t *Tracker) AppendExpiries(list []time.Duration, s share.Shard) []time.Duration {
	p := t.shards[s]
	if p == nil {
		return list
	}
	for n, since := range p.since {
		if since != notHeld {
			list = append(list, t.borrowed[n].Until)
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
func (h *Holding) Has(n share.Number) bool {
	return h.since[n] != notHeld
}

// ForEachAge calls f with how long each part has been held.
func (h *Holding) ForEachAge(now time.Duration, f func(age time.Duration)) {
	for _, since := range h.since {
		if since != notHeld {
			f(now - since)
		}
	}
}
