package link_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/link"
)

const (
	start = time.Minute
	// stepTime is the time between two steps of a testNetwork, and testTimeout how long a
	// test waits for a connection.
	stepTime    = 5 * time.Millisecond
	testTimeout = 100 * time.Millisecond
	// noticeTime is how long a Monitor may take to notice that links are lost, once
	// requests fail, or back.
	noticeTime = time.Second
)

// testNetwork plays the network between one instance and the targets of some services.
type testNetwork struct {
	monitor *link.Monitor[string]
	now     time.Duration
	targets map[string][]link.Target
	// linksLost are the services and targets without links to this instance. down are the
	// targets that accept no connections from anybody. Connecting to any of these hangs if
	// unresponsive is set, and else fails at once.
	linksLost    map[string]bool
	down         map[string]bool
	unresponsive bool
	// helper is set if other instances testify about services that are up.
	helper bool
	// running are the connections that are being established.
	running []dial
	tests   int
	asked   []link.Question
	blamed  []string
	excused []string
}

// dial is a connection that is being established.
type dial struct {
	test  link.Test
	began time.Duration
	ends  time.Duration
	ok    bool
}

// newTestNetwork returns a network with services of the given numbers of targets, spread
// over three zones.
func newTestNetwork(services map[string]int) *testNetwork {
	n := &testNetwork{
		monitor:   link.New[string](rand.New(rand.NewPCG(1, 2))),
		now:       start,
		targets:   map[string][]link.Target{},
		linksLost: map[string]bool{},
		down:      map[string]bool{},
		helper:    true,
	}
	var names []string
	for name, number := range services {
		names = append(names, name)
		for i := range number {
			n.targets[name] = append(n.targets[name], link.Target{
				Name:   fmt.Sprintf("%s-%d", name, i),
				Zone:   string(rune('a' + i%3)),
				Usable: true,
			})
		}
	}
	n.monitor.Update(names)
	return n
}

// connect begins a connection to a target.
func (n *testNetwork) connect(service, target string) {
	d := dial{
		test: link.Test{
			Service: service,
			Target: link.Target{
				Name: target,
			},
		},
		began: n.now,
		ends:  n.now + time.Millisecond,
		ok:    !n.linksLost[service] && !n.linksLost[target] && !n.down[target],
	}
	if !d.ok && n.unresponsive {
		d.ends = n.now + testTimeout
	}
	n.running = append(n.running, d)
}

// fail reports the failure of an attempt that began some time ago.
func (n *testNetwork) fail(service, target string, age time.Duration) {
	n.monitor.Hold(link.Failure[string]{
		Service: service,
		Target:  target,
		Began:   n.now - age,
		At:      n.now,
		Report:  target,
	})
}

// unconnected reports an attempt that failed because connecting did.
func (n *testNetwork) unconnected(service, target string) {
	n.monitor.Hold(link.Failure[string]{
		Service:     service,
		Target:      target,
		Began:       n.now - time.Millisecond,
		At:          n.now,
		Unconnected: true,
		Report:      target,
	})
}

// run plays for a time.
func (n *testNetwork) run(d time.Duration) {
	for until := n.now + d; n.now < until; n.now += stepTime {
		n.endDials()
		actions := n.monitor.Step(n.now, func(service string) []link.Target { return n.targets[service] })
		n.tests += len(actions.Tests)
		for _, t := range actions.Tests {
			n.connect(t.Service, t.Name)
		}
		n.asked = append(n.asked, actions.Questions...)
		for _, q := range actions.Questions {
			switch {
			case !n.helper:
			case n.down[q.Target]:
				n.monitor.Testify(q, link.Unreached)
			default:
				n.monitor.Testify(q, link.Reached)
			}
		}
		for _, f := range actions.Blamed {
			n.blamed = append(n.blamed, f.Report)
		}
		for _, f := range actions.Excused {
			n.excused = append(n.excused, f.Report)
		}
	}
}

// endDials reports the connections that have succeeded or failed.
func (n *testNetwork) endDials() {
	var rest []dial
	for _, d := range n.running {
		switch {
		case n.now < d.ends:
			rest = append(rest, d)
			continue
		case d.ok:
			n.monitor.ConnectSucceeded(n.now, d.began, d.test.Service, d.test.Name)
		default:
			n.monitor.ConnectFailed(n.now, d.began, d.test.Service, d.test.Name)
		}
		n.monitor.EndTest(d.test)
	}
	n.running = rest
}

// Guards against failures that are blamed on the targets although the instance's links
// were lost, and against failures of targets that are excused.
func TestFailuresAreBlamedOnTheirCause(t *testing.T) {
	sizes := map[string]int{"desk": 6, "mill": 4, "till": 2}
	tests := []struct {
		name    string
		play    func(n *testNetwork)
		blamed  []string
		excused []string
		// tests is the number of test connections, and -1 if it doesn't matter.
		tests int
		state link.State
	}{
		{
			name: "a retry connects to another target",
			play: func(n *testNetwork) {
				n.fail("desk", "desk-0", time.Millisecond)
				n.connect("desk", "desk-1")
				n.run(200 * time.Millisecond)
			},
			blamed: []string{"desk-0"},
			tests:  1,
		},
		{
			name: "no retry follows",
			play: func(n *testNetwork) {
				n.fail("desk", "desk-0", time.Millisecond)
				n.run(200 * time.Millisecond)
			},
			blamed: []string{"desk-0"},
			tests:  1,
		},
		{
			name: "a target can't be connected to",
			play: func(n *testNetwork) {
				n.down["desk-0"] = true
				n.connect("desk", "desk-0")
				n.run(stepTime)
				n.unconnected("desk", "desk-0")
				n.connect("desk", "desk-1")
				n.run(200 * time.Millisecond)
			},
			blamed: []string{"desk-0"},
		},
		{
			name: "a target has crashed and is down",
			play: func(n *testNetwork) {
				n.down["desk-0"] = true
				n.fail("desk", "desk-0", time.Second)
				n.connect("desk", "desk-1")
				n.run(time.Second)
			},
			blamed: []string{"desk-0"},
			tests:  1,
		},
		{
			name: "the link to one target is reset",
			play: func(n *testNetwork) {
				n.linksLost["desk-0"] = true
				n.fail("desk", "desk-0", time.Second)
				n.connect("desk", "desk-1")
				n.run(time.Second)
			},
			excused: []string{"desk-0"},
			tests:   1,
		},
		{
			name: "the links to most targets of a service are reset",
			play: func(n *testNetwork) {
				for _, name := range []string{"desk-0", "desk-1", "desk-2", "desk-3", "desk-4"} {
					n.linksLost[name] = true
				}
				n.fail("desk", "desk-0", time.Second)
				n.fail("desk", "desk-1", time.Second)
				n.run(time.Second)
			},
			excused: []string{"desk-0", "desk-1"},
			tests:   -1,
			state:   link.PartlyReachable,
		},
		{
			name: "most targets of a service have crashed",
			play: func(n *testNetwork) {
				for _, name := range []string{"desk-0", "desk-1", "desk-2", "desk-3", "desk-4"} {
					n.down[name] = true
				}
				n.fail("desk", "desk-0", time.Second)
				n.fail("desk", "desk-1", time.Second)
				n.run(time.Second)
			},
			blamed: []string{"desk-0", "desk-1"},
			tests:  -1,
		},
		{
			name: "connection begun before the failure",
			play: func(n *testNetwork) {
				n.connect("desk", "desk-1")
				n.now += stepTime
				n.linksLost["desk"] = true
				n.fail("desk", "desk-0", time.Second)
				n.run(time.Second)
			},
			excused: []string{"desk-0"},
			tests:   -1,
			state:   link.Unreachable,
		},
		{
			name: "links to one service are reset",
			play: func(n *testNetwork) {
				n.linksLost["desk"] = true
				n.fail("desk", "desk-0", time.Second)
				n.fail("desk", "desk-3", time.Second)
				n.run(time.Second)
			},
			excused: []string{"desk-0", "desk-3"},
			tests:   -1,
			state:   link.Unreachable,
		},
		{
			name: "links to one service lose packets",
			play: func(n *testNetwork) {
				n.linksLost["desk"], n.unresponsive = true, true
				n.fail("desk", "desk-0", time.Second)
				n.run(time.Second)
			},
			excused: []string{"desk-0"},
			tests:   -1,
			state:   link.Unreachable,
		},
		{
			name: "all links are lost and nobody testifies",
			play: func(n *testNetwork) {
				n.helper = false
				for name := range n.targets {
					n.linksLost[name] = true
				}
				n.fail("desk", "desk-0", time.Second)
				n.fail("till", "till-0", time.Second)
				n.run(time.Second)
			},
			excused: []string{"desk-0", "till-0"},
			tests:   -1,
			state:   link.Unreachable,
		},
		{
			name: "all links are lost and others don't reach the target either",
			play: func(n *testNetwork) {
				for name := range n.targets {
					n.linksLost[name] = true
				}
				n.down["desk-0"] = true
				n.fail("desk", "desk-0", time.Second)
				n.fail("till", "till-0", time.Second)
				n.run(time.Second)
			},
			blamed:  []string{"desk-0"},
			excused: []string{"till-0"},
			tests:   -1,
			state:   link.Unreachable,
		},
		{
			name: "links were lost when the attempt began, and then its target has crashed",
			play: func(n *testNetwork) {
				n.linksLost["desk"] = true
				n.connect("desk", "desk-1")
				n.run(500 * time.Millisecond)
				delete(n.linksLost, "desk")
				n.run(500 * time.Millisecond)
				n.down["desk-0"] = true
				n.fail("desk", "desk-0", 800*time.Millisecond)
				n.run(time.Second)
			},
			blamed: []string{"desk-0"},
			tests:  -1,
		},
		{
			name: "a request crashes one target after the other",
			play: func(n *testNetwork) {
				for _, name := range []string{"desk-0", "desk-1", "desk-2"} {
					n.down[name] = true
					n.fail("desk", name, time.Second)
				}
				n.run(time.Second)
			},
			blamed: []string{"desk-0", "desk-1", "desk-2"},
			tests:  -1,
		},
		{
			name: "a small service has failed",
			play: func(n *testNetwork) {
				n.down["till-0"], n.down["till-1"] = true, true
				n.fail("till", "till-0", time.Second)
				n.run(10 * time.Millisecond)
				n.unconnected("till", "till-1")
				n.run(time.Second)
			},
			blamed: []string{"till-0", "till-1"},
			tests:  -1,
		},
		{
			name: "a request runs while the links are lost and fails afterwards",
			play: func(n *testNetwork) {
				n.linksLost["desk"] = true
				n.connect("desk", "desk-1")
				n.run(500 * time.Millisecond)
				delete(n.linksLost, "desk")
				n.run(500 * time.Millisecond)
				n.fail("desk", "desk-0", 800*time.Millisecond)
				n.run(100 * time.Millisecond)
			},
			excused: []string{"desk-0"},
			tests:   -1,
		},
		{
			name: "links are lost again soon",
			play: func(n *testNetwork) {
				for range 3 {
					n.linksLost["desk"] = true
					n.fail("desk", "desk-0", time.Millisecond)
					n.run(500 * time.Millisecond)
					delete(n.linksLost, "desk")
					n.run(500 * time.Millisecond)
					n.fail("desk", "desk-1", time.Millisecond)
					n.run(500 * time.Millisecond)
				}
			},
			blamed:  []string{"desk-1", "desk-1", "desk-1"},
			excused: []string{"desk-0", "desk-0", "desk-0"},
			tests:   -1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := newTestNetwork(sizes)
			tt.play(n)
			slices.Sort(n.blamed)
			slices.Sort(n.excused)
			is.Equal(n.blamed, tt.blamed)
			is.Equal(n.excused, tt.excused)
			is.Equal(n.monitor.State("desk"), tt.state)
			if tt.tests >= 0 {
				is.Equal(n.tests, tt.tests)
			}
		})
	}
}

// Guards against a failed service that is taken for lost links to all services.
func TestFailedServiceLeavesOthersReachable(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(map[string]int{"desk": 6, "mill": 4, "till": 2})
	n.down["till-0"], n.down["till-1"] = true, true
	n.fail("till", "till-0", time.Second)
	for range 100 {
		n.run(20 * time.Millisecond)
		is.Equal(n.monitor.State("desk"), link.Reachable)
		is.Equal(n.monitor.State("mill"), link.Reachable)
	}
	is.Equal(n.monitor.State("till"), link.Unreachable)
	is.Equal(n.asked, []link.Question{{Service: "till", Target: "till-0"}, {Service: "till", Target: "till-1"}})
}

// Guards against an instance without any links that finds that out anew for each service,
// or that tests all of them all the time.
func TestInstanceWithoutLinksTestsFewTargets(t *testing.T) {
	is := is.New(t)
	const services = 300
	sizes := map[string]int{}
	for i := range services {
		sizes[fmt.Sprintf("service-%03d", i)] = 19
	}
	n := newTestNetwork(sizes)
	n.unresponsive = true
	for name := range sizes {
		n.linksLost[name] = true
	}
	n.fail("service-007", "service-007-1", time.Second)
	n.run(noticeTime)
	is.True(n.monitor.AllLost())
	is.Equal(n.monitor.State("service-290"), link.Unreachable)
	n.tests = 0
	n.run(10 * time.Second)
	is.True(n.tests <= 100)
	clear(n.linksLost)
	n.run(noticeTime)
	for name := range sizes {
		is.Equal(n.monitor.State(name), link.Reachable)
	}
}

// Guards against a lost link, or one that is back, which is noticed late.
func TestChangesOfLinksAreNoticedInTime(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		t.Run(fmt.Sprintf("unresponsive %v", unresponsive), func(t *testing.T) {
			is := is.New(t)
			n := newTestNetwork(map[string]int{"desk": 6, "mill": 4})
			n.unresponsive = unresponsive
			for range 20 {
				n.linksLost["desk"] = true
				n.connect("desk", "desk-0")
				n.run(noticeTime)
				is.Equal(n.monitor.State("desk"), link.Unreachable)
				delete(n.linksLost, "desk")
				n.run(noticeTime)
				is.Equal(n.monitor.State("desk"), link.Reachable)
			}
		})
	}
}

// Guards against failures that stay undecided, whatever fails when.
func TestEveryFailureIsSettled(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		n := newTestNetwork(map[string]int{"desk": 6, "mill": 4, "till": 1})
		names := []string{"desk", "mill", "till"}
		failed := 0
		for range 300 {
			service := names[random.IntN(len(names))]
			target := n.targets[service][random.IntN(len(n.targets[service]))].Name
			switch random.IntN(6) {
			case 0:
				n.linksLost[service] = !n.linksLost[service]
			case 1:
				n.down[target] = !n.down[target]
			case 2:
				n.unresponsive, n.helper = random.IntN(2) == 0, random.IntN(2) == 0
			case 3:
				n.connect(service, target)
			case 4:
				n.unconnected(service, target)
				failed++
			default:
				n.fail(service, target, time.Duration(random.IntN(1000))*time.Millisecond)
				failed++
			}
			n.run(time.Duration(random.IntN(100)) * time.Millisecond)
		}
		n.run(5 * time.Second)
		is.Equal(len(n.blamed)+len(n.excused), failed)
	}
}
