package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/target"
)

// peer and remote are instances of the own zone and of another.
var (
	peer   = outlier.Grantee{Instance: "10.1.0.1:7000", Term: time.Second}
	remote = outlier.Grantee{Instance: "10.2.0.1:7000", Remote: true, Term: 3 * time.Second}
)

// Guards against grants that leave some target of the zone idle while another is full, that exceed
// the slots, or that go to another zone.
func TestGrantsFillTheZoneEvenly(t *testing.T) {
	is := is.New(t)
	table := newTable(12) // four targets of the own zone, with six slots each
	for _, name := range []string{"desk-00", "desk-03"} {
		table.ReceiveLoad(now, "10.1.0.2:7000", outlier.Load{Target: name, Running: 2}, time.Minute)
	}
	for n := range 20 {
		to := []outlier.Grantee{peer, {}}[n%2]
		granted, ok := table.Grant(now, to, outlier.Request{})
		is.True(ok)
		is.Equal(granted.Zone, "a")
		if n < 4 {
			is.True(granted.Name == "desk-06" || granted.Name == "desk-09")
		}
	}
	_, ok := table.Grant(now, peer, outlier.Request{})
	is.True(!ok)
	is.Equal(table.Room(now), outlier.Room{Targets: 4, Slots: 24, InUse: 24})
	table.Ungrant(now, peer, "desk-03")
	granted, ok := table.Grant(now, peer, outlier.Request{})
	is.True(ok)
	is.Equal(granted.Name, "desk-03")
}

// Guards against slots that stay in use after a release or a report was lost, and against reports
// that were made before a grant or a release and undo it.
func TestCountsOfGrantsEnd(t *testing.T) {
	const ms = time.Millisecond
	type event func(*outlier.Table, string)
	release := func(at time.Duration) event {
		return func(table *outlier.Table, name string) { table.Ungrant(now+at, peer, name) }
	}
	report := func(at time.Duration, running int) event {
		return func(table *outlier.Table, name string) {
			table.ReceiveLoad(now+at, peer.Instance, outlier.Load{Target: name, Running: running}, time.Second)
		}
	}
	tests := []struct {
		name   string
		to     outlier.Grantee
		events []event
		// after is the time of the look, and inUse what is to be counted.
		after time.Duration
		inUse int
	}{
		{name: "a grant counts at once", to: peer, inUse: 1},
		{name: "a release ends it", to: peer, events: []event{release(40 * ms)}, after: 40 * ms},
		{name: "a report of something else doesn't count before it can know", to: peer, events: []event{report(50*ms, 0)}, after: 60 * ms, inUse: 1},
		{name: "a later report replaces it", to: peer, events: []event{report(150*ms, 0)}, after: 150 * ms},
		{name: "a report keeps it", to: peer, events: []event{report(900*ms, 1)}, after: 1800 * ms, inUse: 1},
		{name: "a report before a release doesn't undo that", to: peer, events: []event{release(500 * ms), report(510*ms, 1)}, after: 520 * ms},
		{name: "without reports it ends with its term", to: peer, after: time.Second},
		{name: "one of another zone lasts as long as its request", to: remote, after: 2999 * ms, inUse: 1},
		{name: "and no longer", to: remote, after: 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(1)
			granted, ok := table.Grant(now, tt.to, outlier.Request{})
			is.True(ok)
			for _, apply := range tt.events {
				apply(table, granted.Name)
			}
			is.Equal(table.InUse(now+tt.after, granted.Name), tt.inUse)
		})
	}
}

// Guards against grants of targets that the asking instance or the allocator doesn't use, and
// against attempts beside others at busy targets.
func TestGrantsPassOverTargets(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*outlier.Table)
		request outlier.Request
		want    string
	}{
		{name: "tried", request: outlier.Request{Avoid: []string{"desk-00"}}, want: "desk-03"},
		{name: "tried, and there is no other", request: outlier.Request{Avoid: []string{"desk-00", "desk-03"}}, want: "any"},
		{name: "unfit for the instance", request: outlier.Request{Unfit: []string{"desk-00"}}, want: "desk-03"},
		{name: "held", prepare: func(t *outlier.Table) { t.HoldFor(now+time.Second, "desk-00") }, want: "desk-03"},
		{name: "ejected", prepare: func(t *outlier.Table) { t.Observe(now, "desk-00", target.Crashed) }, want: "desk-03"},
		{
			name: "too busy for an attempt beside another",
			prepare: func(t *outlier.Table) {
				for _, name := range []string{"desk-00", "desk-03"} {
					t.ReceiveLoad(now, peer.Instance, outlier.Load{Target: name, Running: 3}, time.Second)
				}
			},
			request: outlier.Request{Spare: true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(6)
			if tt.prepare != nil {
				tt.prepare(table)
			}
			for range 6 {
				granted, ok := table.Grant(now, peer, tt.request)
				is.Equal(ok, tt.want != "")
				if tt.want != "any" {
					is.Equal(granted.Name, tt.want)
				}
			}
		})
	}
}

// Guards against requests at a granted target that the instance may not use, and against a lost
// release that no report corrects because the request ended between two of them.
func TestTakenTargetsAreReported(t *testing.T) {
	is := is.New(t)
	table := newTable(4)
	_, ok := table.Take(now, "desk-99")
	is.True(!ok)
	table.Rest(now+time.Second, "desk-00")
	_, ok = table.Take(now, "desk-00")
	is.True(!ok)
	is.Equal(table.Unfit(now, 8), []string{"desk-00"})
	taken, ok := table.Take(now, "desk-01") // of another zone
	is.True(ok)
	table.Done(now, taken.Name, target.Succeeded)
	is.Equal(table.Loads(), []outlier.Load{{Target: "desk-01"}})
	is.Equal(len(table.Loads()), 0)
}

// The cost of a grant among as many targets as the largest services have in a zone.
func BenchmarkGrant(b *testing.B) {
	const targets = 200
	table := newTable(3 * targets)
	for i := range targets {
		for p := range 3 {
			table.ReceiveLoad(now, fmt.Sprint("peer-", p), outlier.Load{Target: fmt.Sprintf("desk-%02d", 3*i), Running: 1}, time.Hour)
		}
	}
	for b.Loop() {
		granted, _ := table.Grant(now, peer, outlier.Request{})
		table.Ungrant(now, peer, granted.Name)
	}
}
