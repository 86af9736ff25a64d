package membership

import (
	"time"

	"dandelionmux/pkg/instance"
)

// startSync sends the digests of this instance's table to a live member whose
// table differs. Tables differ for a short time after every change, so the
// caller waits until gossip has spread.
func (s *State) startSync(now time.Duration, m *member, digest uint64) {
	if digest == s.table.digest || !m.live() {
		return
	}
	wait := s.settings.syncInterval
	s.nextSync = now + wait/2 + time.Duration(s.random.Int64N(int64(wait)))
	s.send(m.Address, SyncDigests{
		Header:  s.header(0),
		Digests: s.table.digests,
	})
}

// answerDigests sends this instance's records of the buckets whose digests
// differ, and requests the sender's records of the same buckets.
func (s *State) answerDigests(from *member, m SyncDigests) {
	var differing uint32
	for i := range m.Digests {
		if m.Digests[i] != s.table.digests[i] {
			differing |= 1 << i
		}
	}
	if differing != 0 {
		s.sendBuckets(from.Address, differing, differing)
	}
}

// answerRecords sends this instance's records of the requested buckets, if the
// message requests any.
func (s *State) answerRecords(from *member, m SyncRecords) {
	if m.RequestedBuckets != 0 {
		s.sendBuckets(from.Address, m.RequestedBuckets, 0)
	}
}

// sendBuckets sends all records of a bit set of buckets in as many messages as
// they take. Only the last message requests records from the receiver, so that
// it answers once.
func (s *State) sendBuckets(to instance.Address, buckets, requested uint32) {
	var records []Record
	for _, m := range s.table.live {
		if buckets&(1<<bucketOf(m.Address)) != 0 {
			records = append(records, m.Record)
		}
	}
	for _, m := range s.table.gone {
		if buckets&(1<<bucketOf(m.Address)) != 0 {
			records = append(records, m.Record)
		}
	}
	for len(records) > MaxRecords {
		s.sendSyncRecords(to, records[:MaxRecords], 0)
		records = records[MaxRecords:]
	}
	s.sendSyncRecords(to, records, requested)
}

// sendSyncRecords sends one SyncRecords message.
func (s *State) sendSyncRecords(to instance.Address, records []Record, requested uint32) {
	h := s.header(0)
	h.Records = records
	s.send(to, SyncRecords{
		Header:           h,
		RequestedBuckets: requested,
	})
}
