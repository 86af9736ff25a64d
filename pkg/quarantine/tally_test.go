package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/quarantine"
)

// Three different targets must be reported for a request, not one target three
// times.
func TestTallyRefusesWhatCrashedThreeTargets(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	f := quarantine.Fingerprint{1}
	tally := quarantine.NewTally()
	tally.AddStrike(now, f, "desk-1")
	tally.AddStrike(now, f, "desk-1") // reported by two instances
	tally.AddStrike(now, f, "desk-2")
	is.True(!tally.Quarantined(now, f))
	tally.AddStrike(now, f, "desk-3")
	is.True(tally.Quarantined(now, f))
	is.True(!tally.Quarantined(now, quarantine.Fingerprint{2}))
	is.True(!tally.Quarantined(now+2*time.Minute, f))
	tally.Clear(f)
	is.True(!tally.Quarantined(now, f))
}

// The tally must not grow without bound, and lapsed strikes must make room for new
// ones.
func TestTallyIsBounded(t *testing.T) {
	is := is.New(t)
	tally := quarantine.NewTally()
	for i := range 100_000 {
		tally.AddStrike(0, quarantine.Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)}, "desk-1")
	}
	last := quarantine.Fingerprint{0xff, 0xff, 0xff}
	for _, name := range []string{"desk-1", "desk-2", "desk-3"} {
		tally.AddStrike(2*time.Minute, last, name) // the old ones are deleted
	}
	is.True(tally.Quarantined(2*time.Minute, last))
}
