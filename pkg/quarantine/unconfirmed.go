package quarantine

import (
	"slices"
	"time"
)

const (
	// confirmTerm is how long a strike waits for its confirmation. The registration of a
	// target that has crashed ends within a few seconds.
	confirmTerm = 15 * time.Second
	// maxUnconfirmed bounds the strikes that wait. The oldest ones are dropped.
	maxUnconfirmed = 1024
)

// Unconfirmed holds strikes that this instance has seen while its own links may have been
// lost, so that the target may not have crashed. Such a strike counts once the target's run
// turns out to have ended. An Unconfirmed is not safe for concurrent use.
type Unconfirmed struct {
	strikes []OwnStrike
}

// OwnStrike is a strike that this instance has seen itself.
type OwnStrike struct {
	TallyStrike
	Fingerprint Fingerprint
	// RequestID is for logs.
	RequestID string
	// At is when the connection ended.
	At time.Duration
}

// Add adds a strike.
func (u *Unconfirmed) Add(s OwnStrike) {
	u.strikes = append(u.strikes, s)
	u.strikes = u.strikes[max(0, len(u.strikes)-maxUnconfirmed):]
}

// Confirm removes and returns the strikes that count now. ended reports whether a run of a
// target has ended.
func (u *Unconfirmed) Confirm(now time.Duration, ended func(target string, incarnation int64) bool) []OwnStrike {
	var confirmed []OwnStrike
	u.strikes = slices.DeleteFunc(u.strikes, func(s OwnStrike) bool {
		switch {
		case now-s.At > confirmTerm:
			return true
		case !ended(s.Target, s.Incarnation):
			return false
		}
		confirmed = append(confirmed, s)
		return true
	})
	return confirmed
}

// Clear removes the strikes of a request that a target answered.
func (u *Unconfirmed) Clear(f Fingerprint) {
	u.strikes = slices.DeleteFunc(u.strikes, func(s OwnStrike) bool { return s.Fingerprint == f })
}
