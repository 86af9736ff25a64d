package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// State is one instance's view of the fleet. It is used by one goroutine.
type State struct {
	settings settings
	random   *rand.Rand
	self     Record
	notice   Notice
	table    table
	gossip   gossip
	probes   []*probe
	relays   []*relay
	// listed are the addresses of the last instance list.
	listed []instance.Address
	// doubted are addresses that another's table accused; they are probed.
	doubted []instance.Address
	// order is a shuffled round of all members, from which one after the other
	// is probed.
	order []instance.Address
	// health counts failures to reach anybody; see suspicion.
	health int
	// odd is true at every other interval, when one more member is probed.
	odd         bool
	number      uint64
	nextProbe   time.Duration
	nextRejoin  time.Duration
	nextCompare time.Duration
	// wanted is what Next last gave.
	wanted     time.Duration
	changed    bool
	stopped    bool
	superseded bool
	effects    []Effect
}

// New makes the state of the run self, whose incarnation must be larger than
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
		gossip: gossip{
			tokens: newsBurst,
		},
		changed: true,
	}
	for _, o := range options {
		o(&s.settings)
	}
	s.table.toggle(s.self)
	return s
}

// Members gives the members as MembersChanged does.
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

// Handle takes one event and gives what follows from it.
func (s *State) Handle(now time.Duration, e Event) []Effect {
	if s.stopped {
		return nil
	}
	s.effects = nil
	s.resume(now)
	switch e := e.(type) {
	case Tick:
	case ListRead:
		s.listed = slices.Clone(e.Instances)
	case Received:
		s.receive(now, e)
	case ConnectionFailed:
		s.broken(now, e.Address)
	case NoticeChanged:
		s.notice = e.Notice
	case Leave:
		s.leave()
	case Stop:
		return s.stop()
	}
	s.advance(now)
	s.sendNews(now)
	s.publish()
	s.wanted = s.Next()
	return s.effects
}

// Next is when State wants its next Tick; zero means never.
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

// advance does what is due by now.
func (s *State) advance(now time.Duration) {
	s.expireProbes(now)
	s.expireRelays(now)
	s.expireSuspects(now)
	if now >= s.nextProbe {
		s.nextProbe = now + s.settings.interval
		s.probeNeighbour(now)
		s.probeDoubted(now)
		s.odd = !s.odd
		if s.odd {
			s.probeInTurn(now)
		}
	}
	if now >= s.nextRejoin {
		s.forgetGone(now)
		s.rejoin(now)
	}
}

// resume pushes deadlines back after this process stood still: what came in
// time for them waits unread, and a pause says nothing of the others.
func (s *State) resume(now time.Duration) {
	late := now - s.wanted
	if s.wanted == 0 || late <= s.settings.interval {
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
	s.decide(Paused, s.self.ID, late)
}

// leave marks this instance as leaving, for good.
func (s *State) leave() {
	if s.self.Leaving {
		return
	}
	s.raise(s.self.Version + 1)
	s.self.Leaving = true
	s.changed = true
	s.gossip.add(s.self.Address)
}

// stop says good-bye, without regard to the bounds on News.
func (s *State) stop() []Effect {
	s.self.Leaving = true
	s.self.Status = Left
	s.self.Version++
	for _, m := range s.pick(stopFanout, "") {
		s.send(m.Address, Gossip{
			Header: s.header(0),
		})
	}
	s.stopped = true
	return s.effects
}

// stopFanout is how many members are told of the end of this instance.
const stopFanout = 8

// raise gives this run a new version.
func (s *State) raise(version uint64) {
	s.table.toggle(s.self)
	s.self.Version = version
	s.table.toggle(s.self)
}

// publish gives the members if they changed.
func (s *State) publish() {
	if !s.changed {
		return
	}
	s.changed = false
	s.effects = append(s.effects, MembersChanged{
		Members: s.Members(),
	})
}

func (s *State) send(to instance.Address, m Message) {
	s.effects = append(s.effects, Send{
		To:      to,
		Message: m,
	})
}

func (s *State) decide(v DecisionKind, about instance.ID, wait time.Duration) {
	s.effects = append(s.effects, Decided{
		Kind:     v,
		Subject:  about,
		Duration: wait,
	})
}

// header begins a message, with up to count records to pass on.
func (s *State) header(count int) Header {
	h := Header{
		Sender:      s.self,
		Notice:      s.notice,
		TableDigest: s.table.summary,
	}
	if count > 0 {
		h.Records = s.records(s.gossip.take(count, sendLimit(len(s.table.live)+1)))
	}
	return h
}

// records looks up what is known of addresses now.
func (s *State) records(addresses []instance.Address) []Record {
	var list []Record
	for _, a := range addresses {
		if m := s.table.members[a]; m != nil {
			list = append(list, m.Record)
		}
	}
	return list
}

// sendNews passes urgent records on at once.
func (s *State) sendNews(now time.Duration) {
	addresses := s.gossip.takeUrgent(now)
	if len(addresses) == 0 {
		return
	}
	h := s.header(0)
	h.Records = s.records(addresses)
	for _, m := range s.pick(newsFanout, "") {
		s.send(m.Address, Gossip{
			Header: h,
		})
	}
}

// pick chooses up to count members at random whom nobody suspects, without
// the one at the address except.
func (s *State) pick(count int, except instance.Address) []*member {
	var picked []*member
	live := s.table.live
	if len(live) == 0 {
		return nil
	}
	start := s.random.IntN(len(live))
	if len(live) <= 2*count {
		for i := range live {
			picked = appendPick(picked, live[(start+i)%len(live)], except)
		}
		return picked[:min(count, len(picked))]
	}
	for range 4 * count {
		if len(picked) == count {
			break
		}
		picked = appendPick(picked, live[s.random.IntN(len(live))], except)
	}
	return picked
}

func appendPick(picked []*member, m *member, except instance.Address) []*member {
	if m.Status != Alive || m.Address == except || slices.Contains(picked, m) {
		return picked
	}
	return append(picked, m)
}
