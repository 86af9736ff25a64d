package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of a Tally.
const (
	// tallyLimit is how many runs of targets a request crashes before it is refused. With
	// fewer, requests that met targets with gray failures would be refused too.
	tallyLimit = 3
	// TallyTerm is how long strikes count and how long a request is refused, unless
	// it is quarantined again. It is the longest term of a lease in the platform's store.
	TallyTerm = 10 * time.Minute
	// maxSuspects bounds the number of requests whose strikes are kept. The ones whose
	// last strike is the oldest are dropped.
	maxSuspects = 16384
	// maxQuarantined bounds the number of requests that are refused.
	maxQuarantined = 4096
	// minCrashedTargets is how many different targets are among those that a request must
	// crash, so that one target that goes on crashing by itself quarantines nothing.
	minCrashedTargets = 2
	// maxStrikes bounds the strikes that are kept of one request.
	maxStrikes = 16
)

// Tally counts the runs of targets that each request crashed, as far as one instance knows. It
// works without an authority: instances report strikes to each other, Recent ones also to those
// that start later, and store the quarantined requests where these find them. It is not safe for
// concurrent use.
type Tally struct {
	suspects *simplelru.LRU[Fingerprint, []timedStrike]
	// quarantined holds the requests that are refused.
	quarantined map[Fingerprint]quarantineEntry
}

// TallyStrike is the end of a target's connection while a request ran there.
type TallyStrike struct {
	Target string
	// Incarnation identifies the run of the target. If it is zero, any run is meant.
	Incarnation int64
	// Kept is set if the connection had served an earlier request, so that the target may
	// only have dropped it.
	Kept bool
	// Own is set if this instance has seen the strike itself.
	Own bool
}

// timedStrike is a strike and when it was last reported.
type timedStrike struct {
	TallyStrike
	at time.Duration
}

// quarantineEntry says that a request must not run.
type quarantineEntry struct {
	until time.Duration
	// targets are those that the request crashed, as far as known.
	targets []string
	// storedAt is when the entry was last stored where others find it, and zero if it
	// isn't there.
	storedAt time.Duration
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	suspects, err := simplelru.NewLRU[Fingerprint, []timedStrike](maxSuspects, nil)
	if err != nil {
		panic(err) // only if maxSuspects isn't positive
	}
	return &Tally{
		suspects:    suspects,
		quarantined: map[Fingerprint]quarantineEntry{},
	}
}

// sameRun reports whether two strikes are of the same run of a target, as far as known.
func (s TallyStrike) sameRun(other TallyStrike) bool {
	return s.Target == other.Target &&
		(s.Incarnation == other.Incarnation || s.Incarnation == 0 || other.Incarnation == 0)
}

// AddStrike records a strike of the request. Each run of a target counts once. It reports
// whether the request is quarantined now and wasn't before.
func (t *Tally) AddStrike(now time.Duration, f Fingerprint, s TallyStrike) bool {
	list, _ := t.suspects.Get(f)
	list = slices.DeleteFunc(list, func(old timedStrike) bool {
		same := old.sameRun(s)
		if same {
			s.Kept = s.Kept && old.Kept
			s.Own = s.Own || old.Own
			s.Incarnation = max(s.Incarnation, old.Incarnation)
		}
		return same || now-old.at > TallyTerm
	})
	list = list[max(0, len(list)-maxStrikes+1):]
	list = append(list, timedStrike{
		TallyStrike: s,
		at:          now,
	})
	t.suspects.Add(f, list)
	if !overLimit(list) || t.Remaining(now, f) > 0 {
		return false
	}
	targets := make([]string, len(list))
	for i, s := range list {
		targets[i] = s.Target
	}
	return t.quarantine(now, f, quarantineEntry{
		until:   now + TallyTerm,
		targets: targets,
	})
}

// overLimit reports whether the strikes quarantine a request. Kept connections alone don't,
// because targets that drop idle connections drop many of them.
func overLimit(list []timedStrike) bool {
	crashed := 0
	names := map[string]struct{}{}
	for _, s := range list {
		names[s.Target] = struct{}{}
		if !s.Kept {
			crashed++
		}
	}
	return crashed > 0 && len(list) >= tallyLimit && len(names) >= minCrashedTargets
}

// quarantine records that a request must not run. It reports false if there are too many.
func (t *Tally) quarantine(now time.Duration, f Fingerprint, e quarantineEntry) bool {
	if _, ok := t.quarantined[f]; !ok && len(t.quarantined) >= maxQuarantined {
		maps.DeleteFunc(t.quarantined, func(_ Fingerprint, e quarantineEntry) bool { return now >= e.until })
		if len(t.quarantined) >= maxQuarantined {
			return false
		}
	}
	t.quarantined[f] = e
	return true
}

// Stored records that the request's entry has just been stored where others find it,
// with the targets that it crashed.
func (t *Tally) Stored(now time.Duration, f Fingerprint, targets []string) {
	t.quarantine(now, f, quarantineEntry{
		until:    now + TallyTerm,
		targets:  targets,
		storedAt: now,
	})
}

// Unstored records that a request's entry isn't to be found any more where others find it,
// although it is quarantined.
func (t *Tally) Unstored(f Fingerprint) {
	if c, ok := t.quarantined[f]; ok {
		c.storedAt = 0
		t.quarantined[f] = c
	}
}

// Unsaved returns the targets that a quarantined request crashed, and true if its entry
// must be stored: others may not find it, or not for much longer.
func (t *Tally) Unsaved(now time.Duration, f Fingerprint) ([]string, bool) {
	c, ok := t.quarantined[f]
	if !ok || now >= c.until {
		return nil, false
	}
	return c.targets, c.storedAt == 0 || now-c.storedAt > TallyTerm/2
}

// AllUnsaved returns the quarantined requests whose entries must be stored.
func (t *Tally) AllUnsaved(now time.Duration) []Fingerprint {
	var list []Fingerprint
	for f := range t.quarantined {
		if _, unsaved := t.Unsaved(now, f); unsaved {
			list = append(list, f)
		}
	}
	return list
}

// Suspects returns the number of requests whose strikes are kept.
func (t *Tally) Suspects() int { return t.suspects.Len() }

// SuspectStrike is a strike of a request.
type SuspectStrike struct {
	Fingerprint Fingerprint
	TallyStrike
}

// Recent returns the strikes that still count of the requests that aren't quarantined, those of
// the latest requests first. It ends with the request with which there are limit strikes.
func (t *Tally) Recent(now time.Duration, limit int) []SuspectStrike {
	var recent []SuspectStrike
	for _, f := range slices.Backward(t.suspects.Keys()) {
		if len(recent) >= limit {
			break
		}
		if t.Remaining(now, f) > 0 {
			continue
		}
		list, _ := t.suspects.Peek(f)
		for _, s := range list {
			if now-s.at <= TallyTerm {
				recent = append(recent, SuspectStrike{
					Fingerprint: f,
					TallyStrike: s.TallyStrike,
				})
			}
		}
	}
	return recent
}

// Remaining returns how long the request must not run, and zero if it may.
func (t *Tally) Remaining(now time.Duration, f Fingerprint) time.Duration {
	return max(t.quarantined[f].until-now, 0)
}

// HasOwn reports whether this instance has seen a strike of the request itself.
func (t *Tally) HasOwn(f Fingerprint) bool {
	list, _ := t.suspects.Peek(f)
	return slices.ContainsFunc(list, func(s timedStrike) bool { return s.Own })
}

// Suspect reports whether the request has any strikes.
func (t *Tally) Suspect(now time.Duration, f Fingerprint) bool {
	list, ok := t.suspects.Peek(f)
	return ok && now-list[len(list)-1].at <= TallyTerm
}

// Clear ends the quarantine and deletes the strikes of a request that a target answered. It
// reports whether the other instances should clear it, too, because one more strike would
// have quarantined it.
func (t *Tally) Clear(f Fingerprint) bool {
	list, _ := t.suspects.Peek(f)
	_, quarantined := t.quarantined[f]
	t.suspects.Remove(f)
	delete(t.quarantined, f)
	return quarantined || len(list) >= tallyLimit-1
}
