package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// State is one instance's view of the fleet. It must only be used by one
// goroutine at a time.
type State struct {
	settings   settings
	random     *rand.Rand
	self       Record
	notice     Notice
	table      table
	broadcasts broadcastQueue
	probes     []*probe
	relays     []*relay
	// listed contains the addresses of the last instance list.
	listed []instance.Address
	// recheck lists members that another's table shows as suspects, to be
	// probed.
	recheck []instance.Address
	// probeOrder is a shuffled list of members that probeNextInOrder takes
	// addresses from.
	probeOrder []instance.Address
	// isolation is raised by each indirect probe that neither the target nor a
	// helper answered, and lowered by each answered probe; see raiseIsolation.
	isolation int
	// oddInterval is true at every other interval, when probeNextInOrder is
	// called.
	oddInterval bool
	lastNumber  uint64
	nextProbe   time.Duration
	nextRejoin  time.Duration
	nextSync    time.Duration
	// scheduledWake is the last result of Next.
	scheduledWake  time.Duration
	membersChanged bool
	stopped        bool
	superseded     bool
	effects        []Effect
}

// New returns the state of the run self, whose incarnation must be greater than
// that of each earlier run at its address. The random source must not be
// shared.
func New(self instance.Info, random *rand.Rand, options ...Option) *State {
	s := &State{
		settings: defaults(),
		random:   random,
		self: Record{
			Info:    self,
			Version: 1,
		},
		table: table{
			members: map[instance.Address]*member{},
		},
		broadcasts: broadcastQueue{
			tokens: gossipBurst,
		},
		membersChanged: true,
	}
	for _, o := range options {
		o(&s.settings)
	}
	s.table.toggleDigest(s.self)
	return s
}

// Members returns the members in the form of MembersChanged.
func (s *State) Members() []instance.Info {
	members := make([]instance.Info, 0, len(s.table.live)+1)
	for _, m := range s.table.live {
		members = append(members, m.Info)
	}
	if s.stopped {
		return members
	}
	i, _ := slices.BinarySearchFunc(members, s.self.Address, func(m instance.Info, a instance.Address) int {
		return cmp.Compare(m.Address, a)
	})
	return slices.Insert(members, i, s.self.Info)
}

// Handle processes one event and returns the resulting effects.
func (s *State) Handle(now time.Duration, e Event) []Effect {
	if s.stopped {
		return nil
	}
	s.effects = nil
	s.compensatePause(now)
	switch e := e.(type) {
	case Tick:
	case ListRead:
		s.listed = slices.Clone(e.Instances)
	case Received:
		s.receive(now, e)
	case ConnectionFailed:
		s.connectionFailed(now, e.Address)
	case NoticeChanged:
		s.notice = e.Notice
	case Leave:
		s.leave()
	case Stop:
		return s.stop()
	}
	s.advance(now)
	s.sendGossip(now)
	s.publishMembers()
	s.scheduledWake = s.Next()
	return s.effects
}

// Next returns the time at which State needs its next Tick; zero means never.
func (s *State) Next() time.Duration {
	if s.stopped {
		return 0
	}
	next := min(s.nextProbe, s.nextRejoin)
	for _, p := range s.probes {
		next = min(next, p.deadline)
	}
	for _, r := range s.relays {
		next = min(next, r.deadline)
	}
	for _, m := range s.table.suspects {
		next = min(next, m.deadline)
	}
	return max(next, 1)
}

// advance does all work that is due.
func (s *State) advance(now time.Duration) {
	s.expireProbes(now)
	s.expireRelays(now)
	s.expireSuspects(now)
	if now >= s.nextProbe {
		s.nextProbe = now + s.settings.probeInterval
		s.probeNeighbour(now)
		s.probeRecheck(now)
		s.oddInterval = !s.oddInterval
		if s.oddInterval {
			s.probeNextInOrder(now)
		}
	}
	if now >= s.nextRejoin {
		s.forgetGone(now)
		s.rejoin(now)
	}
}

// compensatePause postpones all deadlines after this process stood still:
// answers that arrived in time are still unread, and a pause of this process
// isn't evidence against others.
func (s *State) compensatePause(now time.Duration) {
	late := now - s.scheduledWake
	if s.scheduledWake == 0 || late <= s.settings.probeInterval {
		return
	}
	for _, p := range s.probes {
		p.deadline += late
	}
	for _, r := range s.relays {
		r.deadline += late
	}
	for _, m := range s.table.suspects {
		m.deadline += late
	}
	s.emitDecision(Paused, s.self.ID, late)
}

// leave marks this instance as leaving, permanently.
func (s *State) leave() {
	if s.self.Leaving {
		return
	}
	s.setVersion(s.self.Version + 1)
	s.self.Leaving = true
	s.membersChanged = true
	s.broadcasts.enqueue(s.self.Address)
}

// stop announces the end of this instance, regardless of the rate limit for
// Gossip.
func (s *State) stop() []Effect {
	s.self.Leaving = true
	s.self.Status = Left
	s.self.Version++
	for _, m := range s.pickRandom(stopFanout, "") {
		s.send(m.Address, Gossip{
			Header: s.header(0),
		})
	}
	s.stopped = true
	return s.effects
}

// stopFanout is the number of members that are sent the announcement of this
// instance's end.
const stopFanout = 8

// setVersion changes the version of this instance's own record and updates the
// digests.
func (s *State) setVersion(version uint64) {
	s.table.toggleDigest(s.self)
	s.self.Version = version
	s.table.toggleDigest(s.self)
}

// publishMembers emits MembersChanged if the members have changed.
func (s *State) publishMembers() {
	if !s.membersChanged {
		return
	}
	s.membersChanged = false
	s.effects = append(s.effects, MembersChanged{
		Members: s.Members(),
	})
}

// send emits a Send effect.
func (s *State) send(to instance.Address, m Message) {
	s.effects = append(s.effects, Send{
		To:      to,
		Message: m,
	})
}

// emitDecision emits a Decided effect.
func (s *State) emitDecision(kind DecisionKind, subject instance.ID, duration time.Duration) {
	s.effects = append(s.effects, Decided{
		Kind:     kind,
		Subject:  subject,
		Duration: duration,
	})
}

// header returns the header of a new message, with up to count queued records.
func (s *State) header(count int) Header {
	h := Header{
		Sender:      s.self,
		Notice:      s.notice,
		TableDigest: s.table.digest,
	}
	if count > 0 {
		h.Records = s.records(s.broadcasts.take(count, sendLimit(len(s.table.live)+1)))
	}
	return h
}

// records returns the current records of addresses, without those that aren't
// in the table.
func (s *State) records(addresses []instance.Address) []Record {
	var list []Record
	for _, a := range addresses {
		if m := s.table.members[a]; m != nil {
			list = append(list, m.Record)
		}
	}
	return list
}

// sendGossip sends urgent records at once.
func (s *State) sendGossip(now time.Duration) {
	addresses := s.broadcasts.takeUrgent(now)
	if len(addresses) == 0 {
		return
	}
	h := s.header(0)
	h.Records = s.records(addresses)
	for _, m := range s.pickRandom(gossipFanout, "") {
		s.send(m.Address, Gossip{
			Header: h,
		})
	}
}

// pickRandom returns up to count random members that aren't suspected,
// excluding the address except.
func (s *State) pickRandom(count int, except instance.Address) []*member {
	var picked []*member
	live := s.table.live
	if len(live) == 0 {
		return nil
	}
	start := s.random.IntN(len(live))
	if len(live) <= 2*count {
		for i := range live {
			picked = appendCandidate(picked, live[(start+i)%len(live)], except)
		}
		return picked[:min(count, len(picked))]
	}
	for range 4 * count {
		if len(picked) == count {
			break
		}
		picked = appendCandidate(picked, live[s.random.IntN(len(live))], except)
	}
	return picked
}

// appendCandidate appends a member to picked unless it is suspected, excluded
// or in the list already.
func appendCandidate(picked []*member, m *member, except instance.Address) []*member {
	if m.Status != Alive || m.Address == except || slices.Contains(picked, m) {
		return picked
	}
	return append(picked, m)
}
