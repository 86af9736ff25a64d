package zoneload_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/zoneload"
)

const (
	begin       = time.Minute
	serviceTime = 100 * time.Millisecond
)

func report(slots, inUse int) zoneload.Report {
	return zoneload.Report{Service: "search", Zone: "b", Targets: slots, Slots: slots, InUse: inUse, ServiceTime: serviceTime}
}

// newTable returns zone a's table, which received the reports at begin.
func newTable(reports ...zoneload.Report) *zoneload.Table {
	table := zoneload.New("a")
	for _, r := range reports {
		table.Receive(begin, r)
	}
	return table
}

// times calls a method of a table n times for the service in zone b.
func times(n int, event func(now time.Duration, service, zone string), now time.Duration) {
	for range n {
		event(now, "search", "b")
	}
}

func free(t *zoneload.Table, now time.Duration) int {
	return t.Zones(now, "search", []string{"a", "b"})[0].Free
}

// Guards against requests that a zone would decline: those that its own callers and its reserve need.
func TestSpareSlots(t *testing.T) {
	tests := []struct {
		name    string
		slots   int
		inUse   int
		waiting int
		want    int
	}{
		{name: "reserve of one slot in 20", slots: 100, inUse: 50, want: 45},
		{name: "reserve of one slot at least", slots: 4, inUse: 1, want: 2},
		{name: "only the reserve is free", slots: 4, inUse: 3, want: 0},
		{name: "own callers wait", slots: 40, inUse: 30, waiting: 5, want: 3},
		{name: "more in use than there are slots, after targets were lost", slots: 4, inUse: 9, want: 0},
		{name: "no targets", want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := report(tt.slots, tt.inUse)
			r.Waiting = tt.waiting
			is.Equal(r.Spare(), tt.want)
			is.Equal(free(newTable(r), begin), tt.want)
		})
	}
}

// Guards against sending a zone more than it has free between two of its reports.
func TestSentCountsAgainstFree(t *testing.T) {
	is := is.New(t)
	table := newTable(report(20, 10))
	is.Equal(free(table, begin), 9)
	times(9, table.Sent, begin)
	is.Equal(free(table, begin+time.Millisecond), 0)
	table.Sent(begin, "search", "b")
	is.Equal(free(table, begin+time.Millisecond), 0)
}

// Guards against a zone that reports every second getting, in that second, only as many requests as it
// has free slots, and many at once after the next report; and against requests that ended
// before the report leaving more slots than the zone has.
func TestEndedRequestsFreeTheirSlots(t *testing.T) {
	tests := []struct {
		name          string
		inUse         int
		before, after int // free slots while the nine requests are there, and when they have ended
	}{
		{name: "included in the report", inUse: 19, after: 9},
		{name: "some ended before the report", inUse: 6, before: 13, after: 19},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(report(20, 10))
			times(9, table.Sent, begin)
			table.Receive(begin+50*time.Millisecond, report(20, tt.inUse))
			is.Equal(free(table, begin+100*time.Millisecond), tt.before)
			is.Equal(free(table, begin+150*time.Millisecond), tt.after)
		})
	}
}

// Guards against requests that are on their way while a report is counting as neither.
func TestReportDoesNotIncludeWhatIsOnItsWay(t *testing.T) {
	is := is.New(t)
	trips := zoneload.NewRoundTrips()
	trips.Receive(begin, "b", "b:1", zoneload.Stamp{Echo: begin - 40*time.Millisecond})
	table := zoneload.New("a", zoneload.WithRoundTrips(trips))
	table.Sent(begin, "search", "b")
	table.Sent(begin+30*time.Millisecond, "search", "b")
	table.Receive(begin+45*time.Millisecond, report(20, 11))
	is.Equal(free(table, begin+45*time.Millisecond), 7)
}

// Guards against what a zone may get depending on reports that were replaced.
func TestLaterReportReplacesEarlier(t *testing.T) {
	is := is.New(t)
	table := newTable(report(20, 0))
	table.Receive(begin+250*time.Millisecond, report(40, 38))
	s := table.Zones(begin+300*time.Millisecond, "search", []string{"b"})[0]
	is.Equal(s, zoneload.State{Report: report(40, 38), Age: 50 * time.Millisecond, Free: 0})
}

// Guards against an old report being believed, and against a zone that is never used again because its
// reports don't arrive.
func TestReportIsDiscountedByAge(t *testing.T) {
	tests := []struct {
		name  string
		inUse int
		age   time.Duration
		want  int
	}{
		{name: "fresh", want: 95},
		{name: "the next is not overdue yet", age: time.Second, want: 95},
		{name: "overdue by an interval", age: 2050 * time.Millisecond, want: 48},
		{name: "overdue by five intervals", age: 6050 * time.Millisecond, want: 3},
		{name: "nearly forgotten", age: 59 * time.Second, want: 1},
		{name: "short of slots: overdue by an interval of 250 ms", inUse: 80, age: 550 * time.Millisecond, want: 8},
		{name: "full", inUse: 100, age: 2900 * time.Millisecond, want: 0},
		{name: "full, long ago", inUse: 100, age: 3 * time.Second, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(free(newTable(report(100, tt.inUse)), begin+tt.age), tt.want)
		})
	}
}

// Guards against flooding a zone of which nothing is known, and against never trying it.
func TestZoneWithoutReportsGetsOneRequestAtATime(t *testing.T) {
	is := is.New(t)
	table := newTable()
	s := table.Zones(begin, "search", []string{"a", "b"})
	is.Equal(len(s), 1)
	is.Equal(s[0].Zone, "b")
	is.Equal(s[0].Age, zoneload.NeverReceived)
	is.Equal(s[0].Free, 1)
	table.Sent(begin, "search", "b")
	is.Equal(free(table, begin+249*time.Millisecond), 0)
	is.Equal(free(table, begin+250*time.Millisecond), 1)
}

// Guards against sending more requests in vain to a zone that declines.
func TestDeclinedZoneIsPaused(t *testing.T) {
	is := is.New(t)
	table := newTable(report(20, 10))
	table.Sent(begin, "search", "b")
	table.Declined(begin, "search", "b")
	is.Equal(free(table, begin+99*time.Millisecond), 0)
	is.Equal(free(table, begin+100*time.Millisecond), 9)
	table.Declined(begin+time.Second, "search", "b")
	table.Receive(begin+time.Second+time.Millisecond, report(20, 12))
	is.Equal(free(table, begin+time.Second+time.Millisecond), 7)
}

// Guards against requests that lose time one after another at a zone that doesn't answer, and against
// a pause of a second for a zone that accepts most requests.
func TestTwoDeclinedInARowPauseForASecond(t *testing.T) {
	const step = 200 * time.Millisecond
	type burst struct {
		before                   time.Duration
		sent, declined, accepted int
	}
	tests := []struct {
		name   string
		bursts []burst
		want   int
	}{
		{name: "two in a row", bursts: []burst{{before: step, sent: 1, declined: 1}, {sent: 1, declined: 1}}, want: 0},
		{name: "bursts in a row, of which nothing is answered", bursts: []burst{{before: step, sent: 2, declined: 2}, {sent: 2, declined: 1}}, want: 0},
		{name: "two that were in flight together", bursts: []burst{{sent: 2, declined: 2}}, want: 9},
		{name: "one accepted with the first", bursts: []burst{{before: step, sent: 2, declined: 1}, {sent: 1, declined: 1}}, want: 9},
		{
			name:   "one accepted before the second",
			bursts: []burst{{before: 2 * step, sent: 1, declined: 1}, {before: step, sent: 1}, {sent: 1, declined: 1}},
			want:   9,
		},
		{
			name:   "one said to be accepted",
			bursts: []burst{{before: step, sent: 1, declined: 1, accepted: 1}, {sent: 1, declined: 1}},
			want:   9,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			for _, e := range tt.bursts {
				times(e.sent, table.Sent, begin-e.before)
				times(e.declined, table.Declined, begin-e.before)
				times(e.accepted, table.Accepted, begin-e.before)
			}
			table.Receive(begin+500*time.Millisecond, report(20, 10))
			is.Equal(free(table, begin+999*time.Millisecond), tt.want)
			is.Equal(free(table, begin+time.Second), 9)
		})
	}
}

// Guards against one service's requests or reports counting for another, and against a zone that
// believes reports of itself.
func TestServicesAreSeparate(t *testing.T) {
	is := is.New(t)
	table := newTable(report(20, 10))
	table.Sent(begin, "orders", "b")
	table.Declined(begin, "orders", "b")
	is.Equal(free(table, begin), 9)
	own := report(20, 0)
	own.Zone = "a"
	table.Receive(begin, own)
	is.Equal(table.Len(), 2)
}

// Guards against memory that grows with services and zones that are gone.
func TestForgetsWhatIsGone(t *testing.T) {
	is := is.New(t)
	table := newTable(report(20, 10))
	table.Sent(begin, "orders", "c")
	table.Retain(func(_, zone string) bool { return zone == "b" })
	is.Equal(table.Len(), 1)
	is.Equal(free(table, begin), 9)
	table.Sent(begin+time.Minute, "orders", "c")
	is.Equal(table.Len(), 1)
	is.Equal(table.Zones(begin+time.Minute, "search", []string{"b"})[0].Age, zoneload.NeverReceived)
}

// Guards against reports that come too late for a crowded zone, and against messages that nobody needs.
func TestDue(t *testing.T) {
	tests := []struct {
		name    string
		slots   int
		inUse   int
		waiting int
		idle    bool
		since   time.Duration
		want    bool
	}{
		{name: "calm", slots: 20, inUse: 15, since: 999 * time.Millisecond, want: false},
		{name: "calm, after a second", slots: 20, inUse: 15, since: time.Second, want: true},
		{name: "less than a quarter free", slots: 20, inUse: 16, since: 250 * time.Millisecond, want: true},
		{name: "less than a quarter free, too early", slots: 20, inUse: 16, since: 249 * time.Millisecond, want: false},
		{name: "requests wait without any target", waiting: 1, since: 250 * time.Millisecond, want: true},
		{name: "no target and no request", since: 250 * time.Millisecond, want: false},
		{name: "neither traffic nor use by another zone", slots: 20, idle: true, since: time.Hour, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := report(tt.slots, tt.inUse)
			r.Waiting = tt.waiting
			is.Equal(zoneload.Due(begin+tt.since, begin, r, !tt.idle), tt.want)
		})
	}
}

// Guards against slots that stay idle in one zone while requests wait in another that it has declined.
func TestReportOfFreeSlotsEndsThePauses(t *testing.T) {
	is := is.New(t)
	table := newTable()
	for i := range 2 {
		now := begin + time.Duration(i)*200*time.Millisecond
		table.Sent(now, "search", "b")
		table.Declined(now, "search", "b")
	}
	now := begin + 400*time.Millisecond
	table.Receive(now, report(20, 10))
	is.Equal(free(table, now), 0)
	table.Vacated(now, report(20, 10))
	is.Equal(free(table, now), 9)
}
