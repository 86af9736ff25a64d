package quarantine

import "time"

// Limits of a Tally.
const (
	// tallyLimit is how many targets a request crashes before it is refused. With
	// fewer, requests that met targets with gray failures would be refused too.
	tallyLimit = 3
	// tallyTerm is how long strikes count.
	tallyTerm = time.Minute
	// sweepInterval is the least time between two sweeps over all fingerprints.
	sweepInterval = time.Second
	// maxTallySize bounds the number of fingerprints.
	maxTallySize = 4096
)

// Tally counts the targets that each request crashed, as far as one instance knows.
// It works without an authority. It is not safe for concurrent use.
type Tally struct {
	strikes map[Fingerprint][]timedStrike
	// sweptAt is when lapsed strikes were last deleted.
	sweptAt time.Duration
}

// timedStrike is a crashed target and when it was last reported.
type timedStrike struct {
	target string
	at     time.Duration
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		strikes: map[Fingerprint][]timedStrike{},
	}
}

// AddStrike records that the request crashed a target. Each target counts once. If the
// tally is full, new fingerprints are ignored.
func (t *Tally) AddStrike(now time.Duration, f Fingerprint, target string) {
	if len(t.strikes) >= maxTallySize && now-t.sweptAt >= sweepInterval {
		t.sweep(now)
	}
	list := t.strikes[f]
	for i := range list {
		if list[i].target == target {
			list[i].at = now
			return
		}
	}
	if list == nil && len(t.strikes) >= maxTallySize {
		return
	}
	t.strikes[f] = append(list, timedStrike{
		target: target,
		at:     now,
	})
}

// Clear deletes the strikes of a request that a target answered.
func (t *Tally) Clear(f Fingerprint) { delete(t.strikes, f) }

// Quarantined reports whether the request must not run.
func (t *Tally) Quarantined(now time.Duration, f Fingerprint) bool {
	n := 0
	for _, s := range t.strikes[f] {
		if now-s.at <= tallyTerm {
			n++
		}
	}
	return n >= tallyLimit
}

// sweep deletes the fingerprints of which the most recently added target's strike has
// lapsed, even if an earlier target's strike was renewed since.
func (t *Tally) sweep(now time.Duration) {
	t.sweptAt = now
	for f, list := range t.strikes {
		if now-list[len(list)-1].at > tallyTerm {
			delete(t.strikes, f)
		}
	}
}
