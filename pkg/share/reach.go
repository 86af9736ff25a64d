package share

import "time"

// ReachableShares counts the shares whose holders were heard within the term, and
// those that this instance may use itself.
func (s *State) ReachableShares(now time.Duration) int {
	shares := s.lenders.contact(now, s.total)
	for n, h := range s.held.byShare {
		if h != nil && h.usable(s, now) {
			shares[n] = true
		}
	}
	return count(shares)
}

// StoreReachable reports whether the store answered a call within the term.
func (s *State) StoreReachable(now time.Duration) bool { return s.keeper.heard.Live(now) }
