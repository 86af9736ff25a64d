package link_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/fake"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/link"
)

var capacity = flag.Bool("capacity", false, "measure fleets of 540 instances")

// Times of a simulated fleet.
const (
	dialTimeout  = 150 * time.Millisecond
	connectTime  = time.Millisecond
	messageTime  = 2 * time.Millisecond
	workTime     = 600 * time.Millisecond
	suspectPause = 10 * time.Millisecond
	reportPause  = 100 * time.Millisecond
	// maxAttempts and maxRelayed are the limits of package entry.
	maxAttempts = 6
	maxRelayed  = 256
)

// fleetSettings describes a simulated fleet.
type fleetSettings struct {
	zones        int
	perZone      int
	services     int
	targets      int // of each service
	perSecond    float64
	unresponsive bool
}

// simulatedFleet plays instances that lose their links, and the requests of their callers.
type simulatedFleet struct {
	settings fleetSettings
	*fake.Timeline
	members   []instance.Info
	instances []*simulatedInstance
	targets   map[string][]link.Target
	results   []requestResult
}

// simulatedInstance is one instance of a simulatedFleet.
type simulatedInstance struct {
	fleet    *simulatedFleet
	number   int
	monitor  *link.Monitor[string]
	helpers  *link.Helpers
	cut      bool
	reported link.Report
	// reportAt is when it last reported.
	reportAt time.Duration
	// relayed is the number of requests of others in progress, and helped their number
	// altogether.
	relayed   int
	helped    int
	tests     int
	questions int
	reports   int
}

// requestResult is how a request at an instance without links ended.
type requestResult struct {
	at     time.Duration
	wait   time.Duration
	served bool
}

func newSimulatedFleet(s fleetSettings, seed uint64) *simulatedFleet {
	f := &simulatedFleet{
		settings: s,
		Timeline: fake.NewTimeline(seed),
		targets:  map[string][]link.Target{},
	}
	f.Run(start)
	var names []string
	for i := range s.services {
		name := fmt.Sprintf("service-%03d", i)
		names = append(names, name)
		for j := range s.targets {
			f.targets[name] = append(f.targets[name], link.Target{
				Name:   fmt.Sprintf("%s-%d", name, j),
				Zone:   fmt.Sprint(j % s.zones),
				Usable: true,
			})
		}
	}
	for i := range s.zones * s.perZone {
		f.members = append(f.members, instance.Info{
			ID: instance.ID{
				Address: instance.Address(fmt.Sprintf("10.%d.0.%d:7000", i%s.zones, i/s.zones)),
			},
			Zone: fmt.Sprint(i % s.zones),
		})
		x := &simulatedInstance{
			fleet:   f,
			number:  i,
			monitor: link.New[string](rand.New(rand.NewPCG(seed, uint64(i)+1))),
			helpers: link.NewHelpers(),
		}
		x.monitor.Update(names)
		f.instances = append(f.instances, x)
		f.After(f.interval(), x.receiveRequest)
		f.After(50*time.Millisecond, x.tick)
	}
	return f
}

// interval returns a random time between two requests at an instance.
func (f *simulatedFleet) interval() time.Duration {
	return time.Duration(f.Random.ExpFloat64() / f.settings.perSecond * float64(time.Second))
}

func (x *simulatedInstance) tick() {
	x.step()
	x.helpers.Expire(x.fleet.Now())
	x.fleet.After(50*time.Millisecond, x.tick)
}

// step does what the monitor decides.
func (x *simulatedInstance) step() {
	f := x.fleet
	actions := x.monitor.Step(f.Now(), func(service string) []link.Target { return f.targets[service] })
	for _, t := range actions.Tests {
		x.tests++
		x.dial(t.Service, t.Name, 100*time.Millisecond, func(bool) { x.monitor.EndTest(t) })
	}
	for _, q := range actions.Questions {
		x.questions++
		testimony, wait := link.Unknown, 2*messageTime
		for range 3 {
			if w := f.instances[f.Random.IntN(len(f.instances))]; !w.cut && w != x {
				testimony = link.Reached
			}
		}
		if testimony != link.Reached && f.settings.unresponsive {
			wait += 100 * time.Millisecond
		}
		f.After(wait, func() {
			x.monitor.Testify(q, testimony)
			x.step()
		})
	}
	x.report()
}

// report tells all instances which services this one doesn't reach, if it is time to.
func (x *simulatedInstance) report() {
	f := x.fleet
	r := link.Report{
		All:      x.monitor.AllLost(),
		Services: x.monitor.Impaired(),
	}
	changed := r.All != x.reported.All || !slices.Equal(r.Services, x.reported.Services)
	due := changed && f.Now() >= x.reportAt+reportPause || len(r.Services) > 0 && f.Now() >= x.reportAt+link.ReportPeriod
	if !due {
		return
	}
	x.reported, x.reportAt = r, f.Now()
	x.reports++
	f.After(messageTime, func() {
		for _, other := range f.instances {
			other.helpers.Receive(f.Now(), f.members[x.number].Address, r)
		}
	})
}

// dial connects to a target and reports to the monitor. done is called before the next
// step.
func (x *simulatedInstance) dial(service, target string, timeout time.Duration, done func(ok bool)) {
	f := x.fleet
	began, cut := f.Now(), x.cut
	wait := connectTime
	if cut && f.settings.unresponsive {
		wait = timeout
	}
	f.After(wait, func() {
		if cut {
			x.monitor.ConnectFailed(f.Now(), began, service, target)
			f.After(link.TestDelay+time.Millisecond, x.step)
		} else {
			x.monitor.ConnectSucceeded(f.Now(), began, service, target)
		}
		done(!cut)
		x.step()
	})
}

// receiveRequest receives a request of a caller, and awaits the next one.
func (x *simulatedInstance) receiveRequest() {
	f := x.fleet
	r := &simulatedRequest{
		instance: x,
		service:  fmt.Sprintf("service-%03d", f.Random.IntN(f.settings.services)),
		key:      f.Random.Uint64(),
		at:       f.Now(),
		cut:      x.cut,
	}
	r.attempt()
	f.After(f.interval(), x.receiveRequest)
}

// simulatedRequest is a request of a caller.
type simulatedRequest struct {
	instance *simulatedInstance
	service  string
	key      uint64
	at       time.Duration
	cut      bool
	attempts int
}

// end records the result, if the instance had no links when the request came.
func (r *simulatedRequest) end(served bool) {
	f := r.instance.fleet
	if r.cut {
		f.results = append(f.results, requestResult{
			at:     r.at,
			wait:   f.Now() - r.at,
			served: served,
		})
	}
}

// attempt makes the next attempt, as package entry does.
func (r *simulatedRequest) attempt() {
	x := r.instance
	f := x.fleet
	if r.attempts >= maxAttempts {
		r.end(false)
		return
	}
	switch x.monitor.State(r.service) {
	case link.Suspect:
		f.After(suspectPause, r.attempt)
	case link.Reachable:
		r.attempts++
		list := f.targets[r.service]
		x.dial(r.service, list[f.Random.IntN(len(list))].Name, dialTimeout, func(ok bool) {
			if ok {
				r.end(true)
			} else {
				r.attempt()
			}
		})
	default:
		r.attempts++
		chosen, ok := x.helpers.Choose(f.Now(), f.members[x.number], f.members, r.service, instance.Hash("relay", r.key))
		if !ok {
			r.end(false)
			return
		}
		helper := slices.Index(f.members, chosen)
		f.After(messageTime, func() { r.arriveAt(f.instances[helper]) })
	}
}

// arriveAt has another instance serve the request, or decline it.
func (r *simulatedRequest) arriveAt(helper *simulatedInstance) {
	x := r.instance
	f := x.fleet
	member := f.members[helper.number]
	switch state := helper.monitor.State(r.service); {
	case helper.relayed >= maxRelayed:
		f.After(messageTime, func() {
			x.helpers.Exclude(f.Now(), member.Address)
			r.attempt()
		})
	case state == link.Suspect:
		f.After(suspectPause, func() { r.arriveAt(helper) })
	case state == link.Unreachable:
		f.After(messageTime, func() {
			x.helpers.CutOff(f.Now(), member, r.service, f.settings.zones)
			r.attempt()
		})
	default:
		list := f.targets[r.service]
		helper.dial(r.service, list[f.Random.IntN(len(list))].Name, dialTimeout, func(ok bool) {
			if !ok {
				r.arriveAt(helper)
				return
			}
			helper.relayed++
			helper.helped++
			x.helpers.Answered(r.service)
			f.After(workTime, func() { helper.relayed-- })
			r.end(true)
		})
	}
}

// served returns the part of the requests that were served, of those that came within a
// span after a time, and the longest wait.
func (f *simulatedFleet) served(after time.Duration, from, to time.Duration) (part float64, longest time.Duration, number int) {
	served := 0
	for _, r := range f.results {
		if since := r.at - after; since >= from && since < to {
			number++
			longest = max(longest, r.wait)
			if r.served {
				served++
			}
		}
	}
	return float64(served) / float64(max(number, 1)), longest, number
}

// lostLinks are the instances that lose their links.
var lostLinks = []struct {
	name string
	// cut reports whether an instance loses its links, given its number and the number of
	// zones.
	cut func(i, zones int) bool
}{
	{
		name: "one zone",
		cut:  func(i, zones int) bool { return i%zones == 0 },
	},
	{
		name: "three fifths of all",
		cut:  func(i, zones int) bool { return i/zones%5 < 3 },
	},
	{
		name: "nine tenths of all",
		cut:  func(i, zones int) bool { return i/zones%10 < 9 },
	},
}

// Guards against callers that are refused although there are instances with links, however
// many instances and services there are. With -capacity it prints what that costs at the
// size to design for.
func TestFleetServesCallersOfInstancesWithoutLinks(t *testing.T) {
	settings := fleetSettings{
		zones:     3,
		perZone:   10,
		services:  3,
		targets:   8,
		perSecond: 3,
	}
	cutTime := 5 * time.Second
	// spare is the number of cases at the end that exceed what the others can take on.
	spare := 0
	if *capacity {
		settings = fleetSettings{
			zones:     6,
			perZone:   90,
			services:  300,
			targets:   19,
			perSecond: 176,
		}
		cutTime = 3 * time.Second
		spare = 1
	}
	for n, lost := range lostLinks {
		for _, unresponsive := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unresponsive %v", lost.name, unresponsive), func(t *testing.T) {
				is := is.New(t)
				settings.unresponsive = unresponsive
				f := newSimulatedFleet(settings, 1)
				f.Run(500 * time.Millisecond)
				cutAt := f.Now()
				for i, x := range f.instances {
					x.cut = lost.cut(i, settings.zones)
					x.tests, x.questions, x.reports, x.helped = 0, 0, 0, 0
				}
				f.Run(cutTime)
				for _, span := range [][2]time.Duration{{0, 300 * time.Millisecond}, {300 * time.Millisecond, time.Second}, {time.Second, cutTime - time.Second}} {
					part, longest, number := f.served(cutAt, span[0], span[1])
					t.Logf("requests at instances without links, %v to %v: %.4f of %d served, longest wait %v", span[0], span[1], part, number, longest)
				}
				f.logCosts(t, cutTime)
				part, longest, _ := f.served(cutAt, time.Second, cutTime-time.Second)
				if n < len(lostLinks)-spare {
					is.True(part > 0.99)
				}
				is.True(longest < time.Second)
				for _, x := range f.instances {
					x.cut, x.helped = false, 0
				}
				f.Run(noticeTime)
				for _, x := range f.instances {
					x.helped = 0
				}
				f.Run(500 * time.Millisecond)
				for _, x := range f.instances {
					is.Equal(x.helped, 0) // all use their own links again
				}
			})
		}
	}
}

// logCosts prints the messages, tests and relayed requests of a time.
func (f *simulatedFleet) logCosts(t *testing.T, d time.Duration) {
	var tests, questions, reports, cut, mostHelped int
	for _, x := range f.instances {
		if x.cut {
			cut++
			tests += x.tests
			questions += x.questions
			reports += x.reports
		}
		mostHelped = max(mostHelped, x.helped)
	}
	perSecond := float64(cut) * d.Seconds()
	t.Logf("%d of %d without links; each of them per second: %.1f tests, %.1f questions, %.1f reports to all; most requests through one instance: %.0f a second",
		cut, len(f.instances), float64(tests)/perSecond, float64(questions)/perSecond, float64(reports)/perSecond, float64(mostHelped)/d.Seconds())
}
