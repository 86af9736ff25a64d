package capacity

import (
	"runtime"
	"time"

	"dandelionmux/internal/usage"
)

// Plan is what to measure.
type Plan struct {
	Seed uint64
	// Instances is the size of the fleet.
	Instances int
	// Requests is the rate on each instance, a second.
	Requests float64
	// Organisations share the requests.
	Organisations int
	// Hot is the part of the requests, from 0 to 1, that belong to one
	// organisation in a hundred.
	Hot float64
	// Services and Targets are how many services there are, and how many
	// targets each has.
	Services int
	Targets  int
	// Reports is how many services each instance reports on, a second.
	Reports int
	// Changes is the number of changes of configuration in the measured time,
	// and ChangeBytes the size of the part that each replaces.
	Changes     int
	ChangeBytes int
	// Settle is how long the fleet runs before the measurement, in virtual
	// seconds; Seconds is how long that lasts.
	Settle  int
	Seconds int
}

// Traffic counts messages.
type Traffic struct {
	Messages int
	Bytes    int
}

// Result is what one instance costs, on the average.
type Result struct {
	Plan Plan
	// Messages and Bytes are sent, a second. As much is received.
	Messages float64
	Bytes    float64
	// Core is the part of a core spent on decisions and codecs.
	Core float64
	// Heap is the memory of one control state, in bytes.
	Heap float64
	// StoreCalls is of the whole fleet, a second.
	StoreCalls float64
	// Asked is the part of the requests that asked a coordinator.
	Asked float64
	// Refused is the part of the requests that were refused.
	Refused float64
	// Shares is how many shares are in use at the end.
	Shares int
	// Parts are the messages and bytes sent by part, a second.
	Parts map[string]Rate
}

// Rate is of messages and bytes, a second.
type Rate struct {
	Messages float64
	Bytes    float64
}

// Measure runs a plan.
func Measure(p Plan) Result {
	before := heap()
	f := newSimulated(p)
	f.line.Run(time.Duration(p.Settle) * time.Second)
	used := float64(heap()-before) / float64(p.Instances)
	f.reset()
	f.drive()
	began := usage.ProcessorTime()
	f.line.Run(time.Duration(p.Seconds) * time.Second)
	spent := usage.ProcessorTime() - began
	r := f.result(spent)
	r.Heap = used
	return r
}

func (f *simulated) reset() {
	f.messages, f.bytes = 0, 0
	f.admitted, f.refused, f.asked = 0, 0, 0
	clear(f.byPart)
	f.store.Calls = 0
}

// drive sets the load of the plan up.
func (f *simulated) drive() {
	for _, n := range f.nodes {
		if f.plan.Requests > 0 {
			f.pace(n)
		}
		f.reports(n)
	}
	for i := range f.plan.Changes {
		at := time.Duration(i) * time.Duration(f.plan.Seconds) * time.Second / time.Duration(f.plan.Changes)
		f.line.After(at, func() { f.change(uint64(i+1), f.plan.ChangeBytes) })
	}
}

// pace sends a node's requests with random gaps.
func (f *simulated) pace(n *node) {
	gap := time.Duration(f.line.Random.ExpFloat64() / f.plan.Requests * float64(time.Second))
	f.line.After(gap, func() {
		n.request(organisation(f.draw()))
		f.pace(n)
	})
}

// hotOnes is how many organisations share the hot part of the requests.
func (p Plan) hotOnes() int {
	const hotPart = 100
	return max(p.Organisations/hotPart, 1)
}

// draw chooses a request's organisation.
func (f *simulated) draw() int {
	if f.line.Random.Float64() < f.plan.Hot {
		return f.line.Random.IntN(f.plan.hotOnes())
	}
	return f.line.Random.IntN(f.plan.Organisations)
}

func (f *simulated) reports(n *node) {
	if f.plan.Reports == 0 {
		return
	}
	number := 0
	f.line.Every(time.Second, func() {
		number++
		first := f.line.Random.IntN(f.plan.Services)
		for i := range f.plan.Reports {
			n.report((first+i)%f.plan.Services, number)
		}
	})
}

func (f *simulated) result(spent time.Duration) Result {
	seconds := float64(f.plan.Seconds)
	share := float64(f.plan.Instances) * seconds
	r := Result{
		Plan:       f.plan,
		Messages:   float64(f.messages) / share,
		Bytes:      float64(f.bytes) / share,
		Core:       spent.Seconds() / share,
		StoreCalls: float64(f.store.Calls) / seconds,
		Parts:      map[string]Rate{},
	}
	if total := f.admitted + f.refused; total > 0 {
		r.Asked = float64(f.asked) / float64(total)
		r.Refused = float64(f.refused) / float64(total)
	}
	for _, n := range f.nodes {
		r.Shares += len(n.state.UsableRights(f.line.Now()))
	}
	for part, t := range f.byPart {
		r.Parts[part] = Rate{
			Messages: float64(t.Messages) / share,
			Bytes:    float64(t.Bytes) / share,
		}
	}
	return r
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
