package membership

import (
	"time"
)

// receive takes one message.
func (s *State) receive(now time.Duration, e Received) {
	h := e.Message.header()
	if h.Sender.ID != e.From || e.From.Address == s.self.Address || h.Sender.Status == Suspect {
		return
	}
	known, version := len(s.table.live) > 0, s.self.Version
	s.merge(now, h.Sender, told)
	m := s.table.members[e.From.Address]
	if m == nil || m.Incarnation != e.From.Incarnation {
		// A message from a run that has since been replaced.
		return
	}
	s.takeNotice(h)
	held := m.dead || m.Status == Suspect
	s.mergeRecords(now, e.Message, m.dead)
	switch {
	case held:
		s.tell(now, m)
	case s.self.Version != version:
		s.refute(m)
	}
	s.act(now, m, e.Message)
	if !known || now >= s.nextCompare && s.gossip.settled() {
		s.compare(now, m, h.TableDigest)
	}
}

// mergeRecords takes in what the message says. Of a sender that this instance
// holds dead, only what it says of this instance counts: when two parts of the
// fleet meet again, each must hear what the other has against it.
func (s *State) mergeRecords(now time.Duration, m Message, dead bool) {
	from := told
	if _, ok := m.(SyncRecords); ok {
		from = compared
	}
	for _, r := range m.header().Records {
		if !dead || r.Address == s.self.Address {
			s.merge(now, r, from)
		}
	}
}

func (s *State) takeNotice(h Header) {
	if h.Notice == s.notice || h.Notice == (Notice{}) {
		return
	}
	s.effects = append(s.effects, NoticeReceived{
		From:   h.Sender.Address,
		Notice: h.Notice,
	})
}

// act does what the kind of message asks for.
func (s *State) act(now time.Duration, from *member, m Message) {
	switch m := m.(type) {
	case Probe:
		s.send(from.Address, Ack{
			Header:  s.header(recordsPerProbe),
			Number:  m.Number,
			Subject: s.self.ID,
		})
	case Ack:
		s.acknowledged(from.Address, m)
	case Nack:
		s.refused(m)
	case ProbeRequest:
		s.probeFor(now, from.Address, m)
	case SyncDigests:
		s.answerCompare(from, m)
	case SyncRecords:
		s.answerCompared(from, m)
	case Gossip:
	}
}
