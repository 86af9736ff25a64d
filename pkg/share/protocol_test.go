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
	self = instance.ID{Address: "10.0.0.1:7000", Incarnation: 5}
	peer = instance.ID{Address: "10.0.0.2:7000", Incarnation: 9}
)

// singleState is one state without a simulation. Its only peer is played by the
// test.
type singleState struct {
	state *share.State
	// effects are those of the last event.
	effects []share.Effect
}

// newSingleState returns a state whose only other member is the peer.
func newSingleState() *singleState {
	s := &singleState{
		state: share.New(instance.Info{ID: self}, rand.New(rand.NewPCG(1, 1))),
	}
	s.state.Handle(0, share.MembersChanged{Members: []instance.Info{{ID: self}, {ID: peer}}})
	return s
}

// receive passes a message from the peer to the state. It returns the last
// message that the state sent to the peer, or nil.
func (s *singleState) receive(now time.Duration, m share.Message) share.Message {
	s.effects = s.state.Handle(now, share.Received{From: peer, Message: m})
	var sent share.Message
	for _, e := range s.effects {
		if e, ok := e.(share.Send); ok && e.To == peer.Address {
			sent = e.Message
		}
	}
	return sent
}

// lentShards returns the shards that the last event lent to the state, or nil.
func (s *singleState) lentShards() []share.Shard {
	for _, e := range s.effects {
		if e, ok := e.(share.BorrowedChanged); ok && e.Borrowed.Shards.Len() > 0 {
			return slices.Collect(e.Borrowed.Shards.All())
		}
	}
	return nil
}

// If a late, misdirected or outdated response were applied, a borrower could
// use shards that the lender has lent to another instance.
func TestBorrowerIgnoresInvalidResponses(t *testing.T) {
	valid := share.LeaseResponse{Requester: self.Incarnation, Version: 7, Term: time.Second, Full: true,
		Rights: []share.Right{{Share: 3, Sequence: 1}}, Shards: share.SetOf(4)}
	for _, c := range []struct {
		name     string
		delay    time.Duration
		change   func(*share.LeaseResponse)
		wantLent bool
	}{
		{name: "valid", change: func(*share.LeaseResponse) {}, wantLent: true},
		{name: "later than the term", delay: 990 * time.Millisecond, change: func(*share.LeaseResponse) {}},
		{name: "to an earlier run", change: func(a *share.LeaseResponse) { a.Requester-- }},
		{name: "to an unknown request", change: func(a *share.LeaseResponse) { a.Number += 5 }},
		{name: "of an earlier version", change: func(a *share.LeaseResponse) { a.Version = 5 }},
		{name: "of an unknown version without content", change: func(a *share.LeaseResponse) { a.Full = false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSingleState()
			now := time.Millisecond
			request := s.receive(now, share.Offer{}).(share.LeaseRequest)
			s.receive(now, share.LeaseResponse{Requester: self.Incarnation, Number: request.Number, Version: 6, Full: true, Term: time.Second})
			a := valid
			a.Number = request.Number
			c.change(&a)
			s.receive(now+c.delay, a)
			is.Equal(s.lentShards() != nil, c.wantLent)
		})
	}
}

// If a voter fenced a right that it still confirms, or confirmed a right that
// it has fenced, a share could be reclaimed while its holder uses it.
func TestVoterHonoursConfirmationsAndFences(t *testing.T) {
	is := is.New(t)
	s := newSingleState()
	number := uint64(0)
	confirms := func(now time.Duration, sequence uint64) bool {
		number++
		a := s.receive(now, share.LeaseRequest{Number: number, Rights: []share.Right{{Share: 8, Sequence: sequence}}}).(share.LeaseResponse)
		return len(a.Refused) == 0
	}
	fences := func(now time.Duration, sequence uint64) bool {
		a := s.receive(now, share.FenceRequest{Number: 1, Rights: []share.Right{{Share: 8, Sequence: sequence}}}).(share.FenceResponse)
		is.Equal(len(a.Votes), 0) // it holds no share
		return len(a.Fenced) == 1
	}
	is.True(confirms(time.Second, 4))
	is.True(!fences(2*time.Second, 4))                  // the confirmation is live
	is.True(!fences(11*time.Second-time.Nanosecond, 4)) // until its end
	is.True(fences(11*time.Second, 4))
	is.True(!confirms(12*time.Second, 4)) // fenced
	is.True(!confirms(12*time.Second, 3)) // so is every earlier Sequence
	is.True(confirms(12*time.Second, 5))
}

// A holder that fenced a share in use would help another instance to reclaim
// it.
func TestHolderRefusesToFenceUsableShare(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 11, 3)
	sim.waitUntil(startLimit, sim.allLent)
	var response share.FenceResponse
	sim.onMessage = func(_ *node, m share.Send) {
		if a, ok := m.Message.(share.FenceResponse); ok {
			response = a
		}
	}
	n := sim.nodes[0]
	held := n.state.UsableRights(n.clock(sim.now))
	sendRequest := func() {
		sim.handle(n, share.Received{From: sim.nodes[1].info.ID, Message: share.FenceRequest{Number: 1, Rights: held}})
	}
	is.True(len(held) > 0)
	sendRequest()
	is.Equal(len(response.Fenced), 0) // all its shares are in use
}

// Confirmations that an earlier holder gave can be live for a term. A new
// holder that voted earlier could fence a right that is still confirmed.
func TestNewHolderHasNoVoteForATerm(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 12, 1)
	n := sim.nodes[0]
	held := func() []share.Right { return n.state.UsableRights(n.clock(sim.now)) }
	sim.waitUntil(startLimit, func() bool { return len(held()) > 0 })
	first := held()[0].Share
	sim.run(10 * time.Second) // a term
	is.True(!held()[0].Voting)
	sim.run(5 * time.Second) // the margin, and a listing of the records
	is.Equal(held()[0].Share, first)
	is.True(held()[0].Voting)
}

// A delayed handover, or one to another run, could give a share a second holder
// after it was reclaimed.
func TestHandoverNeedsRecentRequest(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(*share.Handover)
		wantTaken bool
	}{
		{name: "valid", change: func(*share.Handover) {}, wantTaken: true},
		{name: "to another run", change: func(h *share.Handover) { h.Receiver++ }},
		{name: "to an unknown request", change: func(h *share.Handover) { h.RequestNumber += 9 }},
		{name: "without a Sequence", change: func(h *share.Handover) { h.Right.Sequence = 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSettledSimulation(t, 13, 3)
			from, to, other := sim.nodes[0], sim.nodes[1], sim.nodes[2]
			h := share.Handover{Receiver: to.info.Incarnation, Hop: 99, Right: other.state.UsableRights(other.clock(sim.now))[0]}
			sim.onMessage = func(n *node, m share.Send) {
				if a, ok := m.Message.(share.LeaseRequest); ok && n == to && m.To == from.info.Address {
					h.RequestNumber = a.Number
				}
			}
			sim.run(time.Second)
			c.change(&h)
			before := sim.decisions[share.TakenOver]
			sim.handle(to, share.Received{From: from.info.ID, Message: h})
			is.Equal(sim.decisions[share.TakenOver] > before, c.wantTaken)
		})
	}
}

// If half the votes were enough, both halves of a partitioned fleet could use
// the same shares.
func TestHalfTheVotesAreNotEnough(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 14, 2, share.Total(8))
	sim.total = 8
	sim.waitUntil(startLimit, sim.allLent)
	sim.run(settleTime)
	sim.storeDown = true
	sim.run(time.Minute)
	is.True(sim.allLent()) // together they keep all shares
	a, b := sim.nodes[0], sim.nodes[1]
	is.Equal(len(a.state.UsableRights(a.clock(sim.now))), 4)
	sim.cut[[2]instance.Address{a.info.Address, b.info.Address}] = true
	sim.cut[[2]instance.Address{b.info.Address, a.info.Address}] = true
	sim.run(12 * time.Second)
	for _, n := range sim.nodes {
		is.Equal(len(n.state.UsableRights(n.clock(sim.now))), 0) // alone, neither keeps any share
		is.True(!n.state.InContact(n.clock(sim.now)))
	}
}
