package claim

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// batchLength bounds the records in one message of a handover.
const batchLength = 500

// departure is the state of a graceful stop.
type departure struct {
	// open holds what was sent and isn't acknowledged.
	open map[uint64]handed
	// next tells, for each key sent, which in rank is to be tried next.
	next map[Key]int
	done bool
}

type handed struct {
	to      instance.ID
	records []Record
}

// leave passes all records on, each to an instance that hasn't had it: so as
// many keep it as before.
func (c *Claims) leave(now time.Duration) {
	if c.leaving != nil {
		return
	}
	c.leaving = &departure{
		open: map[uint64]handed{},
		next: map[Key]int{},
	}
	for _, request := range sorted(c.wants) {
		c.giveUp(c.wants[request], NoAuthority)
	}
	c.domains = map[share.Shard]*domain{}
	c.collections = nil
	c.pass(c.records.list(now, c.records.shards()))
}

// pass sends records to the next in rank that may not have them.
func (c *Claims) pass(list []Record) {
	var batches []handed
	for _, r := range list {
		to, ok := c.heir(r.Key)
		if !ok {
			// All others keep it.
			continue
		}
		i := slices.IndexFunc(batches, func(b handed) bool {
			return b.to == to && len(b.records) < batchLength
		})
		if i < 0 {
			i = len(batches)
			batches = append(batches, handed{
				to: to,
			})
		}
		batches[i].records = append(batches[i].records, r)
	}
	for _, b := range batches {
		number := c.next()
		c.leaving.open[number] = b
		c.send(b.to.Address, Copy{
			Number:  number,
			Records: b.records,
		})
	}
	c.depart()
}

func (c *Claims) heir(k Key) (instance.ID, bool) {
	ranked := slices.DeleteFunc(instance.Rank(instance.Hash("shard", uint64(k.Shard())), c.members.list),
		func(m instance.Info) bool { return m.ID == c.self.ID || m.Leaving })
	i := c.leaving.next[k]
	c.leaving.next[k]++
	if i >= len(ranked) {
		return instance.ID{}, false
	}
	return ranked[i].ID, true
}

// handedOver passes on again what the receiver had before.
func (c *Claims) handedOver(_ time.Duration, from instance.ID, m Copied) {
	h, ok := c.leaving.open[m.Number]
	if !ok || h.to != from {
		return
	}
	delete(c.leaving.open, m.Number)
	c.pass(slices.DeleteFunc(h.records, func(r Record) bool {
		return !slices.Contains(m.AlreadyHeld, r.Key)
	}))
}

// depart tells all that nothing is lost with this instance.
func (c *Claims) depart() {
	if len(c.leaving.open) > 0 || c.leaving.done {
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

func sorted(wants map[uint64]*want) []uint64 {
	list := make([]uint64, 0, len(wants))
	for request := range wants {
		list = append(list, request)
	}
	slices.Sort(list)
	return list
}
