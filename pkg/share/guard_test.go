package share_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

var (
	me   = instance.ID{Address: "10.0.0.1:7000", Incarnation: 5}
	peer = instance.ID{Address: "10.0.0.2:7000", Incarnation: 9}
)

// single is one state without a world; it returns the messages it sends.
type single struct {
	state *share.State
	last  []share.Effect
}

func newSingle() *single {
	s := &single{
		state: share.New(instance.Info{ID: me}, rand.New(rand.NewPCG(1, 1))),
	}
	s.state.Handle(0, share.MembersChanged{Members: []instance.Info{{ID: me}, {ID: peer}}})
	return s
}

// receive hands a message from the peer in, and returns the last one sent.
func (s *single) receive(now time.Duration, m share.Message) share.Message {
	s.last = s.state.Handle(now, share.Received{From: peer, Message: m})
	var sent share.Message
	for _, e := range s.last {
		if e, ok := e.(share.Send); ok && e.To == peer.Address {
			sent = e.Message
		}
	}
	return sent
}

// lent returns the shards that the last event gave, nil if it gave none.
func (s *single) lent() []share.Shard {
	for _, e := range s.last {
		if e, ok := e.(share.BorrowedChanged); ok && e.Borrowed.Shards.Len() > 0 {
			return slices.Collect(e.Borrowed.Shards.All())
		}
	}
	return nil
}

func TestBorrowerTakesOnlyGoodAnswers(t *testing.T) {
	good := share.LeaseResponse{Requester: me.Incarnation, Version: 7, Term: time.Second, Full: true,
		Rights: []share.Right{{Share: 3, Sequence: 1}}, Shards: share.SetOf(4)}
	for _, c := range []struct {
		name   string
		after  time.Duration
		change func(*share.LeaseResponse)
		lent   bool
	}{
		{name: "good", change: func(*share.LeaseResponse) {}, lent: true},
		{name: "later than the term", after: 990 * time.Millisecond, change: func(*share.LeaseResponse) {}},
		{name: "to an earlier run", change: func(a *share.LeaseResponse) { a.Requester-- }},
		{name: "to no ask", change: func(a *share.LeaseResponse) { a.Number += 5 }},
		{name: "of an earlier version", change: func(a *share.LeaseResponse) { a.Version = 5 }},
		{name: "of an unknown version", change: func(a *share.LeaseResponse) { a.Full = false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSingle()
			now := time.Millisecond
			ask := s.receive(now, share.Offer{}).(share.LeaseRequest)
			s.receive(now, share.LeaseResponse{Requester: me.Incarnation, Number: ask.Number, Version: 6, Full: true, Term: time.Second})
			a := good
			a.Number = ask.Number
			c.change(&a)
			s.receive(now+c.after, a)
			is.Equal(s.lent() != nil, c.lent)
		})
	}
}

func TestVoterKeepsVouchesAndPromises(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	number := uint64(0)
	vouches := func(now time.Duration, sequence uint64) bool {
		number++
		a := s.receive(now, share.LeaseRequest{Number: number, Rights: []share.Right{{Share: 8, Sequence: sequence}}}).(share.LeaseResponse)
		return len(a.Refused) == 0
	}
	promises := func(now time.Duration, sequence uint64) bool {
		a := s.receive(now, share.FenceRequest{Number: 1, Rights: []share.Right{{Share: 8, Sequence: sequence}}}).(share.FenceResponse)
		is.Equal(len(a.Votes), 0) // it holds no share
		return len(a.Fenced) == 1
	}
	is.True(vouches(time.Second, 4))
	is.True(!promises(2*time.Second, 4))                  // the vouch is running
	is.True(!promises(11*time.Second-time.Nanosecond, 4)) // to its last moment
	is.True(promises(11*time.Second, 4))
	is.True(!vouches(12*time.Second, 4)) // promised away
	is.True(!vouches(12*time.Second, 3)) // and so is every earlier Sequence
	is.True(vouches(12*time.Second, 5))
}

func TestHolderDoesNotPromiseWhatItUses(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 11, 3)
	w.until(start, w.whole)
	var answer share.FenceResponse
	w.onMessage = func(_ *node, m share.Send) {
		if a, ok := m.Message.(share.FenceResponse); ok {
			answer = a
		}
	}
	n := w.nodes[0]
	held := n.state.UsableRights(n.clock(w.now))
	ask := func() {
		w.handle(n, share.Received{From: w.nodes[1].info.ID, Message: share.FenceRequest{Number: 1, Rights: held}})
	}
	is.True(len(held) > 0)
	ask()
	is.Equal(len(answer.Fenced), 0) // all are in use
}

func TestNewHolderIsSilentForATerm(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 12, 1)
	n := w.nodes[0]
	held := func() []share.Right { return n.state.UsableRights(n.clock(w.now)) }
	w.until(start, func() bool { return len(held()) > 0 })
	first := held()[0].Share
	w.run(10 * time.Second) // a term
	is.True(!held()[0].Voting)
	w.run(5 * time.Second) // the margin, and a reading of the records
	is.Equal(held()[0].Share, first)
	is.True(held()[0].Voting)
}

func TestHandoverIsTakenOnlyInAnswerToAnAsk(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*share.Handover)
		taken  bool
	}{
		{name: "good", change: func(*share.Handover) {}, taken: true},
		{name: "to an earlier run", change: func(h *share.Handover) { h.Receiver++ }},
		{name: "to no ask", change: func(h *share.Handover) { h.RequestNumber += 9 }},
		{name: "of no Sequence", change: func(h *share.Handover) { h.Right.Sequence = 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := settled(t, 13, 3)
			from, to, other := w.nodes[0], w.nodes[1], w.nodes[2]
			h := share.Handover{Receiver: to.info.Incarnation, Hop: 99, Right: other.state.UsableRights(other.clock(w.now))[0]}
			w.onMessage = func(n *node, m share.Send) {
				if a, ok := m.Message.(share.LeaseRequest); ok && n == to && m.To == from.info.Address {
					h.RequestNumber = a.Number
				}
			}
			w.run(time.Second)
			c.change(&h)
			before := w.decisions[share.TakenOver]
			w.handle(to, share.Received{From: from.info.ID, Message: h})
			is.Equal(w.decisions[share.TakenOver] > before, c.taken)
		})
	}
}

func TestHalfTheVotesAreNotEnough(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 14, 2, share.Total(8))
	w.total = 8
	w.until(start, w.whole)
	w.run(calm)
	w.storeDown = true
	w.run(time.Minute)
	is.True(w.whole()) // both together keep all
	a, b := w.nodes[0], w.nodes[1]
	is.Equal(len(a.state.UsableRights(a.clock(w.now))), 4)
	w.cut[[2]instance.Address{a.info.Address, b.info.Address}] = true
	w.cut[[2]instance.Address{b.info.Address, a.info.Address}] = true
	w.run(12 * time.Second)
	for _, n := range w.nodes {
		is.Equal(len(n.state.UsableRights(n.clock(w.now))), 0) // alone, neither keeps any
		is.True(!n.state.InContact(n.clock(w.now)))
	}
}
