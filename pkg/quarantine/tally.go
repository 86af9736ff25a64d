package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of a Tally.
const (
	// tallyLimit is how many targets a request crashes before it is refused. With
	// fewer, requests that met targets with gray failures would be refused too.
	tallyLimit = 3
	// ConvictionTerm is how long strikes count and how long a request is refused, unless
	// it is convicted again. It is the longest term of a lease in the platform's store.
	ConvictionTerm = 10 * time.Minute
	// maxSuspects bounds the number of requests whose strikes are kept. The ones whose
	// last strike is the oldest are dropped.
	maxSuspects = 16384
	// maxConvictions bounds the number of requests that are refused.
	maxConvictions = 4096
)

// Tally counts the targets that each request crashed, as far as one instance knows. It
// works without an authority: instances tell each other of strikes, and keep convictions
// where instances that start later find them. It is not safe for concurrent use.
type Tally struct {
	suspects *simplelru.LRU[Fingerprint, []timedStrike]
	// convictions holds the requests that are refused.
	convictions map[Fingerprint]conviction
}

// TallyStrike is the end of a target's connection while a request ran there.
type TallyStrike struct {
	Target string
	// Kept is set if the connection had served an earlier request, so that the target may
	// only have dropped it.
	Kept bool
}

// timedStrike is a strike and when it was last reported.
type timedStrike struct {
	TallyStrike
	at time.Duration
}

// conviction says that a request must not run.
type conviction struct {
	until time.Duration
	// targets are those that the request crashed, as far as known.
	targets []string
	// storedAt is when the conviction was last stored where others find it, and zero if it
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
		convictions: map[Fingerprint]conviction{},
	}
}

// AddStrike records a strike of the request. Each target counts once. It reports whether
// the request is convicted now and wasn't before.
func (t *Tally) AddStrike(now time.Duration, f Fingerprint, s TallyStrike) bool {
	list, _ := t.suspects.Get(f)
	list = slices.DeleteFunc(list, func(old timedStrike) bool {
		if old.Target == s.Target {
			s.Kept = s.Kept && old.Kept
		}
		return old.Target == s.Target || now-old.at > ConvictionTerm
	})
	list = append(list, timedStrike{
		TallyStrike: s,
		at:          now,
	})
	t.suspects.Add(f, list)
	if !guilty(list) || t.Remaining(now, f) > 0 {
		return false
	}
	targets := make([]string, len(list))
	for i, s := range list {
		targets[i] = s.Target
	}
	return t.convict(now, f, conviction{
		until:   now + ConvictionTerm,
		targets: targets,
	})
}

// guilty reports whether the strikes convict a request. Kept connections alone don't,
// because targets that drop idle connections drop many of them.
func guilty(list []timedStrike) bool {
	crashed := 0
	for _, s := range list {
		if !s.Kept {
			crashed++
		}
	}
	return crashed > 0 && len(list) >= tallyLimit
}

// convict records a conviction. It reports false if there are too many.
func (t *Tally) convict(now time.Duration, f Fingerprint, c conviction) bool {
	if _, ok := t.convictions[f]; !ok && len(t.convictions) >= maxConvictions {
		maps.DeleteFunc(t.convictions, func(_ Fingerprint, c conviction) bool { return now >= c.until })
		if len(t.convictions) >= maxConvictions {
			return false
		}
	}
	t.convictions[f] = c
	return true
}

// Stored records that the request's conviction has just been stored where others find it,
// with the targets that it crashed.
func (t *Tally) Stored(now time.Duration, f Fingerprint, targets []string) {
	t.convict(now, f, conviction{
		until:    now + ConvictionTerm,
		targets:  targets,
		storedAt: now,
	})
}

// Unstored records that a conviction isn't to be found any more where others find it,
// although it holds.
func (t *Tally) Unstored(f Fingerprint) {
	if c, ok := t.convictions[f]; ok {
		c.storedAt = 0
		t.convictions[f] = c
	}
}

// Unsaved returns the targets that a convicted request crashed, and true if its conviction
// must be stored: others may not find it, or not for much longer.
func (t *Tally) Unsaved(now time.Duration, f Fingerprint) ([]string, bool) {
	c, ok := t.convictions[f]
	if !ok || now >= c.until {
		return nil, false
	}
	return c.targets, c.storedAt == 0 || now-c.storedAt > ConvictionTerm/2
}

// AllUnsaved returns the requests whose conviction must be stored.
func (t *Tally) AllUnsaved(now time.Duration) []Fingerprint {
	var list []Fingerprint
	for f := range t.convictions {
		if _, unsaved := t.Unsaved(now, f); unsaved {
			list = append(list, f)
		}
	}
	return list
}

// Remaining returns how long the request must not run, and zero if it may.
func (t *Tally) Remaining(now time.Duration, f Fingerprint) time.Duration {
	return max(t.convictions[f].until-now, 0)
}

// Suspect reports whether the request has any strikes.
func (t *Tally) Suspect(now time.Duration, f Fingerprint) bool {
	list, ok := t.suspects.Peek(f)
	return ok && now-list[len(list)-1].at <= ConvictionTerm
}

// Clear deletes the strikes and the conviction of a request that a target answered. It
// reports whether the other instances should clear it, too, because one more strike would
// have convicted it.
func (t *Tally) Clear(f Fingerprint) bool {
	list, _ := t.suspects.Peek(f)
	_, convicted := t.convictions[f]
	t.suspects.Remove(f)
	delete(t.convictions, f)
	return convicted || len(list) >= tallyLimit-1
}
