package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/quarantine"
)

const now = time.Minute

var f = quarantine.Fingerprint{1}

// strike adds a strike of f by a new connection.
func strike(tally *quarantine.Tally, target string) bool {
	return tally.AddStrike(now, f, quarantine.TallyStrike{
		Target: target,
	})
}

// Three different targets must be reported for a request, not one target three
// times.
func TestTallyRefusesWhatCrashedThreeTargets(t *testing.T) {
	is := is.New(t)
	tally := quarantine.NewTally()
	is.True(!tally.Suspect(now, f))
	is.True(!strike(tally, "desk-1"))
	is.True(!strike(tally, "desk-1")) // reported by two instances
	is.True(!strike(tally, "desk-2"))
	is.Equal(tally.Remaining(now, f), time.Duration(0))
	is.True(tally.Suspect(now, f))
	is.True(strike(tally, "desk-3"))
	is.True(!strike(tally, "desk-4")) // it was quarantined before
	is.Equal(tally.Remaining(now, f), quarantine.TallyTerm)
	is.Equal(tally.Remaining(now, quarantine.Fingerprint{2}), time.Duration(0))
	is.Equal(tally.Remaining(now+quarantine.TallyTerm, f), time.Duration(0))
	is.True(tally.Clear(f))
	is.Equal(tally.Remaining(now, f), time.Duration(0))
	is.True(!tally.Suspect(now, f))
}

// Guards against a request that is sent again so seldom that its first strikes are
// forgotten before the last one.
func TestTallyCountsStrikesThatAreMinutesApart(t *testing.T) {
	is := is.New(t)
	tally := quarantine.NewTally()
	for i, target := range []string{"desk-1", "desk-2", "desk-3"} {
		quarantined := tally.AddStrike(time.Duration(i+1)*4*time.Minute, f, quarantine.TallyStrike{
			Target: target,
		})
		is.Equal(quarantined, i == 2)
	}
}

// Guards against requests that are refused because targets dropped their idle
// connections, and against crashing requests that are never refused because each instance
// sends them on a kept connection.
func TestKeptConnectionsAloneQuarantineNothing(t *testing.T) {
	is := is.New(t)
	tally := quarantine.NewTally()
	for _, target := range []string{"desk-1", "desk-2", "desk-3", "desk-4"} {
		is.True(!tally.AddStrike(now, f, quarantine.TallyStrike{
			Target: target,
			Kept:   true,
		}))
	}
	is.True(tally.Suspect(now, f)) // so it is sent on a new connection next
	is.True(strike(tally, "desk-5"))
}

// Others need to clear a request only if one more strike would quarantine it there.
func TestClearIsToldFromTheSecondStrike(t *testing.T) {
	is := is.New(t)
	tally := quarantine.NewTally()
	is.True(!tally.Clear(f))
	strike(tally, "desk-1")
	is.True(!tally.Clear(f))
	strike(tally, "desk-1")
	strike(tally, "desk-2")
	is.True(tally.Clear(f))
}

// Guards against an entry that new instances don't find, and against one that every
// instance stores again with each refusal.
func TestQuarantinesAreStoredOnceAndRenewed(t *testing.T) {
	is := is.New(t)
	tally := quarantine.NewTally()
	unsaved := func(at time.Duration) bool {
		_, unsaved := tally.Unsaved(at, f)
		return unsaved
	}
	is.True(!unsaved(now))
	strike(tally, "desk-1")
	strike(tally, "desk-2")
	strike(tally, "desk-3")
	is.True(unsaved(now))
	targets, _ := tally.Unsaved(now, f)
	is.Equal(targets, []string{"desk-1", "desk-2", "desk-3"})
	tally.Stored(now, f, targets)
	is.True(!unsaved(now + quarantine.TallyTerm/2))
	is.True(unsaved(now + quarantine.TallyTerm*3/4))
	tally.Unstored(f)
	is.True(unsaved(now))
	is.Equal(tally.Remaining(now, f), quarantine.TallyTerm)
}

// The tally must not grow without bound, and the oldest strikes must make room for new
// ones.
func TestTallyIsBounded(t *testing.T) {
	is := is.New(t)
	tally := quarantine.NewTally()
	for i := range 100_000 {
		tally.AddStrike(0, quarantine.Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)}, quarantine.TallyStrike{
			Target: "desk-1",
		})
	}
	is.True(!tally.Suspect(0, quarantine.Fingerprint{1})) // dropped
	is.True(!strike(tally, "desk-1"))
	is.True(!strike(tally, "desk-2"))
	is.True(strike(tally, "desk-3"))
}

// Guards against a request that goes on crashing the same two targets, which start again
// under their names, and against requests that are refused because one target goes on
// crashing by itself.
func TestEachRunOfATargetCounts(t *testing.T) {
	type run struct {
		target      string
		incarnation int64
	}
	tests := []struct {
		name        string
		runs        []run
		quarantined bool
	}{
		{
			name:        "two targets, one of them twice",
			runs:        []run{{"desk-1", 10}, {"desk-2", 20}, {"desk-1", 30}},
			quarantined: true,
		},
		{
			name: "two targets, one run reported twice",
			runs: []run{{"desk-1", 10}, {"desk-2", 20}, {"desk-1", 10}},
		},
		{
			name: "a report without the run",
			runs: []run{{"desk-1", 10}, {"desk-2", 20}, {"desk-1", 0}},
		},
		{
			name: "one target only",
			runs: []run{{"desk-1", 10}, {"desk-1", 20}, {"desk-1", 30}, {"desk-1", 40}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tally := quarantine.NewTally()
			quarantined := false
			for _, r := range tt.runs {
				quarantined = tally.AddStrike(now, f, quarantine.TallyStrike{
					Target:      r.target,
					Incarnation: r.incarnation,
				}) || quarantined
			}
			is.Equal(quarantined, tt.quarantined)
		})
	}
}

// Guards against instances that start and aren't given the strikes that still count, or are given
// those of requests that are quarantined anyway.
func TestRecentStrikes(t *testing.T) {
	is := is.New(t)
	tally := quarantine.NewTally()
	strike := func(at time.Duration, request byte, target string) {
		tally.AddStrike(at, quarantine.Fingerprint{request}, quarantine.TallyStrike{Target: target, Incarnation: 1})
	}
	strike(0, 1, "a")
	strike(time.Minute, 2, "a")
	strike(time.Minute, 3, "a")
	strike(time.Minute, 3, "b")
	for _, target := range []string{"a", "b", "c"} {
		strike(time.Minute, 4, target)
	}
	is.Equal(tally.Suspects(), 4)
	requests := func(now time.Duration, limit int) []byte {
		var list []byte
		for _, s := range tally.Recent(now, limit) {
			list = append(list, s.Fingerprint[0])
		}
		return list
	}
	is.Equal(requests(time.Minute, 64), []byte{3, 3, 2, 1}) // the latest first, 4 is quarantined
	is.Equal(requests(time.Minute, 3), []byte{3, 3, 2})
	is.Equal(requests(quarantine.TallyTerm+1, 64), []byte{3, 3, 2}) // that of 1 is too old
}
