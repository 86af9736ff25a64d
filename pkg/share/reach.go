package share

import "time"

// ReachableShares returns the number of shares whose holder answered a request
// within the last term or which this instance may use itself.
func (s *State) ReachableShares(now time.Duration) int {
	shares := s.lenders.reachableShares(now, s.total)
	for n, h := range s.held.byShare {
		if h != nil && h.usable(s, now) {
			shares[n] = true
		}
	}
	return countTrue(shares)
}

// StoreReachable reports whether the store answered a call within the last
// term.
func (s *State) StoreReachable(now time.Duration) bool { return s.session.contact.Live(now) }
