package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionmux/internal/fake"
	"dandelionmux/internal/wire"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/share"
	"dandelionmux/pkg/store"
	"dandelionmux/pkg/target"
)

const (
	// frameBytes is the overhead of a message that is sent in a write of its
	// own: 3 bytes for its length, 12 for the yamux header, and 52 for the TCP
	// and IP headers.
	frameBytes = 3 + 12 + 52
	zones      = 6
	regions    = 2
	// listLag is how far the list of instances may lag behind the fleet.
	listLag = 3 * time.Second
)

// node is one instance of a simulatedFleet.
type node struct {
	fleet     *simulatedFleet
	info      instance.Info
	state     *fleet.State
	allowance *quota.Allowance
	// timerVersion counts the timers set. Only the latest one calls the state.
	timerVersion int
	// lastRequest is the number of the last request that asked a coordinator.
	lastRequest uint64
	// pending holds the requests that await a coordinator's answer.
	pending map[uint64]bool
}

// simulatedFleet is a fleet of control states that share one virtual clock. It
// counts what they send and decide.
type simulatedFleet struct {
	plan      Plan
	timeline  *fake.Timeline
	network   *fake.Network
	store     *fake.Store
	nodes     []*node
	limits    quota.LimitMap
	byAddress map[instance.Address]*node

	messages    int
	bytes       int
	byComponent map[string]Traffic
	admitted    int
	refused     int
	// asked counts the requests that had to ask a coordinator for tokens.
	asked int
}

func newSimulatedFleet(p Plan) *simulatedFleet {
	timeline := fake.NewTimeline(p.Seed)
	f := &simulatedFleet{
		plan:        p,
		timeline:    timeline,
		network:     fake.NewNetwork(timeline),
		store:       fake.NewStore(timeline),
		limits:      quota.LimitMap{},
		byAddress:   map[instance.Address]*node{},
		byComponent: map[string]Traffic{},
	}
	for i := range p.Organisations {
		f.limits[organisationName(i)] = p.limit(i)
	}
	for i := range p.Instances {
		f.startInstance(i)
	}
	timeline.Every(2*time.Second, f.deliverList)
	f.deliverList()
	return f
}

// limit returns the limit of the i-th organisation: four times its mean rate of
// requests, at least 1 a second, and a burst of one second's requests, at least 10.
func (p Plan) limit(i int) quota.Limit {
	const slack = 4
	total := float64(p.Instances) * p.RequestRate
	expected := total * (1 - p.HotFraction) / float64(p.Organisations)
	if hot := p.hotOrganisations(); i < hot {
		expected += total * p.HotFraction / float64(hot)
	}
	return quota.Limit{
		PerSecond: max(1, slack*expected),
		Burst:     max(10, int(expected)),
	}
}

// organisationName returns the name of the i-th organisation.
func organisationName(i int) string { return fmt.Sprintf("organisation-%d", i) }

// startInstance adds the i-th instance to the fleet and gives it the configuration.
func (f *simulatedFleet) startInstance(i int) {
	n := &node{
		fleet: f,
		info: instance.Info{
			ID: instance.ID{
				Address:     instance.Address(fmt.Sprintf("10.%d.%d.%d:7000", i%zones, i/200, i%200+1)),
				Incarnation: uint64(i + 1),
			},
			Zone:   fmt.Sprintf("zone-%d", i%zones),
			Region: fmt.Sprintf("region-%d", i%regions),
		},
		allowance: quota.NewAllowance(),
		pending:   map[uint64]bool{},
	}
	random := rand.New(rand.NewPCG(f.plan.Seed, uint64(i)))
	n.state = fleet.New(n.info, n.allowance, random, fleet.WithShare(share.ListLag(listLag)))
	f.nodes = append(f.nodes, n)
	f.byAddress[n.info.Address] = n
	n.perform(n.state.Start(f.timeline.Now()))
	n.handle(fleet.Loaded{
		Limits:   f.limits,
		Services: f.services(),
		Floor:    50,
	})
}

// services returns the plan's services. All have the same number of targets.
func (f *simulatedFleet) services() []document.Service {
	services := make([]document.Service, f.plan.Services)
	for i := range services {
		services[i].Name = fmt.Sprintf("service-%d", i)
		for j := range f.plan.TargetsPerService {
			services[i].Targets = append(services[i].Targets, document.Target{
				Name:        fmt.Sprintf("target-%d", j),
				Address:     fmt.Sprintf("10.9.%d.%d:80", i%250, j),
				Zone:        fmt.Sprintf("zone-%d", j%zones),
				Slots:       6,
				Connections: 350,
			})
		}
	}
	return services
}

// deliverList gives every instance the current list of instances.
func (f *simulatedFleet) deliverList() {
	infos := make([]instance.Info, len(f.nodes))
	for i, n := range f.nodes {
		infos[i] = n.info
	}
	for _, n := range f.nodes {
		n.handle(fleet.ListRead{
			Instances: infos,
		})
	}
}

// handle passes an event to the state and carries out its effects.
func (n *node) handle(e fleet.Event) {
	n.perform(n.state.Handle(n.fleet.timeline.Now(), e))
}

func (n *node) perform(effects []fleet.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case fleet.Send:
			n.send(e)
		case fleet.StoreCall:
			n.callStore(e)
		case fleet.Admitted:
			n.admitted(e)
		case fleet.Refused:
			delete(n.pending, e.Request)
			n.fleet.refused++
		case fleet.Load:
			n.fleet.timeline.After(0, func() { n.loaded(e) })
		}
	}
	n.schedule()
}

// loaded tells the state that a revision is loaded. All have the same limits.
func (n *node) loaded(e fleet.Load) {
	n.handle(fleet.Loaded{
		Number: e.Head.Number,
		Limits: n.fleet.limits,
	})
}

// schedule sets the timer for the state's next tick, in place of the previous one.
func (n *node) schedule() {
	next := n.state.Next()
	if next == 0 {
		return
	}
	n.timerVersion++
	version := n.timerVersion
	n.fleet.timeline.At(next, func() {
		if version == n.timerVersion {
			n.handle(fleet.Tick{})
		}
	})
}

// send encodes a message, counts it, and delivers it over the fake network.
func (n *node) send(e fleet.Send) {
	f := n.fleet
	frame, err := wire.Encode(e.Message)
	if err != nil {
		panic(err)
	}
	f.messages++
	f.bytes += len(frame) + frameBytes
	component := componentOf(e.Message)
	traffic := f.byComponent[component]
	traffic.Messages++
	traffic.Bytes += len(frame) + frameBytes
	f.byComponent[component] = traffic
	f.network.Send(n.info.Address, e.To, func() {
		message, err := wire.Decode(frame)
		if err != nil {
			panic(err)
		}
		f.byAddress[e.To].handle(fleet.Received{
			From:    n.info.ID,
			Message: message,
		})
	})
}

// componentOf returns the name of the component that a message belongs to.
func componentOf(m fleet.Message) string {
	switch m.(type) {
	case fleet.MembershipMessage:
		return "membership"
	case fleet.RevisionMessage:
		return "revision"
	case fleet.ShareMessage:
		return "share"
	case fleet.QuotaMessage:
		return "quota"
	case fleet.ClaimMessage:
		return "claim"
	case fleet.TargetReport, fleet.TargetVerdicts:
		return "target"
	default:
		return "quarantine"
	}
}

// callStore sends a call to the fake store and hands its answer to the state.
func (n *node) callStore(e fleet.StoreCall) {
	n.fleet.store.Do(n.info.Address, e.Call, func(a store.Answer, err error) {
		n.handle(fleet.StoreAnswer{
			Component: e.Component,
			Number:    e.Number,
			Answer:    a,
			Err:       err,
		})
	})
}

// request admits one request of the organisation. If the instance has no token
// left, it asks a coordinator and waits up to one second.
func (n *node) request(name string) {
	f := n.fleet
	token, verdict := n.allowance.Take(f.timeline.Now(), name, 1)
	switch verdict {
	case quota.Empty:
		f.asked++
		n.lastRequest++
		n.pending[n.lastRequest] = true
		n.handle(fleet.QuotaEvent{
			Event: quota.Acquire{
				Request:      n.lastRequest,
				Organisation: name,
				Units:        1,
				Deadline:     f.timeline.Now() + time.Second,
			},
		})
		return
	case quota.TakenLow:
		n.handle(fleet.QuotaEvent{
			Event: quota.Low{
				Organisation: name,
			},
		})
	}
	n.spend(token)
}

// admitted spends the token that a coordinator granted to a pending request.
func (n *node) admitted(e fleet.Admitted) {
	if n.pending[e.Request] {
		delete(n.pending, e.Request)
		n.spend(e.Token)
	}
}

// spend spends a token, and settles it at once if the token demands that.
func (n *node) spend(token quota.Token) {
	f := n.fleet
	if token.Spend(f.timeline.Now()) {
		f.admitted++
	}
	if token.PromptReport() {
		f.timeline.After(0, func() {
			n.handle(fleet.QuotaEvent{
				Event: quota.Settled{
					Token: token,
				},
			})
		})
	}
}

// report hands the state a report on up to three targets of a service, with one
// successful attempt each.
func (n *node) report(service, number int) {
	r := target.Report{
		Service: fmt.Sprintf("service-%d", service),
		Number:  uint64(number),
	}
	for j := range min(n.fleet.plan.TargetsPerService, 3) {
		e := target.TargetReport{
			Target: fmt.Sprintf("target-%d", j),
			Cells: []target.Cell{{
				Stratum:  target.StratumOf("organisation", "route"),
				Attempts: 1,
			}},
		}
		e.Latency.Add(5 * time.Millisecond)
		r.Targets = append(r.Targets, e)
	}
	n.handle(fleet.Reported{
		Report: r,
	})
}

// putRevision puts a new revision into the store: one part of the given size.
func (f *simulatedFleet) putRevision(number uint64, size int) {
	part := make([]byte, size)
	for i := range part {
		part[i] = byte(f.timeline.Random.Uint32())
	}
	digest := revision.DigestOf(part)
	f.store.Put(revision.PartKey(digest), part)
	head, err := revision.EncodeHead(revision.Head{
		Number: number,
		Sections: []revision.SectionHead{{
			Section:  "Rates",
			Revision: number,
			Parts:    []revision.Digest{digest},
		}},
		Nonce: []byte{byte(number)},
	})
	if err != nil {
		panic(err)
	}
	f.store.Put(revision.HeadKey, head)
}
