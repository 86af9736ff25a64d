package outlier_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/fake"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/target"
)

// Times of a simulated fleet.
const (
	stepPeriod   = 100 * time.Millisecond
	messageDelay = 2 * time.Millisecond
	slots        = 6
)

// fleetSettings describes a simulated fleet in front of one service, some of whose targets
// stop answering for a while.
type fleetSettings struct {
	zones     int
	instances int
	targets   int
	perSecond float64
	// meanWork is the mean of a log-normal distribution with the given spread. One in a
	// hundred requests takes tailFactor times as long.
	meanWork   time.Duration
	spread     float64
	tailFactor float64
	// repeatable is the part of the requests that may be repeated.
	repeatable float64
	// hungTargets is the part of the targets that leave hungRequests of the requests
	// unanswered, each for hungFor on average.
	hungTargets  float64
	hungRequests float64
	hungFor      time.Duration
	// lostReports is the part of the reports between instances that get lost.
	lostReports float64
}

// simulatedFleet plays the tables of a fleet's instances.
type simulatedFleet struct {
	settings fleetSettings
	*fake.Timeline
	tables  []*outlier.Table
	latency []*outlier.Latencies
	// hungSince is since when each target hasn't been answering; negative if it is sound.
	hungSince []time.Duration
	// busy is the number of slots in use at each target, and waiting the requests for which
	// there was none.
	busy    []int
	waiting [][]func()
	result  simulatedResult
}

// simulatedResult is what became of the requests and of the targets.
type simulatedResult struct {
	requests int
	served   int
	// lost is the number of requests that may not be repeated and got no answer.
	lost int
	// ejectedTime is how long sound targets were ejected, summed over instances and targets,
	// of soundTime.
	ejectedTime time.Duration
	soundTime   time.Duration
}

func (r simulatedResult) lostPart() float64 { return float64(r.lost) / float64(r.requests) }
func (r simulatedResult) ejectedPart() float64 {
	return float64(r.ejectedTime) / float64(r.soundTime)
}

func newSimulatedFleet(s fleetSettings, seed uint64) *simulatedFleet {
	f := &simulatedFleet{
		settings: s,
		Timeline: fake.NewTimeline(seed),
	}
	f.Run(now)
	var list []target.Registration
	for i := range s.targets {
		list = append(list, target.Registration{
			Service: "desk",
			Target: document.Target{
				Name:    fmt.Sprintf("desk-%03d", i),
				Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
				Zone:    fmt.Sprint(i % s.zones),
				Slots:   slots,
			},
		})
		f.hungSince = append(f.hungSince, -1)
		f.busy = append(f.busy, 0)
		f.waiting = append(f.waiting, nil)
		f.After(f.exponential(f.soundFor()), func() { f.hang(i) })
	}
	for i := range s.instances {
		t := outlier.New(fmt.Sprint(i%s.zones), rand.New(rand.NewPCG(seed, uint64(i)+1)))
		t.Update(f.Now(), list)
		f.tables = append(f.tables, t)
		f.latency = append(f.latency, outlier.NewLatencies())
		f.After(time.Duration(f.Random.Float64()*float64(stepPeriod)), func() { f.step(i) })
	}
	f.After(0, f.request)
	return f
}

// soundFor is how long a target answers on average between two faults.
func (f *simulatedFleet) soundFor() time.Duration {
	return time.Duration(float64(f.settings.hungFor) * (1 - f.settings.hungTargets) / max(f.settings.hungTargets, 1e-9))
}

func (f *simulatedFleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(f.Random.ExpFloat64() * float64(mean))
}

// hang lets a target stop answering for a while.
func (f *simulatedFleet) hang(i int) {
	f.hungSince[i] = f.Now()
	f.After(f.exponential(f.settings.hungFor), func() {
		f.hungSince[i] = -1
		f.After(f.exponential(f.soundFor()), func() { f.hang(i) })
	})
}

// work returns how long a target takes for a request.
func (f *simulatedFleet) work() time.Duration {
	s := f.settings
	d := float64(s.meanWork) * math.Exp(s.spread*f.Random.NormFloat64()-s.spread*s.spread/2)
	if f.Random.Float64() < 0.01 {
		d *= s.tailFactor
	}
	return time.Duration(d)
}

// step does the periodic work of an instance.
func (f *simulatedFleet) step(i int) {
	t := f.tables[i]
	for _, name := range t.Step(f.Now(), true) {
		f.reportTimeout(i, name)
	}
	for _, l := range t.Loads() {
		f.After(messageDelay, func() {
			for j, other := range f.tables {
				if j != i && j%f.settings.zones == i%f.settings.zones && f.Random.Float64() >= f.settings.lostReports {
					other.ReceiveLoad(f.Now(), fmt.Sprint(i), l, 3*stepPeriod)
				}
			}
		})
	}
	for j := range f.hungSince {
		if f.hungSince[j] < 0 {
			f.result.soundTime += stepPeriod
			if t.Ejected(f.Now(), fmt.Sprintf("desk-%03d", j)) {
				f.result.ejectedTime += stepPeriod
			}
		}
	}
	f.After(stepPeriod, func() { f.step(i) })
}

// reportTimeout tells all instances of a target that doesn't answer.
func (f *simulatedFleet) reportTimeout(from int, name string) {
	f.After(messageDelay, func() {
		for j, other := range f.tables {
			if j != from {
				other.ReceiveOutcome(f.Now(), name, target.TimedOut)
			}
		}
	})
}

// reportSuccess tells all instances of an answer from a target that is ejected.
func (f *simulatedFleet) reportSuccess(from int, name string, began time.Duration) {
	f.After(messageDelay, func() {
		for j, other := range f.tables {
			if j != from {
				other.LaterSuccess(f.Now(), name, began)
			}
		}
	})
}

// request sends a request through a random instance, and awaits the next one.
func (f *simulatedFleet) request() {
	f.result.requests++
	f.attempt(f.Random.IntN(f.settings.instances), f.Random.Float64() < f.settings.repeatable, nil)
	f.After(f.exponential(time.Duration(float64(time.Second)/f.settings.perSecond)), f.request)
}

// attempt sends a request to a target.
func (f *simulatedFleet) attempt(i int, repeatable bool, tried []string) {
	t, l := f.tables[i], f.latency[i]
	chosen, ok := t.Choose(f.Now(), outlier.Request{
		Repeatable: repeatable,
		Avoid:      tried,
	})
	if !ok {
		return
	}
	timeout := l.ResponseTimeout("route", 5*f.settings.meanWork)
	p := t.Begin(chosen.Name, timeout/3)
	var number int
	_, _ = fmt.Sscanf(chosen.Name, "desk-%d", &number)
	ended, sentAt := false, f.Now()
	if f.hungSince[number] < 0 || f.Random.Float64() >= f.settings.hungRequests {
		f.serve(number, func() bool { return ended }, func() {
			if ended {
				return
			}
			ended = true
			t.End(p, outlier.Answered)
			t.Done(f.Now(), chosen.Name, target.Succeeded)
			if t.LaterSuccess(f.Now(), chosen.Name, sentAt) {
				f.reportSuccess(i, chosen.Name, sentAt)
			}
			l.Add("route", f.Now()-sentAt)
			f.result.served++
		})
	} else if !repeatable {
		f.result.lost++
	}
	f.After(timeout, func() {
		if ended {
			return
		}
		if t.Observe(f.Now(), chosen.Name, target.TimedOut) {
			f.reportTimeout(i, chosen.Name)
		}
		if repeatable && len(tried) < 2 {
			ended = true
			t.End(p, outlier.GivenUp)
			t.Done(f.Now(), chosen.Name, target.Cancelled)
			f.attempt(i, true, append(tried, chosen.Name))
		}
	})
	f.After(10*f.settings.meanWork, func() {
		if !ended {
			ended = true
			t.End(p, outlier.GivenUp)
			t.Done(f.Now(), chosen.Name, target.Cancelled)
		}
	})
}

// serve runs a request at a target, when a slot is free there, unless it is given up before.
func (f *simulatedFleet) serve(i int, givenUp func() bool, answer func()) {
	if f.busy[i] >= slots {
		f.waiting[i] = append(f.waiting[i], func() { f.serve(i, givenUp, answer) })
		return
	}
	if givenUp() {
		f.serveNext(i)
		return
	}
	f.busy[i]++
	f.After(f.work(), func() {
		f.busy[i]--
		answer()
		f.serveNext(i)
	})
}

func (f *simulatedFleet) serveNext(i int) {
	if len(f.waiting[i]) > 0 && f.busy[i] < slots {
		next := f.waiting[i][0]
		f.waiting[i] = f.waiting[i][1:]
		next()
	}
}

// play plays a fleet several times and returns the sum of the results.
func play(s fleetSettings) simulatedResult {
	var sum simulatedResult
	for seed := range uint64(6) {
		f := newSimulatedFleet(s, seed)
		f.Run(30 * time.Second)
		r := f.result
		sum.requests += r.requests
		sum.served += r.served
		sum.lost += r.lost
		sum.ejectedTime += r.ejectedTime
		sum.soundTime += r.soundTime
	}
	return sum
}

// manyInstances is a fleet in which an instance sends one request in ten seconds to each
// target.
func manyInstances() fleetSettings {
	return fleetSettings{
		zones:        3,
		instances:    40,
		targets:      18,
		perSecond:    97,
		meanWork:     420 * time.Millisecond,
		spread:       0.8,
		tailFactor:   5,
		repeatable:   0.26,
		hungTargets:  0.3,
		hungRequests: 0.75,
		hungFor:      6 * time.Second,
	}
}

// Guards against each instance of a fleet losing requests of its own before it avoids a
// target that has stopped answering. Three quarters of the requests that would be lost if
// nobody avoided such targets are to be saved.
func TestFleetAvoidsTargetsThatStopAnswering(t *testing.T) {
	t.Parallel()
	s := manyInstances()
	withoutAvoiding := s.hungTargets * s.hungRequests * (1 - s.repeatable)
	r := play(s)
	t.Logf("%.4f of the requests lost, %.4f if no target were avoided", r.lostPart(), withoutAvoiding)
	if r.lostPart() > withoutAvoiding/4 {
		t.Fatal("too many requests lost")
	}
}

// Guards against evidence that takes sound targets out of use: on average at most one in
// twenty, and one in ten while nine tenths of the slots are busy.
func TestFleetKeepsTargetsThatAnswerInUse(t *testing.T) {
	tests := []struct {
		name   string
		change func(*fleetSettings)
		most   float64
	}{
		{"usual", func(*fleetSettings) {}, 0.05},
		{"nearly full", func(s *fleetSettings) { s.targets, s.perSecond = 14, 180 }, 0.1},
		{"reports get lost", func(s *fleetSettings) { s.lostReports = 0.3 }, 0.05},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := manyInstances()
			s.hungTargets = 0
			tt.change(&s)
			r := play(s)
			t.Logf("sound targets ejected for %.4f of their time", r.ejectedPart())
			if r.ejectedPart() > tt.most {
				t.Fatal("too long")
			}
		})
	}
}

// Guards against a service that becomes slow as a whole and is then left with too few
// targets: at least half stay in use.
func TestSlowServiceKeepsHalfOfItsTargets(t *testing.T) {
	is := is.New(t)
	table := newTable(10)
	for i := range 10 {
		name := fmt.Sprintf("desk-%02d", i)
		for range 5 {
			table.Begin(name, 100*time.Millisecond)
			table.Observe(now, name, target.TimedOut)
			table.ReceiveOutcome(now, name, target.TimedOut)
		}
	}
	for step := range 30 {
		table.Step(now+time.Duration(step)*stepPeriod, true)
		is.True(table.Counts(now).Unavailable <= 5)
	}
}

// Guards against evidence of an instance whose own links are lost, or that stood still.
func TestEvidenceOfAnInstanceThatSeesNoAnswers(t *testing.T) {
	tests := []struct {
		name      string
		reachable bool
		period    time.Duration
	}{
		{"links lost", false, stepPeriod},
		{"stood still", true, 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(6)
			for range 5 {
				table.Begin("desk-00", 200*time.Millisecond)
			}
			at := now
			table.Step(at, true)
			for range 20 {
				at += tt.period
				is.Equal(len(table.Step(at, tt.reachable)), 0)
				if tt.period > time.Second {
					break // then the answers arrive
				}
			}
		})
	}
}

// Guards against a target that is out of use for seconds, for writes even for six, because its
// answers took long once and it was taken for one that has stopped answering. One that leaves most of
// its requests unanswered stays ejected.
func TestUnresponsiveTargetThatAnswersIsUsedAgain(t *testing.T) {
	tests := []struct {
		name              string
		inFlight, answers int
		before            func(*outlier.Table)
		inUse             bool
	}{
		{name: "no answer", inFlight: 6},
		{name: "a quarter is answered", inFlight: 8, answers: 2},
		{name: "half is answered", inFlight: 8, answers: 4, inUse: true},
		{name: "one of two is answered", inFlight: 2, answers: 1},
		{name: "both are answered", inFlight: 2, answers: 2, inUse: true},
		{
			name:     "it had lost requests before",
			inFlight: 4,
			answers:  4,
			before: func(t *outlier.Table) {
				t.ReceiveOutcome(now-4*time.Second, "desk-03", target.Crashed) // on probation now
				t.FailureBegan(now-4*time.Second, "desk-03", now)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(11)
			if tt.before != nil {
				tt.before(table)
			}
			table.ReceiveLoad(now, "other", outlier.Load{
				Target:  "desk-03",
				Running: tt.inFlight,
			}, time.Second)
			table.ReceiveUnresponsive(now, "desk-03")
			table.ReceiveUnresponsive(now, "desk-03") // each zone tells
			table.ReceiveLoad(now, "other", outlier.Load{
				Target: "desk-03",
			}, time.Second)
			for i := range tt.answers {
				counts := table.LaterSuccess(now, "desk-03", now-time.Duration(i)*time.Second)
				is.Equal(counts, tt.before == nil)
			}
			is.Equal(chosen(table, now, outlier.Request{})["desk-03"] > 0, tt.inUse)
			is.True(!table.LaterSuccess(now+10*time.Second, "desk-03", now))
		})
	}
}
