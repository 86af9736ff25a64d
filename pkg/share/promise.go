package share

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// round is one round of asking for promises.
type round struct {
	number uint64
	sent   time.Duration
	wanted []wanted
	// everyone says that all listed instances are asked, not only holders.
	everyone bool
}

// wanted is one share that is to be reclaimed, with the promises so far.
type wanted struct {
	right   Right
	version int64
	votes   map[Number]bool
	// instances are those that promised, whether they vote or not.
	instances map[instance.Address]bool
	done      bool
}

// proofAttempts is how many rounds ask for a majority's promises before all
// instances are asked too.
const proofAttempts = 2

// askPromises begins a round for the shares whose platform lease has lapsed.
func (s *State) askPromises(rights []Right) {
	c := &s.claim
	c.round = round{}
	if len(rights) == 0 {
		return
	}
	c.attempts++
	c.number++
	c.round = round{
		number:   c.number,
		sent:     s.now,
		everyone: c.attempts > proofAttempts && s.listProves(),
	}
	for _, r := range rights {
		c.round.wanted = append(c.round.wanted, wanted{
			right:     r,
			version:   c.records[r.Share].Version,
			votes:     map[Number]bool{},
			instances: map[instance.Address]bool{},
		})
	}
	m := FenceRequest{
		Number: c.number,
		Rights: rights,
	}
	for _, a := range s.promisers() {
		if a != s.self.Address {
			s.send(a, m)
		}
	}
	s.countPromises(s.self.Address, s.promise(s.self.Incarnation, m))
}

// promisers are the instances to ask: those that hold, or all that may live.
func (s *State) promisers() []instance.Address {
	var asked []instance.Address
	for _, x := range s.lenders.ordered {
		if x.member && len(x.rights) > 0 {
			asked = append(asked, x.id.Address)
		}
	}
	if s.claim.round.everyone {
		asked = append(asked, s.living()...)
	}
	slices.Sort(asked)
	return slices.Compact(asked)
}

// takePromise takes in the promises of another instance.
func (s *State) takePromise(from instance.ID, m FenceResponse) {
	if m.Requester == s.self.Incarnation && m.Number == s.claim.round.number && m.Number > 0 {
		s.countPromises(from.Address, m)
	}
}

// countPromises counts promises, and readies the claims that have enough.
func (s *State) countPromises(from instance.Address, m FenceResponse) {
	c := &s.claim
	for i := range c.round.wanted {
		w := &c.round.wanted[i]
		if w.done || !slices.Contains(m.Fenced, w.right.Share) {
			continue
		}
		w.instances[from] = true
		for _, v := range m.Votes {
			if s.valid(v) {
				w.votes[v] = true
			}
		}
		own := w.instances[s.self.Address]
		if own && (len(w.votes) > s.total/2 || s.everyonePromised(w)) {
			w.done = true
			c.ready = append(c.ready, swap{
				share:    w.right.Share,
				sequence: w.right.Sequence + 1,
				expected: w.version,
				action:   Reclaimed,
				deadline: s.borrow(c.round.sent, s.term).Until,
			})
		}
	}
}

// everyonePromised reports whether nobody is left who may use the share: all
// instances that aren't proved dead have promised.
func (s *State) everyonePromised(w *wanted) bool {
	if !s.claim.round.everyone {
		return false
	}
	for _, a := range s.living() {
		if !w.instances[a] {
			return false
		}
	}
	return true
}
