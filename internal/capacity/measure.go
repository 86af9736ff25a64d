package capacity

import (
	"runtime"
	"time"

	"dandelionmux/internal/usage"
)

// Plan says which fleet to simulate, under which load, and for how long.
type Plan struct {
	// Seed is the seed of the virtual run.
	Seed uint64
	// Instances is the size of the fleet.
	Instances int
	// RequestRate is the number of requests a second on each instance.
	RequestRate float64
	// Organisations is the number of organisations that send the requests.
	Organisations int
	// HotFraction is the fraction of the requests, from 0 to 1, that one in a
	// hundred organisations send.
	HotFraction float64
	// Services is the number of services, each with TargetsPerService targets.
	Services          int
	TargetsPerService int
	// ReportRate is the number of services that each instance reports on, a
	// second.
	ReportRate int
	// Changes is the number of changes of configuration in the measured time.
	// Each replaces one part of ChangeBytes bytes.
	Changes     int
	ChangeBytes int
	// SettleSeconds is how long the fleet runs before the measurement, in
	// virtual seconds.
	SettleSeconds int
	// Seconds is the length of the measurement in virtual seconds.
	Seconds int
}

// Traffic counts messages and their bytes.
type Traffic struct {
	Messages int
	Bytes    int
}

// Result is the cost of a run. Where nothing else is said, it is the mean of one
// instance.
type Result struct {
	Plan Plan
	// MessageRate and ByteRate are the messages and bytes sent a second. As many
	// are received.
	MessageRate float64
	ByteRate    float64
	// Cores is the processor time spent on decisions and codecs, in cores.
	Cores float64
	// Heap is the memory of one control state, in bytes.
	Heap float64
	// StoreCallRate is the number of store calls of the whole fleet, a second.
	StoreCallRate float64
	// AskedFraction is the fraction of the requests that asked a coordinator.
	AskedFraction float64
	// RefusedFraction is the fraction of the requests that were refused.
	RefusedFraction float64
	// Shares is the number of shares in use in the whole fleet at the end.
	Shares int
	// Components maps each component to the messages and bytes that it sent.
	Components map[string]Rate
}

// Rate is a number of messages and of bytes, a second.
type Rate struct {
	Messages float64
	Bytes    float64
}

// Measure runs a plan and returns its cost. It forces garbage collections and
// counts the processor time of the whole process, so nothing else may run.
func Measure(p Plan) Result {
	before := heapInUse()
	f := newSimulatedFleet(p)
	f.timeline.Run(time.Duration(p.SettleSeconds) * time.Second)
	heapPerInstance := float64(heapInUse()-before) / float64(p.Instances)
	f.reset()
	f.startLoad()
	start := usage.ProcessorTime()
	f.timeline.Run(time.Duration(p.Seconds) * time.Second)
	processorTime := usage.ProcessorTime() - start
	r := f.result(processorTime)
	r.Heap = heapPerInstance
	return r
}

// reset clears the counters, so that the settling time is not counted.
func (f *simulatedFleet) reset() {
	f.messages, f.bytes = 0, 0
	f.admitted, f.refused, f.asked = 0, 0, 0
	clear(f.byComponent)
	f.store.Calls = 0
}

// startLoad schedules the requests, reports and changes of the plan.
func (f *simulatedFleet) startLoad() {
	for _, n := range f.nodes {
		if f.plan.RequestRate > 0 {
			f.sendRequests(n)
		}
		f.sendReports(n)
	}
	for i := range f.plan.Changes {
		at := time.Duration(i) * time.Duration(f.plan.Seconds) * time.Second / time.Duration(f.plan.Changes)
		f.timeline.After(at, func() { f.putRevision(uint64(i+1), f.plan.ChangeBytes) })
	}
}

// sendRequests sends a node's requests with exponentially distributed gaps.
func (f *simulatedFleet) sendRequests(n *node) {
	gap := time.Duration(f.timeline.Random.ExpFloat64() / f.plan.RequestRate * float64(time.Second))
	f.timeline.After(gap, func() {
		n.request(organisationName(f.randomOrganisation()))
		f.sendRequests(n)
	})
}

// hotOrganisations returns the number of organisations that send HotFraction of
// the requests.
func (p Plan) hotOrganisations() int {
	const organisationsPerHot = 100
	return max(p.Organisations/organisationsPerHot, 1)
}

// randomOrganisation returns the index of the organisation that sends the next
// request.
func (f *simulatedFleet) randomOrganisation() int {
	if f.timeline.Random.Float64() < f.plan.HotFraction {
		return f.timeline.Random.IntN(f.plan.hotOrganisations())
	}
	return f.timeline.Random.IntN(f.plan.Organisations)
}

// sendReports sends a node's reports once a second, from a random service on.
func (f *simulatedFleet) sendReports(n *node) {
	if f.plan.ReportRate == 0 {
		return
	}
	number := 0
	f.timeline.Every(time.Second, func() {
		number++
		first := f.timeline.Random.IntN(f.plan.Services)
		for i := range f.plan.ReportRate {
			n.report((first+i)%f.plan.Services, number)
		}
	})
}

// result returns the cost since the last reset.
func (f *simulatedFleet) result(processorTime time.Duration) Result {
	seconds := float64(f.plan.Seconds)
	instanceSeconds := float64(f.plan.Instances) * seconds
	r := Result{
		Plan:          f.plan,
		MessageRate:   float64(f.messages) / instanceSeconds,
		ByteRate:      float64(f.bytes) / instanceSeconds,
		Cores:         processorTime.Seconds() / instanceSeconds,
		StoreCallRate: float64(f.store.Calls) / seconds,
		Components:    map[string]Rate{},
	}
	if total := f.admitted + f.refused; total > 0 {
		r.AskedFraction = float64(f.asked) / float64(total)
		r.RefusedFraction = float64(f.refused) / float64(total)
	}
	for _, n := range f.nodes {
		r.Shares += len(n.state.UsableRights(f.timeline.Now()))
	}
	for component, traffic := range f.byComponent {
		r.Components[component] = Rate{
			Messages: float64(traffic.Messages) / instanceSeconds,
			Bytes:    float64(traffic.Bytes) / instanceSeconds,
		}
	}
	return r
}

// heapInUse returns the bytes of the live heap, after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
