// Package rights records which shards an instance has borrowed from which
// shares, and since when.
//
// The fleet's rights are divided into shares (package share). Each share has at
// most one holder, which lends each shard of it to one instance at a time, for a
// term. A shard is a group of organisations, request keys and services that are
// hashed to the same number.
//
// A shard is borrowed from each share separately. What a share lends expires at
// the time that its holder has set, even if Advance is called later: expired
// shards are removed in the order of expiry, with the times of their expiry. So
// the counts at a time don't depend on how often Advance is called.
//
// # Usage
//
//	t := rights.New(64)
//	t.Update(now, borrowed, beforeChange)
//	if since, ok := t.Majority(shard); ok {
//		// More than 32 shares have lent the shard since then.
//	}
package rights

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"dandelionmux/pkg/share"
)

// shardWords is a set of shards, as a bit set.
type shardWords = [share.Shards / 64]uint64

// notHeld stands in place of a time for a share that doesn't lend the shard.
const notHeld = time.Duration(math.MinInt64)

// noExpiry is the next expiry while nothing is borrowed.
const noExpiry = time.Duration(math.MaxInt64)

// Tracker records which shards are borrowed from which shares. Use New.
// It isn't safe for concurrent use.
type Tracker struct {
	total int
	// borrowed is what each share lends, by share number.
	borrowed []share.BorrowedShare
	// active is set for shares that lend at least one shard.
	active     []bool
	shards     map[share.Shard]*Holding
	nextExpiry time.Duration
}

// Holding is what is held of one shard.
type Holding struct {
	// Count is the number of shares that lend the shard.
	Count int
	// since is when each share began to lend the shard, by share number;
	// notHeld if it doesn't.
	since []time.Duration
	// LastAdded is when a share last began to lend the shard, even if that share
	// has ceased to since.
	LastAdded time.Duration
	// MajoritySince is when Count last rose above half of all shares.
	MajoritySince time.Duration
}

// BeforeChange is called just before a share begins or ceases to lend a shard,
// with the time of the change. Added is set if it begins.
type BeforeChange func(shard share.Shard, at time.Duration, added bool)

// New returns a Tracker for a total number of shares.
func New(total int) *Tracker {
	return &Tracker{
		total:      total,
		borrowed:   make([]share.BorrowedShare, total),
		active:     make([]bool, total),
		shards:     map[share.Shard]*Holding{},
		nextExpiry: noExpiry,
	}
}

// Total returns the number of shares.
func (t *Tracker) Total() int {
	return t.total
}

// Update advances to now and then records what one share lends. It ignores a
// share whose number isn't below Total. If b.Until isn't after now, the share
// lends nothing.
func (t *Tracker) Update(now time.Duration, b share.BorrowedShare, beforeChange BeforeChange) {
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

// replaceShards changes the set of shards that a share lends.
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

// Advance removes what has expired by now, in the order of expiry.
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

// expire removes all that a share lends, at the end of its term.
func (t *Tracker) expire(b *share.BorrowedShare, beforeChange BeforeChange) {
	t.replaceShards(b.Until, b.Share, b.Shards.Words(), shardWords{}, beforeChange)
	t.active[b.Share] = false
	b.Shards = share.ShardSet{}
}

// updateNextExpiry finds the earliest expiry of what is borrowed.
func (t *Tracker) updateNextExpiry() {
	t.nextExpiry = noExpiry
	for n, active := range t.active {
		if active {
			t.nextExpiry = min(t.nextExpiry, t.borrowed[n].Until)
		}
	}
}

// add records that a share begins to lend a shard.
func (t *Tracker) add(now time.Duration, s share.Shard, n share.Number) {
	h := t.shards[s]
	if h == nil {
		h = &Holding{
			since: make([]time.Duration, t.total),
		}
		for i := range h.since {
			h.since[i] = notHeld
		}
		t.shards[s] = h
	}
	h.since[n] = now
	h.Count++
	h.LastAdded = now
	if 2*h.Count > t.total && 2*(h.Count-1) <= t.total {
		h.MajoritySince = now
	}
}

// remove records that a share ceases to lend a shard.
func (t *Tracker) remove(s share.Shard, n share.Number) {
	h := t.shards[s]
	h.since[n] = notHeld
	h.Count--
	if h.Count == 0 {
		delete(t.shards, s)
	}
}

// Holding returns what is held of a shard as of the last Advance or Update, or
// nil if that is nothing.
func (t *Tracker) Holding(s share.Shard) *Holding {
	return t.shards[s]
}

// Shards returns the shards of which anything is held, in no particular order.
func (t *Tracker) Shards() []share.Shard {
	list := make([]share.Shard, 0, len(t.shards))
	for s := range t.shards {
		list = append(list, s)
	}
	return list
}

// Majority reports whether more than half of the shares lend a shard, as of the
// last Advance or Update, and since when.
func (t *Tracker) Majority(s share.Shard) (since time.Duration, ok bool) {
	h := t.shards[s]
	if h == nil || 2*h.Count <= t.total {
		return 0, false
	}
	return h.MajoritySince, true
}

// NextExpiry returns the earliest time at which something borrowed expires. It
// is the largest Duration while nothing is borrowed.
func (t *Tracker) NextExpiry() time.Duration {
	return t.nextExpiry
}

// HeldUntil returns how many of the shares that lend a shard do so until the
// given time at least, and whether the tie-breaker is among them.
func (t *Tracker) HeldUntil(s share.Shard, at time.Duration) (count int, tieBreaker bool) {
	h := t.shards[s]
	if h == nil {
		return 0, false
	}
	if at <= t.nextExpiry {
		return h.Count, h.Has(t.TieBreaker(s))
	}
	for n, since := range h.since {
		if since == notHeld || t.borrowed[n].Until < at {
			continue
		}
		count++
		tieBreaker = tieBreaker || share.Number(n) == t.TieBreaker(s)
	}
	return count, tieBreaker
}

// AppendExpiries appends to list when each share that lends a shard ceases to
// do so.
func (t *Tracker) AppendExpiries(list []time.Duration, s share.Shard) []time.Duration {
	h := t.shards[s]
	if h == nil {
		return list
	}
	for n, since := range h.since {
		if since != notHeld {
			list = append(list, t.borrowed[n].Until)
		}
	}
	return list
}

// TieBreaker returns the share that decides for a shard when each of two
// instances holds exactly half of it.
func (t *Tracker) TieBreaker(s share.Shard) share.Number {
	return share.Number(int(s) % t.total)
}

// Has reports whether a share lends the shard.
func (h *Holding) Has(n share.Number) bool {
	return h.since[n] != notHeld
}

// HeldShare is a share that lends a shard, and since when it does.
type HeldShare struct {
	Number share.Number
	Since  time.Duration
}

// Shares returns the shares that lend the shard, in the order in which they began to.
func (h *Holding) Shares() []HeldShare {
	list := make([]HeldShare, 0, h.Count)
	for n, since := range h.since {
		if since != notHeld {
			list = append(list, HeldShare{
				Number: share.Number(n),
				Since:  since,
			})
		}
	}
	slices.SortStableFunc(list, func(a, b HeldShare) int { return cmp.Compare(a.Since, b.Since) })
	return list
}
