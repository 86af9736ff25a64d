package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

const (
	// recordsPerProbe is the maximum number of queued records carried by a
	// probe or its answer.
	recordsPerProbe = 12
	// recordsPerGossip is the maximum number of records in one Gossip message.
	recordsPerGossip = 32
	// gossipFanout is the number of members that a Gossip message is sent to.
	gossipFanout = 3
	// gossipBurst and gossipRate limit the Gossip rounds of one instance: a
	// number of rounds, and rounds per second. Records that exceed the limit
	// are carried by probes.
	gossipBurst = 8
	gossipRate  = 4
	// maxPendingBeforeSync is the number of queued records beyond which tables
	// are compared without waiting until all are sent.
	maxPendingBeforeSync = 2 * recordsPerProbe
	// extraSends is added to the binary logarithm of the fleet's size to get
	// the number of times that one instance passes on one record.
	extraSends = 3
)

// broadcastQueue contains the addresses whose records this instance still
// passes on.
type broadcastQueue struct {
	queue []queuedRecord
	// urgent lists the addresses whose records are to be sent as Gossip.
	urgent []instance.Address
	// tokens is a token bucket of Gossip rounds, last refilled at refilledAt.
	tokens     float64
	refilledAt time.Duration
}

// queuedRecord is an address whose record is passed on, with the number of
// times that it was sent.
type queuedRecord struct {
	address instance.Address
	sends   int
}

// readyToSync reports whether the tables of two instances may be compared:
// either all records have been passed on, so that a difference indicates a lost
// message, or so many are queued that comparing tables is faster.
func (q *broadcastQueue) readyToSync() bool {
	return len(q.queue) == 0 || len(q.queue) > maxPendingBeforeSync
}

// enqueue queues the record of an address, and restarts its count of sends if
// it is queued already.
func (q *broadcastQueue) enqueue(address instance.Address) {
	i := slices.IndexFunc(q.queue, func(r queuedRecord) bool { return r.address == address })
	if i >= 0 {
		q.queue = slices.Delete(q.queue, i, i+1)
	}
	q.queue = append(q.queue, queuedRecord{
		address: address,
	})
	if !slices.Contains(q.urgent, address) {
		q.urgent = append(q.urgent, address)
	}
}

// take returns up to count addresses, those sent least often first, and removes
// each address from the queue after limit sends.
func (q *broadcastQueue) take(count, limit int) []instance.Address {
	if len(q.queue) == 0 {
		return nil
	}
	slices.SortStableFunc(q.queue, func(a, b queuedRecord) int {
		return cmp.Compare(a.sends, b.sends)
	})
	taken := make([]instance.Address, 0, min(count, len(q.queue)))
	for i := range q.queue {
		if i == count {
			break
		}
		taken = append(taken, q.queue[i].address)
		q.queue[i].sends++
	}
	q.queue = slices.DeleteFunc(q.queue, func(r queuedRecord) bool { return r.sends >= limit })
	return taken
}

// takeUrgent returns the addresses for the next Gossip round, or nil if there
// are none or the rate limit is reached.
func (q *broadcastQueue) takeUrgent(now time.Duration) []instance.Address {
	if len(q.urgent) == 0 {
		return nil
	}
	q.tokens = min(gossipBurst, q.tokens+gossipRate*(now-q.refilledAt).Seconds())
	q.refilledAt = now
	if q.tokens < 1 {
		// The records remain in the queue, and probes carry them.
		q.urgent = q.urgent[:0]
		return nil
	}
	q.tokens--
	n := min(recordsPerGossip, len(q.urgent))
	taken := slices.Clone(q.urgent[:n])
	q.urgent = append(q.urgent[:0], q.urgent[n:]...)
	return taken
}

// sendLimit returns how often a record is passed on in a fleet of n instances.
func sendLimit(n int) int {
	return extraSends + bits.Len(uint(n))
}
