package outlier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/target"
)

// newTable returns a table of n targets, a third in each of the zones a, b, c.
func newTable(n int) *outlier.Table {
	t := outlier.New("a", rand.New(rand.NewPCG(1, 2)))
	var list []target.Registration
	for i := range n {
		list = append(list, target.Registration{
			Service: "desk",
			Target: document.Target{
				Name:    fmt.Sprintf("desk-%02d", i),
				Address: fmt.Sprintf("10.0.0.%d:80", i),
				Zone:    string(rune('a' + i%3)),
				Slots:   6,
			},
		})
	}
	t.Update(0, list)
	return t
}

// chosen counts the choices of many requests by target.
func chosen(t *outlier.Table, now time.Duration, r outlier.Request) map[string]int {
	counts := map[string]int{}
	for range 600 {
		c, ok := t.Choose(now, r)
		if !ok {
			continue
		}
		counts[c.Name]++
		t.Done(now, c.Name, target.Succeeded)
	}
	return counts
}

const now = time.Minute

func TestFailureAnywhereSparesTheOthers(t *testing.T) {
	tests := []struct {
		name    string
		see     func(*outlier.Table)
		ejected bool
	}{
		{
			name:    "a connection died elsewhere",
			see:     func(t *outlier.Table) { t.ReceiveOutcome(now, "desk-03", target.Crashed) },
			ejected: true,
		},
		{
			name:    "one server error elsewhere, as some requests fail by themselves",
			see:     func(t *outlier.Table) { t.ReceiveOutcome(now, "desk-03", target.Failed) },
			ejected: false,
		},
		{
			name: "two server errors within a second",
			see: func(t *outlier.Table) {
				t.ReceiveOutcome(now-time.Second, "desk-03", target.Failed)
				t.ReceiveOutcome(now, "desk-03", target.Failed)
			},
			ejected: true,
		},
		{
			name:    "one late answer elsewhere, where a link may be cut",
			see:     func(t *outlier.Table) { t.ReceiveOutcome(now, "desk-03", target.TimedOut) },
			ejected: false,
		},
		{
			name:    "an instance that can't connect elsewhere, where a link may be cut",
			see:     func(t *outlier.Table) { t.ReceiveOutcome(now, "desk-03", target.Refused) },
			ejected: false,
		},
		{
			name:    "own connection not made",
			see:     func(t *outlier.Table) { t.Done(now, "desk-03", target.Refused) },
			ejected: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(11)
			tt.see(table)
			counts := chosen(table, now, outlier.Request{})
			is.Equal(counts["desk-03"] == 0, tt.ejected)
			is.True(counts["desk-00"] > 0 && counts["desk-06"] > 0) // the others go on
		})
	}
}

func TestOnlyWhatOthersMustKnowIsTold(t *testing.T) {
	is := is.New(t)
	table := newTable(11)
	is.True(!table.Done(now, "desk-00", target.Succeeded))
	is.True(!table.Done(now, "desk-00", target.Cancelled))
	is.True(!table.Done(now, "desk-00", target.Refused)) // the own link may be cut
	is.True(table.Done(now, "desk-01", target.Crashed))
	is.True(!table.Done(now, "desk-01", target.Crashed)) // known already
}

// Four of six targets fail at once: the two that are left get all the work, also
// though they are fewer than half.
func TestFewTargetsLeftGetTheWork(t *testing.T) {
	is := is.New(t)
	table := newTable(6)
	for i := range 4 {
		table.ReceiveOutcome(now, fmt.Sprintf("desk-%02d", i), target.Crashed)
	}
	counts := chosen(table, now, outlier.Request{})
	is.Equal(counts["desk-04"]+counts["desk-05"], 600)
}

// All targets of a service have failed, some because they were overrun: the work
// is spread over those whose failures are the oldest, not heaped on one.
func TestAllOutSpreadsOverTheOldestFailures(t *testing.T) {
	is := is.New(t)
	table := newTable(6)
	for i := range 6 {
		table.ReceiveOutcome(now-time.Duration(i)*100*time.Millisecond, fmt.Sprintf("desk-%02d", i), target.Crashed)
	}
	counts := chosen(table, now, outlier.Request{})
	is.Equal(counts["desk-04"]+counts["desk-05"], 600)
	is.True(counts["desk-04"] > 0 && counts["desk-05"] > 0)
}

// Four of six targets reset what they get, and the other two, which now have
// everybody's work, turn slow or full: they go on getting it, since the four would
// lose most of it.
func TestOverrunTargetsAreBetterThanLosingOnes(t *testing.T) {
	tests := []struct {
		name string
		see  func(*outlier.Table, string)
	}{
		{
			name: "overdue",
			see:  func(t *outlier.Table, name string) { t.Overdue(now, name) },
		},
		{
			name: "late elsewhere, twice",
			see: func(t *outlier.Table, name string) {
				t.ReceiveOutcome(now, name, target.TimedOut)
				t.ReceiveOutcome(now, name, target.TimedOut)
			},
		},
		{
			name: "shedding",
			see:  func(t *outlier.Table, name string) { t.Done(now, name, target.Shed) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(6)
			for i := range 4 {
				table.ReceiveOutcome(now-2*time.Second, fmt.Sprintf("desk-%02d", i), target.Crashed)
			}
			tt.see(table, "desk-04")
			tt.see(table, "desk-05")
			counts := chosen(table, now, outlier.Request{})
			is.Equal(counts["desk-04"]+counts["desk-05"], 600)
			// Once the four are due for a trial, they get it.
			is.True(chosen(table, now+3*time.Second, outlier.Request{Repeatable: true})["desk-00"] > 0)
		})
	}
}

// A target that was slow while it also lost requests stays out as a losing one.
func TestSlownessHidesNoLoss(t *testing.T) {
	is := is.New(t)
	table := newTable(6)
	for i := range 6 {
		table.ReceiveOutcome(now-time.Second, fmt.Sprintf("desk-%02d", i), target.Crashed)
	}
	table.Overdue(now, "desk-00")
	table.Overdue(now-3*time.Second, "desk-01")
	is.Equal(chosen(table, now, outlier.Request{})["desk-00"], 0)
}

// A target that fails most requests still answers a few, so one success doesn't
// end its probation, and two do.
func TestTwoSuccessesEndAProbation(t *testing.T) {
	is := is.New(t)
	table := newTable(6)
	table.ReceiveOutcome(now, "desk-03", target.Crashed)
	back := now + 4*time.Second
	is.True(table.Done(back, "desk-03", target.Succeeded)) // told to the others
	is.Equal(chosen(table, back, outlier.Request{})["desk-03"], 0)
	table.ReceiveOutcome(back, "desk-03", target.Succeeded)
	is.True(chosen(table, back, outlier.Request{})["desk-03"] > 0)
	is.True(!table.Done(back, "desk-03", target.Succeeded)) // no news any more
}

// The last attempt of a repeatable request isn't spent on a target that may
// still be failing.
func TestSecondAttemptGoesToASoundTarget(t *testing.T) {
	is := is.New(t)
	table := newTable(6)
	table.ReceiveOutcome(now, "desk-03", target.Crashed)
	back := now + 4*time.Second
	request := outlier.Request{
		Repeatable: true,
		Avoid:      []string{"desk-01"},
	}
	is.Equal(chosen(table, back, request)["desk-03"], 0)
	is.Equal(chosen(table, back, request)["desk-01"], 0)
}

func TestReturningTargetGetsRepeatableRequestsFirst(t *testing.T) {
	is := is.New(t)
	table := newTable(6)
	table.ReceiveOutcome(now, "desk-03", target.Crashed)
	back := now + 3*time.Second + time.Millisecond
	is.Equal(chosen(table, back, outlier.Request{})["desk-03"], 0)
	is.True(chosen(table, back, outlier.Request{Repeatable: true})["desk-03"] > 0)
	is.True(chosen(table, back+20*time.Second, outlier.Request{})["desk-03"] > 0)
}

// Half of a zone's targets fail: the others get all the zone's work as long as they
// have free slots, and what is more goes to other zones.
func TestOwnZoneGetsWorkWhileItHasRoom(t *testing.T) {
	is := is.New(t)
	table := newTable(12)
	counts := chosen(table, now, outlier.Request{})
	is.Equal(len(counts), 4) // all four of the zone, and no other
	table.ReceiveOutcome(now, "desk-00", target.Crashed)
	table.ReceiveOutcome(now, "desk-03", target.Crashed)
	counts = map[string]int{}
	for range 20 {
		c, _ := table.Choose(now, outlier.Request{}) // none of them ends
		counts[c.Zone]++
	}
	is.Equal(counts["a"], 12) // two targets with six slots
	is.Equal(counts["b"]+counts["c"], 8)
}

// Two instances of a zone each have little running at a target, and together they
// fill it: each goes by what the other told.
func TestOthersLoadsCount(t *testing.T) {
	is := is.New(t)
	table := newTable(12)
	for _, name := range []string{"desk-00", "desk-03", "desk-06"} {
		table.ReceiveLoad(now, "other", outlier.Load{
			Target:  name,
			Running: 6,
		}, time.Second)
	}
	is.Equal(chosen(table, now, outlier.Request{})["desk-09"] > 250, true) // the lighter of two
	// What was told long ago counts no more.
	counts := chosen(table, now+time.Second, outlier.Request{})
	is.True(counts["desk-00"] > 100 && counts["desk-09"] < 200)
	// All of the zone are full.
	table.ReceiveLoad(now, "third", outlier.Load{
		Target:  "desk-09",
		Running: 6,
	}, time.Second)
	c, ok := table.Choose(now, outlier.Request{})
	is.True(ok)
	is.True(c.Zone != "a")
}

// Reports name what is in use, and once more what is in use no more.
func TestLoadsAreToldUntilTheyEnd(t *testing.T) {
	is := is.New(t)
	table := newTable(3)
	is.Equal(len(table.Loads()), 0)
	c, _ := table.Choose(now, outlier.Request{})
	want := []outlier.Load{{
		Target:  c.Name,
		Running: 1,
	}}
	is.Equal(table.Loads(), want)
	is.Equal(table.Loads(), want) // a lost report is made good by the next
	table.Done(now, c.Name, target.Succeeded)
	want[0].Running = 0
	is.Equal(table.Loads(), want)
	is.Equal(len(table.Loads()), 0)
}

func TestLeavingTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	table := outlier.New("a", rand.New(rand.NewPCG(1, 2)))
	table.Update(now, []target.Registration{{
		Service: "desk",
		Target: document.Target{
			Name:    "desk-00",
			Address: "10.0.0.1:80",
			Zone:    "a",
			Slots:   6,
			Leaving: true,
		},
	}})
	_, ok := table.Choose(now, outlier.Request{})
	is.True(!ok)
}
