package claim

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// records holds the claims that an instance stores, as authority, claimant or
// replica.
type records struct {
	byShard map[share.Shard]map[Key][]*entry
	count   int
}

// entry is a stored Record. A key has several entries only if a copy outlived
// the release of an earlier claim.
type entry struct {
	key      Key
	claimant instance.ID
	request  uint64
	outcome  Outcome
	expires  time.Duration
	// replicas holds the addresses that this authority has sent a copy to.
	replicas []instance.Address
	// replicated says that enough instances store the claim for the request to
	// run.
	replicated bool
}

func newRecords() records {
	return records{
		byShard: map[share.Shard]map[Key][]*entry{},
	}
}

func (r *records) forKey(k Key) []*entry {
	return r.byShard[k.Shard()][k]
}

func (r *records) find(k Key, claimant instance.ID, request uint64) *entry {
	for _, e := range r.forKey(k) {
		if e.claimant == claimant && e.request == request {
			return e
		}
	}
	return nil
}

func (r *records) add(e *entry) {
	s := e.key.Shard()
	if r.byShard[s] == nil {
		r.byShard[s] = map[Key][]*entry{}
	}
	r.byShard[s][e.key] = append(r.byShard[s][e.key], e)
	r.count++
}

// merge adds a record, or updates the stored one. It reports whether the record
// was there before.
func (r *records) merge(now time.Duration, m Record) bool {
	e := r.find(m.Key, m.Claimant, m.Request)
	if e == nil {
		r.add(&entry{
			key:      m.Key,
			claimant: m.Claimant,
			request:  m.Request,
			outcome:  m.Outcome,
			expires:  now + m.Remaining,
		})
		return false
	}
	e.expires = max(e.expires, now+m.Remaining)
	if e.outcome.State == Running {
		e.outcome = m.Outcome
	}
	return true
}

func (r *records) remove(gone *entry) {
	s := gone.key.Shard()
	left := slices.DeleteFunc(r.byShard[s][gone.key], func(e *entry) bool { return e == gone })
	r.count--
	if len(left) > 0 {
		r.byShard[s][gone.key] = left
		return
	}
	delete(r.byShard[s], gone.key)
	if len(r.byShard[s]) == 0 {
		delete(r.byShard, s)
	}
}

func (r *records) expire(now time.Duration) {
	for _, keys := range r.byShard {
		for _, entries := range keys {
			for _, e := range slices.Clone(entries) {
				if now >= e.expires {
					r.remove(e)
				}
			}
		}
	}
}

// list returns the records of shards in the order of their keys.
func (r *records) list(now time.Duration, shards []share.Shard) []Record {
	var list []Record
	for _, s := range shards {
		for _, entries := range r.byShard[s] {
			for _, e := range entries {
				list = append(list, e.record(now))
			}
		}
	}
	slices.SortFunc(list, func(a, b Record) int {
		return slices.Compare(a.Key[:], b.Key[:])
	})
	return list
}

func (r *records) shards() []share.Shard {
	list := make([]share.Shard, 0, len(r.byShard))
	for s := range r.byShard {
		list = append(list, s)
	}
	slices.Sort(list)
	return list
}

func (e *entry) record(now time.Duration) Record {
	return Record{
		Key:       e.key,
		Claimant:  e.claimant,
		Request:   e.request,
		Outcome:   e.outcome,
		Remaining: max(0, e.expires-now),
	}
}
