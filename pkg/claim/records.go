package claim

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// records are the claims that an instance keeps, for whatever reason.
type records struct {
	byShard map[share.Shard]map[Key][]*entry
	count   int
}

// entry is a Record as it is kept. A key has more than one only if a copy
// outlived the release of the claim before.
type entry struct {
	key      Key
	claimant instance.ID
	request  uint64
	outcome  Outcome
	until    time.Duration
	// copies are the instances that this authority gave it to.
	copies []instance.Address
	// safe says that enough copies are kept for the request to run.
	safe bool
}

func newRecords() records {
	return records{
		byShard: map[share.Shard]map[Key][]*entry{},
	}
}

func (r *records) of(k Key) []*entry {
	return r.byShard[k.Shard()][k]
}

func (r *records) find(k Key, claimant instance.ID, request uint64) *entry {
	for _, e := range r.of(k) {
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

// keep adds a record, or what is new of it. It tells whether it was there.
func (r *records) keep(now time.Duration, m Record) bool {
	e := r.find(m.Key, m.Claimant, m.Request)
	if e == nil {
		r.add(&entry{
			key:      m.Key,
			claimant: m.Claimant,
			request:  m.Request,
			outcome:  m.Outcome,
			until:    now + m.Remaining,
		})
		return false
	}
	e.until = max(e.until, now+m.Remaining)
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
				if now >= e.until {
					r.remove(e)
				}
			}
		}
	}
}

// list gives the records of shards, in order of their keys.
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
		Remaining: max(0, e.until-now),
	}
}
