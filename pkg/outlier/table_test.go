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

// newTable returns a table of n targets, spread evenly over the zones a, b and c.
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

// chosen makes 600 choices, each of which succeeds, and counts them by target.
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

// Guards against an overloaded service that gets second attempts at reads, since some target
// always has a free slot for a moment.
func TestOverloadedServiceGetsNoSpareAttempts(t *testing.T) {
	const targets, slots = 4, 6
	for inUse := range slots + 1 {
		is := is.New(t)
		table := newTable(targets)
		for i := range targets {
			table.ReceiveLoad(now, "10.1.0.1:7000", outlier.Load{
				Target:  fmt.Sprintf("desk-%02d", i),
				Running: inUse,
			}, time.Second)
		}
		_, ok := table.Choose(now, outlier.Request{
			Repeatable: true,
			Spare:      true,
		})
		is.Equal(ok, inUse < slots/2)
		_, ok = table.Choose(now, outlier.Request{
			Repeatable: true,
		})
		is.True(ok)
	}
}

func TestWhichFailuresEjectATarget(t *testing.T) {
	tests := []struct {
		name    string
		observe func(*outlier.Table)
		ejected bool
	}{
		{
			name:    "connection died, reported by another instance",
			observe: func(t *outlier.Table) { t.ReceiveOutcome(now, "desk-03", target.Crashed) },
			ejected: true,
		},
		{
			name:    "one server error, reported by another instance",
			observe: func(t *outlier.Table) { t.ReceiveOutcome(now, "desk-03", target.Failed) },
			ejected: false,
		},
		{
			name: "two server errors within a second, reported by another instance",
			observe: func(t *outlier.Table) {
				t.ReceiveOutcome(now-time.Second, "desk-03", target.Failed)
				t.ReceiveOutcome(now, "desk-03", target.Failed)
			},
			ejected: true,
		},
		{
			name:    "one timeout, reported by another instance, whose link may be cut",
			observe: func(t *outlier.Table) { t.ReceiveOutcome(now, "desk-03", target.TimedOut) },
			ejected: false,
		},
		{
			name:    "refused connection, reported by another instance, whose link may be cut",
			observe: func(t *outlier.Table) { t.ReceiveOutcome(now, "desk-03", target.Refused) },
			ejected: false,
		},
		{
			name:    "refused connection of this instance",
			observe: func(t *outlier.Table) { t.Done(now, "desk-03", target.Refused) },
			ejected: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(11)
			tt.observe(table)
			counts := chosen(table, now, outlier.Request{})
			is.Equal(counts["desk-03"] == 0, tt.ejected)
			is.True(counts["desk-00"] > 0 && counts["desk-06"] > 0) // the other targets stay in use
		})
	}
}

// Guards against targets that are out of use because idle connections to them were
// dropped: they take reads at once, and writes after two successes.
func TestDroppedConnectionBeginsAProbation(t *testing.T) {
	is := is.New(t)
	table := newTable(11)
	read := outlier.Request{
		Repeatable: true,
	}
	is.True(table.Done(now, "desk-03", target.Disconnected)) // sent to other instances
	is.True(!table.Done(now, "desk-03", target.Disconnected))
	is.Equal(table.Counts(now).OnProbation, 1)
	is.Equal(chosen(table, now, outlier.Request{})["desk-03"], 0)
	is.True(chosen(table, now, read)["desk-03"] > 0) // and succeeds
	is.True(chosen(table, now, outlier.Request{})["desk-03"] > 0)
	is.Equal(table.Counts(now).Healthy, 11)
}

func TestWhichOutcomesAreSentToOtherInstances(t *testing.T) {
	is := is.New(t)
	table := newTable(11)
	is.True(!table.Done(now, "desk-00", target.Succeeded))
	is.True(!table.Done(now, "desk-00", target.Cancelled))
	is.True(!table.Done(now, "desk-00", target.Refused)) // this instance's link may be cut
	is.True(table.Done(now, "desk-01", target.Crashed))
	is.True(!table.Done(now, "desk-01", target.Crashed)) // already sent
}

// If four of six targets fail at once, the remaining two get all requests, although
// they are less than half of the targets.
func TestRemainingTargetsGetAllRequests(t *testing.T) {
	is := is.New(t)
	table := newTable(6)
	for i := range 4 {
		table.ReceiveOutcome(now, fmt.Sprintf("desk-%02d", i), target.Crashed)
	}
	counts := chosen(table, now, outlier.Request{})
	is.Equal(counts["desk-04"]+counts["desk-05"], 600)
}

// If all targets of a service have failed, perhaps from overload, the requests are
// spread over those with the oldest failures instead of overloading a single one.
func TestAllEjectedSpreadsOverTheOldestFailures(t *testing.T) {
	is := is.New(t)
	table := newTable(6)
	for i := range 6 {
		table.ReceiveOutcome(now-time.Duration(i)*100*time.Millisecond, fmt.Sprintf("desk-%02d", i), target.Crashed)
	}
	counts := chosen(table, now, outlier.Request{})
	is.Equal(counts["desk-04"]+counts["desk-05"], 600)
	is.True(counts["desk-04"] > 0 && counts["desk-05"] > 0)
}

// Four of six targets reset their connections, and the other two become slow or
// full under the additional load. They must go on getting the requests, since the
// four failing ones would lose most of them.
func TestOverloadedTargetsArePreferredToFailingOnes(t *testing.T) {
	tests := []struct {
		name    string
		observe func(*outlier.Table, string)
	}{
		{
			name:    "overdue request",
			observe: func(t *outlier.Table, name string) { t.Observe(now, name, target.TimedOut) },
		},
		{
			name: "two timeouts, reported by another instance",
			observe: func(t *outlier.Table, name string) {
				t.ReceiveOutcome(now, name, target.TimedOut)
				t.ReceiveOutcome(now, name, target.TimedOut)
			},
		},
		{
			name:    "shedding",
			observe: func(t *outlier.Table, name string) { t.Done(now, name, target.Shed) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(6)
			for i := range 4 {
				table.ReceiveOutcome(now-2*time.Second, fmt.Sprintf("desk-%02d", i), target.Crashed)
			}
			tt.observe(table, "desk-04")
			tt.observe(table, "desk-05")
			counts := chosen(table, now, outlier.Request{})
			is.Equal(counts["desk-04"]+counts["desk-05"], 600)
			// After their ejection the four get repeatable requests again.
			is.True(chosen(table, now+3*time.Second, outlier.Request{Repeatable: true})["desk-00"] > 0)
		})
	}
}

// A target that has lost requests is still treated as losing them if it is ejected
// as slow afterwards.
func TestSlowTargetThatLostRequestsStaysEjected(t *testing.T) {
	is := is.New(t)
	table := newTable(6)
	for i := range 6 {
		table.ReceiveOutcome(now-time.Second, fmt.Sprintf("desk-%02d", i), target.Crashed)
	}
	table.Observe(now, "desk-00", target.TimedOut)
	table.Observe(now-3*time.Second, "desk-01", target.TimedOut)
	is.Equal(chosen(table, now, outlier.Request{})["desk-00"], 0)
}

// A target that fails most requests still answers a few, so only the second success
// ends its probation.
func TestTwoSuccessesEndAProbation(t *testing.T) {
	is := is.New(t)
	table := newTable(6)
	table.ReceiveOutcome(now, "desk-03", target.Crashed)
	back := now + 4*time.Second
	is.True(table.Done(back, "desk-03", target.Succeeded)) // sent to the other instances
	is.Equal(chosen(table, back, outlier.Request{})["desk-03"], 0)
	table.ReceiveOutcome(back, "desk-03", target.Succeeded)
	is.True(chosen(table, back, outlier.Request{})["desk-03"] > 0)
	is.True(!table.Done(back, "desk-03", target.Succeeded)) // the probation is over
}

// The last attempt of a repeatable request isn't sent to a target that may still be
// failing.
func TestSecondAttemptGoesToAHealthyTarget(t *testing.T) {
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

// If half of a zone's targets fail, the others get all requests of the zone while
// they have free slots; the excess goes to other zones.
func TestOwnZoneGetsRequestsWhileItHasFreeSlots(t *testing.T) {
	is := is.New(t)
	table := newTable(12)
	counts := chosen(table, now, outlier.Request{})
	is.Equal(len(counts), 4) // the four targets of the zone and no others
	table.ReceiveOutcome(now, "desk-00", target.Crashed)
	table.ReceiveOutcome(now, "desk-03", target.Crashed)
	counts = map[string]int{}
	for range 20 {
		c, _ := table.Choose(now, outlier.Request{}) // the requests stay in flight
		counts[c.Zone]++
	}
	is.Equal(counts["a"], 12) // two targets with six slots
	is.Equal(counts["b"]+counts["c"], 8)
}

// Two instances of a zone can fill a target although each has few requests in
// flight there, so each must take the other's reported load into account.
func TestReportedLoadOfOtherInstancesCounts(t *testing.T) {
	is := is.New(t)
	table := newTable(12)
	for _, name := range []string{"desk-00", "desk-03", "desk-06"} {
		table.ReceiveLoad(now, "other", outlier.Load{
			Target:  name,
			Running: 6,
		}, time.Second)
	}
	is.Equal(chosen(table, now, outlier.Request{})["desk-09"] > 250, true) // the less loaded of two
	// Old reports have expired.
	counts := chosen(table, now+time.Second, outlier.Request{})
	is.True(counts["desk-00"] > 100 && counts["desk-09"] < 200)
	// All targets of the zone are full.
	table.ReceiveLoad(now, "third", outlier.Load{
		Target:  "desk-09",
		Running: 6,
	}, time.Second)
	c, ok := table.Choose(now, outlier.Request{})
	is.True(ok)
	is.True(c.Zone != "a")
}

// Loads reports a target while requests are in flight there, and once more when the
// last one has ended.
func TestLoadsAreReportedUntilTheyEnd(t *testing.T) {
	is := is.New(t)
	table := newTable(3)
	is.Equal(len(table.Loads()), 0)
	c, _ := table.Choose(now, outlier.Request{})
	want := []outlier.Load{{
		Target:  c.Name,
		Running: 1,
	}}
	is.Equal(table.Loads(), want)
	is.Equal(table.Loads(), want) // the next report makes up for a lost one
	table.Done(now, c.Name, target.Succeeded)
	want[0].Running = 0
	is.Equal(table.Loads(), want)
	is.Equal(len(table.Loads()), 0)
}

func TestLeavingTargetGetsNoRequests(t *testing.T) {
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

// busyService simulates a service whose targets each get perSecond requests for the given
// time. The fraction of them that has the outcome is that of the target. It calls step
// every 100 ms.
func busyService(table *outlier.Table, targets, perSecond int, outcome target.Outcome, fraction func(i int) float64, length time.Duration, step func(at time.Duration)) {
	const tick = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	for at := now; at < now+length; at += tick {
		for i := range targets {
			for range perSecond {
				if random.Float64() < fraction(i)*tick.Seconds() {
					table.ReceiveOutcome(at, fmt.Sprintf("desk-%02d", i), outcome)
				}
			}
		}
		step(at)
	}
}

// Guards against targets of a busy service that are ejected because one or two of many
// requests failed for reasons of their own, until the rest is overloaded.
func TestRareErrorsOfABusyServiceEjectNoTarget(t *testing.T) {
	const (
		targets      = 60
		perSecond    = 12
		errorPercent = 2.2
		floorPercent = 70 // the operators' floor for targets in use
	)
	for _, outcome := range []target.Outcome{target.Failed, target.Truncated} {
		t.Run(outcome.String(), func(t *testing.T) {
			is := is.New(t)
			table := newTable(targets)
			fewest := targets
			rate := func(int) float64 { return errorPercent / 100 }
			busyService(table, targets, perSecond, outcome, rate, 30*time.Second, func(at time.Duration) {
				fewest = min(fewest, table.Counts(at).Healthy)
			})
			is.True(fewest*100 >= targets*floorPercent)
		})
	}
}

// Guards against errors that are rare elsewhere hiding a target that fails most requests.
func TestFailingTargetOfABusyServiceIsEjected(t *testing.T) {
	const (
		targets   = 60
		perSecond = 12
	)
	is := is.New(t)
	table := newTable(targets)
	ejectedAfter := time.Duration(0)
	busyService(table, targets, perSecond, target.Failed, func(i int) float64 {
		if i == 7 {
			return 0.7
		}
		return 0.022
	}, 10*time.Second, func(at time.Duration) {
		if ejectedAfter == 0 && table.Ejected(at, "desk-07") {
			ejectedAfter = at - now
		}
	})
	is.True(ejectedAfter > 0 && ejectedAfter <= time.Second)
}

// Guards against a target that stays out of use because requests that it got before its
// ejection fail later.
func TestLateErrorDoesNotProlongAnEjection(t *testing.T) {
	is := is.New(t)
	table := newTable(11)
	for range 3 {
		table.ReceiveOutcome(now, "desk-03", target.Failed)
	}
	is.True(table.Ejected(now, "desk-03"))
	table.ReceiveOutcome(now+1900*time.Millisecond, "desk-03", target.TimedOut)
	is.True(!table.Ejected(now+3*time.Second, "desk-03"))
}

// grayTarget fails from one time to another and then is healthy for a while.
type grayTarget struct {
	failsFrom, failsUntil time.Duration
	used                  bool
}

// Guards against targets of a service that only gets writes staying out of use long after
// they have recovered, since no read can try them.
func TestRecoveredTargetsOfWritesAreUsedAgain(t *testing.T) {
	const (
		targets      = 60
		perTick      = 5 // 500 requests a second
		tick         = 10 * time.Millisecond
		workTime     = 400 * time.Millisecond
		checkPeriod  = 2 * time.Second
		length       = time.Minute
		floorPercent = 70 // the operators' floor for targets in use
	)
	is := is.New(t)
	table := newTable(targets)
	random := rand.New(rand.NewPCG(5, 6))
	// Failures last 2 to 12 s, and take a third of the time.
	gray := make([]grayTarget, targets)
	redraw := func(g *grayTarget, at time.Duration) {
		g.failsFrom = at + time.Duration(random.Int64N(int64(28*time.Second)))
		g.failsUntil = g.failsFrom + 2*time.Second + time.Duration(random.Int64N(int64(10*time.Second)))
	}
	for i := range gray {
		redraw(&gray[i], now-20*time.Second)
	}
	type run struct {
		name string
		ends time.Duration
	}
	var running []run
	for at := now; at < now+length; at += tick {
		for len(running) > 0 && running[0].ends <= at {
			table.Done(at, running[0].name, target.Succeeded)
			running = running[1:]
		}
		for range perTick {
			c, ok := table.Choose(at, outlier.Request{})
			is.True(ok)
			var i int
			_, err := fmt.Sscanf(c.Name, "desk-%d", &i)
			is.NoErr(err)
			g := &gray[i]
			g.used = true
			if at >= g.failsFrom && at < g.failsUntil && random.Float64() < 0.75 {
				table.Done(at, c.Name, target.Crashed)
				continue
			}
			running = append(running, run{
				name: c.Name,
				ends: at + workTime,
			})
		}
		if (at-now+tick)%checkPeriod != 0 {
			continue
		}
		sound, unused := 0, 0
		for i := range gray {
			g := &gray[i]
			// Healthy for all of this period and the one before.
			if g.failsFrom > at || g.failsUntil <= at-2*checkPeriod {
				sound++
				if !g.used {
					unused++
				}
			}
			g.used = false
			if g.failsUntil <= at-2*checkPeriod {
				redraw(g, at)
			}
		}
		is.True(unused*100 <= sound*(100-floorPercent))
	}
}

// Guards against a target that gets more requests than its limit because too few others
// are left, and against choices of held targets that count as load for ever.
func TestHeldTargetIsNotChosen(t *testing.T) {
	is := is.New(t)
	table := newTable(3)
	any := outlier.Request{
		Repeatable: true,
	}
	for _, name := range []string{"desk-01", "desk-02"} {
		table.ReceiveOutcome(now, name, target.Crashed)
	}
	c, ok := table.Choose(now, any)
	is.True(ok)
	table.Hold(now+2*time.Second, "desk-00")
	is.Equal(c.Name, "desk-00") // the only healthy one
	is.Equal(table.InUse(now, "desk-00"), 0)
	is.Equal(table.Wait(now), outlier.Wait{Until: 2 * time.Second})
	is.Equal(table.Counts(now).Held, 1)
	is.Equal(chosen(table, now, any)["desk-00"], 0) // rather one that has just failed
	any.Avoid = []string{"desk-01", "desk-02"}
	is.Equal(chosen(table, now, any)["desk-00"], 0) // rather one that was tried before
	is.True(chosen(table, now+2*time.Second, any)["desk-00"] > 0)
	table.Hold(now+2*time.Second, "desk-00")
	table.EndHold("desk-00")
	is.True(chosen(table, now, any)["desk-00"] > 0)
}

// Guards against requests that wait, or go to a target beyond its limit, if all targets
// have a limit.
func TestNoTargetIsChosenIfAllAreHeld(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	table.Hold(now+3*time.Second, "desk-00")
	table.Hold(now+time.Second, "desk-01")
	_, ok := table.Choose(now, outlier.Request{})
	is.True(!ok)
	is.Equal(table.Wait(now), outlier.Wait{Until: time.Second})
}

// Guards against a request to a target that has asked for rest, and against a rest that has
// consequences beyond its end.
func TestRestingTargetIsLeftAlone(t *testing.T) {
	tests := []struct {
		name    string
		targets int
		resting int
		request outlier.Request
		// chosen is set if there is a target for the request.
		chosen bool
	}{
		{
			name:    "one of several",
			targets: 4,
			resting: 1,
			chosen:  true,
		},
		{
			name:    "all but one",
			targets: 10,
			resting: 9,
			chosen:  true,
		},
		{
			name:    "all but one, which was tried",
			targets: 3,
			resting: 2,
			request: outlier.Request{
				Repeatable: true,
				Avoid:      []string{"desk-02"},
			},
			chosen: true,
		},
		{
			name:    "preferred",
			targets: 3,
			resting: 1,
			request: outlier.Request{
				Prefer: []string{"desk-00"},
			},
			chosen: true,
		},
		{
			name:    "all",
			targets: 3,
			resting: 3,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(tt.targets)
			for i := range tt.resting {
				table.Rest(now+2*time.Second, fmt.Sprintf("desk-%02d", i))
				table.Rest(now+time.Second, fmt.Sprintf("desk-%02d", i)) // doesn't shorten it
			}
			for at := now; at < now+2*time.Second; at += 100 * time.Millisecond {
				for range 20 {
					chosen, ok := table.Choose(at, tt.request)
					is.Equal(ok, tt.chosen)
					if ok {
						is.True(table.MaySend(at, chosen.Name))
						is.True(chosen.Name >= fmt.Sprintf("desk-%02d", tt.resting))
						table.Done(at, chosen.Name, target.Succeeded)
					}
				}
			}
			is.Equal(table.Counts(now).Resting, tt.resting)
			is.Equal(table.Wait(now+time.Second), outlier.Wait{Until: time.Second, Resting: true})
			is.Equal(table.Counts(now+2*time.Second).Healthy, tt.targets)
			is.True(!table.MaySend(now+1999*time.Millisecond, "desk-00"))
			is.True(table.MaySend(now+2*time.Second, "desk-00"))
		})
	}
}

// Guards against a target that is out of use for seconds because it lost a single answer.
// One that fails most requests stays ejected.
func TestTargetThatLosesSingleAnswersStaysInUse(t *testing.T) {
	const (
		failedBegan = now - 400*time.Millisecond
		later       = failedBegan + 100*time.Millisecond
	)
	tests := []struct {
		name    string
		observe func(*outlier.Table)
		inUse   bool
	}{
		{
			name:    "nothing more is known",
			observe: func(*outlier.Table) {},
		},
		{
			name: "two later attempts succeed",
			observe: func(t *outlier.Table) {
				t.LaterSuccess(now, "desk-03", later)
				t.LaterSuccess(now, "desk-03", later)
			},
			inUse: true,
		},
		{
			name:    "one later attempt succeeds",
			observe: func(t *outlier.Table) { t.LaterSuccess(now, "desk-03", later) },
		},
		{
			name: "earlier attempts succeed",
			observe: func(t *outlier.Table) {
				t.LaterSuccess(now, "desk-03", failedBegan-time.Millisecond)
				t.LaterSuccess(now, "desk-03", failedBegan-time.Millisecond)
			},
		},
		{
			name: "a later attempt fails between two successes",
			observe: func(t *outlier.Table) {
				t.LaterSuccess(now, "desk-03", later)
				t.ReceiveOutcome(now, "desk-03", target.Crashed)
				t.FailureBegan(now, "desk-03", later)
				t.LaterSuccess(now, "desk-03", later)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(11)
			table.ReceiveOutcome(now, "desk-03", target.Crashed)
			table.FailureBegan(now, "desk-03", failedBegan)
			tt.observe(table)
			is.Equal(chosen(table, now, outlier.Request{})["desk-03"] > 0, tt.inUse)
		})
	}
}

// Guards against requests to a target that wants none for a time, because its registration lapsed
// and came back meanwhile.
func TestRestOutlastsTheRegistration(t *testing.T) {
	registration := func(address string) []target.Registration {
		return []target.Registration{{
			Service: "desk",
			Target: document.Target{
				Name:    "desk-00",
				Address: address,
				Zone:    "a",
				Slots:   6,
			},
		}}
	}
	tests := []struct {
		name    string
		address string
		at      time.Duration
		chosen  bool
	}{
		{name: "it rests still", address: "10.0.0.0:80", at: 3 * time.Second},
		{name: "its rest is over", address: "10.0.0.0:80", at: 6 * time.Second, chosen: true},
		{name: "another address", address: "10.0.0.9:80", at: 3 * time.Second, chosen: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := outlier.New("a", rand.New(rand.NewPCG(1, 2)))
			table.Update(0, registration("10.0.0.0:80"))
			table.Rest(5*time.Second, "desk-00")
			table.Update(time.Second, nil)
			table.Update(1500*time.Millisecond, nil)
			table.Update(2*time.Second, registration(tt.address))
			_, ok := table.Choose(tt.at, outlier.Request{})
			is.Equal(ok, tt.chosen)
			is.Equal(table.MaySend(tt.at, "desk-00"), tt.chosen)
		})
	}
}

// Guards against requests to targets in an evacuated zone, by whatever way a target is chosen.
func TestEvacuatedTargetsAreNeverChosen(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		name     string
		request  outlier.Request
		outcomes map[string]target.Outcome
	}{
		{name: "first attempt"},
		{name: "preferred targets", request: outlier.Request{Prefer: []string{"desk-01", "desk-02"}}},
		{name: "retry after all others were tried", request: outlier.Request{Avoid: []string{"desk-00", "desk-03"}}},
		{
			name:     "all others were ejected",
			request:  outlier.Request{Repeatable: true},
			outcomes: map[string]target.Outcome{"desk-00": target.Crashed, "desk-03": target.Crashed},
		},
		{name: "probation", request: outlier.Request{Repeatable: true}, outcomes: map[string]target.Outcome{"desk-01": target.Disconnected}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(6)
			table.SetEvacuated(func(zone string) bool { return zone != "a" })
			for name, outcome := range tt.outcomes {
				table.ReceiveOutcome(now, name, outcome)
			}
			for range 100 {
				got, ok := table.Choose(now, tt.request)
				is.True(ok)
				is.Equal(got.Zone, "a")
			}
			is.True(!table.OnlyEvacuated())
			is.Equal(table.Counts(now).Evacuated, 4)
			is.Equal(len(table.Availabilities(now)), 2)
			is.True(table.MaySend(now, "desk-00"))
			is.True(!table.MaySend(now, "desk-01"))
			table.SetEvacuated(func(string) bool { return true })
			_, ok := table.Choose(now, tt.request)
			is.True(!ok)
			is.True(table.OnlyEvacuated())
			is.True(!table.HasSpare(now, nil))
		})
	}
}
