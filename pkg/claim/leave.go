package claim

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// maxBatchLength bounds the records in one message of a handover.
const maxBatchLength = 500

// departure is the state of a graceful stop.
type departure struct {
	// unacknowledged holds the batches that were sent and not confirmed, by
	// Copy.Number.
	unacknowledged map[uint64]handoverBatch
	// nextRank holds, for each key sent, the rank of the next receiver to try.
	nextRank map[Key]int
	done     bool
}

// handoverBatch holds the records that one Copy hands over.
type handoverBatch struct {
	to      instance.ID
	records []Record
}

// leave hands over all records, each to an instance that doesn't have it yet,
// so that as many instances store it as before.
func (c *Claims) leave(now time.Duration) {
	if c.leaving != nil {
		return
	}
	c.leaving = &departure{
		unacknowledged: map[uint64]handoverBatch{},
		nextRank:       map[Key]int{},
	}
	for _, request := range sortedRequests(c.pending) {
		c.refuse(c.pending[request], NoAuthority)
	}
	c.owned = map[share.Shard]*ownedShard{}
	c.collections = nil
	c.handOver(c.records.list(now, c.records.shards()))
}

// handOver sends each record to the next instance in rank, which may have it
// already.
func (c *Claims) handOver(list []Record) {
	var batches []handoverBatch
	for _, r := range list {
		to, ok := c.nextReceiver(r.Key)
		if !ok {
			// All other instances have been tried and have the record.
			continue
		}
		i := slices.IndexFunc(batches, func(b handoverBatch) bool {
			return b.to == to && len(b.records) < maxBatchLength
		})
		if i < 0 {
			i = len(batches)
			batches = append(batches, handoverBatch{
				to: to,
			})
		}
		batches[i].records = append(batches[i].records, r)
	}
	for _, b := range batches {
		number := c.nextNumber()
		c.leaving.unacknowledged[number] = b
		c.send(b.to.Address, Copy{
			Number:  number,
			Records: b.records,
		})
	}
	c.finishLeaving()
}

// nextReceiver returns the next instance in rank to hand a key's record to;
// false if all have been tried.
func (c *Claims) nextReceiver(k Key) (instance.ID, bool) {
	ranked := slices.DeleteFunc(instance.Rank(instance.Hash("shard", uint64(k.Shard())), c.members.list),
		func(m instance.Info) bool { return m.ID == c.self.ID || m.Leaving })
	i := c.leaving.nextRank[k]
	c.leaving.nextRank[k]++
	if i >= len(ranked) {
		return instance.ID{}, false
	}
	return ranked[i].ID, true
}

// handleHandoverCopied hands on those records that the receiver had already to
// the next in rank.
func (c *Claims) handleHandoverCopied(_ time.Duration, from instance.ID, m Copied) {
	h, ok := c.leaving.unacknowledged[m.Number]
	if !ok || h.to != from {
		return
	}
	delete(c.leaving.unacknowledged, m.Number)
	c.handOver(slices.DeleteFunc(h.records, func(r Record) bool {
		return !slices.Contains(m.AlreadyHeld, r.Key)
	}))
}

// finishLeaving tells all members that no record is lost with this instance,
// once all batches are confirmed.
func (c *Claims) finishLeaving() {
	if len(c.leaving.unacknowledged) > 0 || c.leaving.done {
		return
	}
	c.leaving.done = true
	for _, m := range c.members.list {
		if m.ID != c.self.ID {
			c.send(m.Address, Departed{})
		}
	}
	c.effects = append(c.effects, Left{})
}

func sortedRequests(pending map[uint64]*pendingRequest) []uint64 {
	list := make([]uint64, 0, len(pending))
	for request := range pending {
		list = append(list, request)
	}
	slices.Sort(list)
	return list
}
