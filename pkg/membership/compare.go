package membership

import (
	"time"

	"dandelionmux/pkg/instance"
)

// compare begins an exchange with a member whose table differs, once news have
// had their time to spread.
func (s *State) compare(now time.Duration, m *member, summary uint64) {
	if summary == s.table.summary || !m.live() {
		return
	}
	wait := s.settings.compare
	s.nextCompare = now + wait/2 + time.Duration(s.random.Int64N(int64(wait)))
	s.send(m.Address, SyncDigests{
		Header:  s.header(0),
		Digests: s.table.digests,
	})
}

// answerCompare sends the records of the buckets that differ.
func (s *State) answerCompare(from *member, m SyncDigests) {
	var differ uint32
	for i := range m.Digests {
		if m.Digests[i] != s.table.digests[i] {
			differ |= 1 << i
		}
	}
	if differ != 0 {
		s.sendBuckets(from.Address, differ, differ)
	}
}

// answerCompared sends this instance's own records of these buckets back.
func (s *State) answerCompared(from *member, m SyncRecords) {
	if m.RequestedBuckets != 0 {
		s.sendBuckets(from.Address, m.RequestedBuckets, 0)
	}
}

// sendBuckets sends all records of some buckets in as many messages as they
// take. Only the last asks for the receiver's.
func (s *State) sendBuckets(to instance.Address, buckets, differ uint32) {
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
		s.sendCompared(to, records[:MaxRecords], 0)
		records = records[MaxRecords:]
	}
	s.sendCompared(to, records, differ)
}

func (s *State) sendCompared(to instance.Address, records []Record, differ uint32) {
	h := s.header(0)
	h.Records = records
	s.send(to, SyncRecords{
		Header:           h,
		RequestedBuckets: differ,
	})
}
