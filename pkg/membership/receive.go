package membership

import (
	"time"
)

// receive handles one message. It ignores a message whose sender isn't the run
// at the other end of the connection.
func (s *State) receive(now time.Duration, e Received) {
	h := e.Message.header()
	if h.Sender.ID != e.From || e.From.Address == s.self.Address || h.Sender.Status == Suspect {
		return
	}
	hadMembers, version := len(s.table.live) > 0, s.self.Version
	s.merge(now, h.Sender, fromGossip)
	m := s.table.members[e.From.Address]
	if m == nil || m.Incarnation != e.From.Incarnation {
		// The message is from a run that has been replaced in the meantime.
		return
	}
	s.reportNotice(h)
	wasSuspected := m.dead || m.Status == Suspect
	s.mergeRecords(now, e.Message, m.dead)
	switch {
	case wasSuspected:
		s.notifySuspect(now, m)
	case s.self.Version != version:
		s.refute(m)
	}
	s.dispatch(now, m, e.Message)
	if !hadMembers || now >= s.nextSync && s.broadcasts.readyToSync() {
		s.startSync(now, m, h.TableDigest)
	}
}

// mergeRecords merges the records of a message. If the sender is dead to this
// instance, only a record of this instance counts: when two partitions meet
// again, each side must learn that the other suspects it, to be able to refute
// that.
func (s *State) mergeRecords(now time.Duration, m Message, dead bool) {
	from := fromGossip
	if _, ok := m.(SyncRecords); ok {
		from = fromSync
	}
	for _, r := range m.header().Records {
		if !dead || r.Address == s.self.Address {
			s.merge(now, r, from)
		}
	}
}

// reportNotice emits NoticeReceived if the message carries a notice that
// differs from this instance's own.
func (s *State) reportNotice(h Header) {
	if h.Notice == s.notice || h.Notice == (Notice{}) {
		return
	}
	s.effects = append(s.effects, NoticeReceived{
		From:   h.Sender.Address,
		Notice: h.Notice,
	})
}

// dispatch handles a message according to its type.
func (s *State) dispatch(now time.Duration, from *member, m Message) {
	switch m := m.(type) {
	case Probe:
		s.send(from.Address, Ack{
			Header:  s.header(recordsPerProbe),
			Number:  m.Number,
			Subject: s.self.ID,
		})
	case Ack:
		s.handleAck(from.Address, m)
	case Nack:
		s.handleNack(m)
	case ProbeRequest:
		s.relayProbe(now, from.Address, m)
	case SyncDigests:
		s.answerDigests(from, m)
	case SyncRecords:
		s.answerRecords(from, m)
	case Gossip:
	}
}
