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
	// frameBytes is what the network adds to a message that shares no write
	// with others: the length, yamux's head, and those of TCP and IP.
	frameBytes = 3 + 12 + 52
	zones      = 6
	regions    = 2
	// listLag is the instance list's, in the measurements.
	listLag = 3 * time.Second
)

// node is one instance.
type node struct {
	fleet     *simulated
	info      instance.Info
	state     *fleet.State
	allowance *quota.Allowance
	wake      int
	number    uint64
	wants     map[uint64]bool
}

// simulated is a fleet of control states on one virtual time.
type simulated struct {
	plan    Plan
	line    *fake.Timeline
	network *fake.Network
	store   *fake.Store
	nodes   []*node
	limits  quota.LimitMap
	byName  map[instance.Address]*node

	messages int
	bytes    int
	byPart   map[string]Traffic
	admitted int
	refused  int
	asked    int
}

func newSimulated(p Plan) *simulated {
	line := fake.NewTimeline(p.Seed)
	f := &simulated{
		plan:    p,
		line:    line,
		network: fake.NewNetwork(line),
		store:   fake.NewStore(line),
		limits:  quota.LimitMap{},
		byName:  map[instance.Address]*node{},
		byPart:  map[string]Traffic{},
	}
	for i := range p.Organisations {
		f.limits[organisation(i)] = p.limit(i)
	}
	for i := range p.Instances {
		f.start(i)
	}
	line.Every(2*time.Second, f.list)
	f.list()
	return f
}

// limit is four times what an organisation asks for on the average, with a
// burst of a second's requests.
func (p Plan) limit(i int) quota.Limit {
	const slack = 4
	total := float64(p.Instances) * p.Requests
	expected := total * (1 - p.Hot) / float64(p.Organisations)
	if hot := p.hotOnes(); i < hot {
		expected += total * p.Hot / float64(hot)
	}
	return quota.Limit{
		PerSecond: max(1, slack*expected),
		Burst:     max(10, int(expected)),
	}
}

func organisation(i int) string { return fmt.Sprintf("organisation-%d", i) }

func (f *simulated) start(i int) {
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
		wants:     map[uint64]bool{},
	}
	random := rand.New(rand.NewPCG(f.plan.Seed, uint64(i)))
	n.state = fleet.New(n.info, n.allowance, random, fleet.WithShare(share.ListLag(listLag)))
	f.nodes = append(f.nodes, n)
	f.byName[n.info.Address] = n
	n.perform(n.state.Start(f.line.Now()))
	n.handle(fleet.Loaded{
		Limits:   f.limits,
		Services: f.services(),
		Floor:    50,
	})
}

// services are as many as the plan says, with the same number of targets each.
func (f *simulated) services() []document.Service {
	list := make([]document.Service, f.plan.Services)
	for i := range list {
		list[i].Name = fmt.Sprintf("service-%d", i)
		for j := range f.plan.Targets {
			list[i].Targets = append(list[i].Targets, document.Target{
				Name:        fmt.Sprintf("target-%d", j),
				Address:     fmt.Sprintf("10.9.%d.%d:80", i%250, j),
				Zone:        fmt.Sprintf("zone-%d", j%zones),
				Slots:       6,
				Connections: 350,
			})
		}
	}
	return list
}

func (f *simulated) list() {
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

func (n *node) handle(e fleet.Event) {
	n.perform(n.state.Handle(n.fleet.line.Now(), e))
}

func (n *node) perform(effects []fleet.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case fleet.Send:
			n.send(e)
		case fleet.StoreCall:
			n.call(e)
		case fleet.Admitted:
			n.admitted(e)
		case fleet.Refused:
			delete(n.wants, e.Request)
			n.fleet.refused++
		case fleet.Load:
			n.fleet.line.After(0, func() { n.loaded(e) })
		}
	}
	n.schedule()
}

func (n *node) loaded(e fleet.Load) {
	n.handle(fleet.Loaded{
		Number: e.Head.Number,
		Limits: n.fleet.limits,
	})
}

func (n *node) schedule() {
	next := n.state.Next()
	if next == 0 {
		return
	}
	n.wake++
	wake := n.wake
	n.fleet.line.At(next, func() {
		if wake == n.wake {
			n.handle(fleet.Tick{})
		}
	})
}

// send passes a message through its wire form and the network.
func (n *node) send(e fleet.Send) {
	f := n.fleet
	frame, err := wire.Encode(e.Message)
	if err != nil {
		panic(err)
	}
	f.messages++
	f.bytes += len(frame) + frameBytes
	part := partOf(e.Message)
	t := f.byPart[part]
	t.Messages++
	t.Bytes += len(frame) + frameBytes
	f.byPart[part] = t
	f.network.Send(n.info.Address, e.To, func() {
		message, err := wire.Decode(frame)
		if err != nil {
			panic(err)
		}
		f.byName[e.To].handle(fleet.Received{
			From:    n.info.ID,
			Message: message,
		})
	})
}

// partOf names the part that a message belongs to.
func partOf(m fleet.Message) string {
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

func (n *node) call(e fleet.StoreCall) {
	n.fleet.store.Do(n.info.Address, e.Call, func(a store.Answer, err error) {
		n.handle(fleet.StoreAnswer{
			Component: e.Component,
			Number:    e.Number,
			Answer:    a,
			Err:       err,
		})
	})
}

// request sends one request's admission, and what it shows of a target.
func (n *node) request(name string) {
	f := n.fleet
	token, verdict := n.allowance.Take(f.line.Now(), name, 1)
	switch verdict {
	case quota.Empty:
		f.asked++
		n.number++
		n.wants[n.number] = true
		n.handle(fleet.QuotaEvent{
			Event: quota.Acquire{
				Request:      n.number,
				Organisation: name,
				Units:        1,
				Deadline:     f.line.Now() + time.Second,
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

func (n *node) admitted(e fleet.Admitted) {
	if n.wants[e.Request] {
		delete(n.wants, e.Request)
		n.spend(e.Token)
	}
}

func (n *node) spend(token quota.Token) {
	f := n.fleet
	if token.Spend(f.line.Now()) {
		f.admitted++
	}
	if token.PromptReport() {
		f.line.After(0, func() {
			n.handle(fleet.QuotaEvent{
				Event: quota.Settled{
					Token: token,
				},
			})
		})
	}
}

// report sends one service's evidence, as an instance does once a second.
func (n *node) report(service, number int) {
	r := target.Report{
		Service: fmt.Sprintf("service-%d", service),
		Number:  uint64(number),
	}
	for j := range min(n.fleet.plan.Targets, 3) {
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

// change puts a new revision into the store: one part of the given size.
func (f *simulated) change(number uint64, size int) {
	part := make([]byte, size)
	for i := range part {
		part[i] = byte(f.line.Random.Uint32())
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
