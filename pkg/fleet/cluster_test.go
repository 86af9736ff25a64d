package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionmux/internal/fake"
	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/share"
	"dandelionmux/pkg/store"
)

// driftBound is the maximum drift of the clocks in either direction, in parts
// per million.
const driftBound = 400

// node is one run of an instance.
type node struct {
	cluster   *cluster
	info      instance.Info
	state     *fleet.State
	allowance *quota.Allowance
	// The node's clock is ahead by offset and drifts by drift parts per million.
	offset         time.Duration
	drift          int64
	up             bool
	paused         bool
	queuedEvents   []fleet.Event
	wakeNumber     int
	lastRequest    uint64
	pending        map[uint64]func(token quota.Token, refused *quota.Refused)
	leaveCompleted bool
	memberCount    int
	messages       int
	calls          int
}

// cluster runs the states of a fleet on one virtual time.
type cluster struct {
	t               *testing.T
	timeline        *fake.Timeline
	network         *fake.Network
	store           *fake.Store
	nodes           []*node
	options         []fleet.Option
	limits          quota.LimitMap
	zones           int
	lastIncarnation uint64
}

// newCluster starts a cluster of count instances that read the instance list
// once a second.
func newCluster(t *testing.T, seed uint64, count int, limits quota.LimitMap, options ...fleet.Option) *cluster {
	t.Helper()
	timeline := fake.NewTimeline(seed)
	c := &cluster{
		t:        t,
		timeline: timeline,
		network:  fake.NewNetwork(timeline),
		store:    fake.NewStore(timeline),
		options:  append([]fleet.Option{fleet.WithShare(share.ListLag(3 * time.Second))}, options...),
		limits:   limits,
		zones:    3,
	}
	for i := range count {
		c.start(i)
	}
	timeline.Every(time.Second, c.sendList)
	c.sendList()
	return c
}

// address returns the address of instance i.
func address(i int) instance.Address {
	return instance.Address(fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1))
}

// start starts a new run of instance i.
func (c *cluster) start(i int) *node {
	c.lastIncarnation++
	n := &node{
		cluster: c,
		info: instance.Info{
			ID: instance.ID{
				Address:     address(i),
				Incarnation: c.lastIncarnation,
			},
			Zone:   fmt.Sprintf("zone-%d", i%c.zones),
			Region: "west",
		},
		allowance: quota.NewAllowance(),
		offset:    c.timeline.RandomDuration(0, time.Hour),
		drift:     c.timeline.Random.Int64N(2*driftBound) - driftBound,
		up:        true,
		pending:   map[uint64]func(quota.Token, *quota.Refused){},
	}
	random := rand.New(rand.NewPCG(c.timeline.Random.Uint64(), 1))
	n.state = fleet.New(n.info, n.allowance, random, c.options...)
	if i < len(c.nodes) {
		c.nodes[i] = n
	} else {
		c.nodes = append(c.nodes, n)
	}
	n.perform(n.state.Start(n.clock()))
	n.handle(fleet.Loaded{
		Number: 1,
		Limits: c.limits,
	})
	return n
}

// sendList passes the instance list to every instance.
func (c *cluster) sendList() {
	var infos []instance.Info
	for _, n := range c.nodes {
		if n.up {
			infos = append(infos, n.info)
		}
	}
	for _, n := range c.nodes {
		n.handle(fleet.ListRead{
			Instances: infos,
		})
	}
}

// clock returns the time of the node's monotonic clock.
func (n *node) clock() time.Duration { return n.clockAt(n.cluster.timeline.Now()) }

// clockAt returns the time of the node's clock at a time of the cluster.
func (n *node) clockAt(real time.Duration) time.Duration {
	return n.offset + real + real/1_000_000*time.Duration(n.drift)
}

// realTime returns the cluster's time at which the node's clock shows a time.
func (n *node) realTime(local time.Duration) time.Duration {
	real := local - n.offset
	for n.clockAt(real) > local {
		real -= n.clockAt(real) - local
	}
	for n.clockAt(real) < local {
		real += local - n.clockAt(real)
	}
	return real
}

// crash ends the run without a message.
func (n *node) crash() { n.up = false }

// pause stops the run until resume; events are queued.
func (n *node) pause() { n.paused = true }

func (n *node) resume() {
	n.paused = false
	backlog := n.queuedEvents
	n.queuedEvents = nil
	for _, e := range backlog {
		n.handle(e)
	}
	n.handle(fleet.Tick{})
}

func (n *node) handle(e fleet.Event) {
	if !n.up {
		return
	}
	if n.paused {
		n.queuedEvents = append(n.queuedEvents, e)
		return
	}
	n.perform(n.state.Handle(n.clock(), e))
}

func (n *node) perform(effects []fleet.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case fleet.Send:
			n.send(e)
		case fleet.StoreCall:
			n.call(e)
		case fleet.Admitted:
			n.deliverAnswer(e.Request, e.Token, nil)
		case fleet.Refused:
			n.deliverAnswer(e.Request, quota.Token{}, &e.Refused)
		case fleet.MembersChanged:
			n.memberCount = len(e.Members)
		case fleet.LeaveCompleted:
			n.leaveCompleted = true
		}
	}
	n.schedule()
}

func (n *node) schedule() {
	next := n.state.Next()
	if next == 0 {
		return
	}
	n.wakeNumber++
	wake := n.wakeNumber
	n.cluster.timeline.At(n.realTime(next), func() {
		if wake == n.wakeNumber {
			n.handle(fleet.Tick{})
		}
	})
}

func (n *node) send(e fleet.Send) {
	n.messages++
	c := n.cluster
	c.network.Send(n.info.Address, e.To, func() {
		for _, to := range c.nodes {
			if to.info.Address == e.To {
				to.handle(fleet.Received{
					From:    n.info.ID,
					Message: e.Message,
				})
			}
		}
	})
}

func (n *node) call(e fleet.StoreCall) {
	n.calls++
	n.cluster.store.Do(n.info.Address, e.Call, func(a store.Answer, err error) {
		n.handle(fleet.StoreAnswer{
			Component: e.Component,
			Number:    e.Number,
			Answer:    a,
			Err:       err,
		})
	})
}

func (n *node) deliverAnswer(request uint64, token quota.Token, refused *quota.Refused) {
	f, ok := n.pending[request]
	if !ok {
		return
	}
	delete(n.pending, request)
	f(token, refused)
}

// request acquires one unit and spends it, as a request does. It reports to
// ended whether the request ran.
func (n *node) request(organisation string, ended func(ran bool)) {
	if !n.up || n.paused {
		ended(false)
		return
	}
	token, result := n.allowance.Take(n.clock(), organisation, 1)
	if result != quota.Empty {
		ended(n.spend(token))
		if result == quota.TakenLow {
			n.handle(fleet.QuotaEvent{
				Event: quota.Low{
					Organisation: organisation,
				},
			})
		}
		return
	}
	n.lastRequest++
	n.pending[n.lastRequest] = func(token quota.Token, refused *quota.Refused) {
		ended(refused == nil && n.spend(token))
	}
	n.handle(fleet.QuotaEvent{
		Event: quota.Acquire{
			Request:      n.lastRequest,
			Organisation: organisation,
			Units:        1,
			Deadline:     n.clock() + 2*time.Second,
		},
	})
}

func (n *node) spend(token quota.Token) bool {
	ran := n.up && !n.paused && token.Spend(n.clock())
	if token.PromptReport() {
		n.cluster.timeline.After(0, func() {
			n.handle(fleet.QuotaEvent{
				Event: quota.Settled{
					Token: token,
				},
			})
		})
	}
	return ran
}

// heldShares counts the shares in use.
func (c *cluster) heldShares() int {
	count := 0
	for _, n := range c.nodes {
		if n.up {
			count += len(n.state.UsableRights(n.clock()))
		}
	}
	return count
}

// maturityTime is how long holders must have run before they may confirm deaths
// and take shares over.
const maturityTime = 30 * time.Second

// settle runs until all instances see each other, all shares are in use, and
// their holders have run for maturityTime.
func (c *cluster) settle() {
	c.t.Helper()
	_, ok := c.timeline.RunUntil(time.Minute, func() bool {
		for _, n := range c.nodes {
			if n.up && n.memberCount != c.aliveCount() {
				return false
			}
		}
		return c.heldShares() == share.DefaultTotal
	})
	if !ok {
		c.t.Fatalf("the fleet did not settle: %d shares in use", c.heldShares())
	}
	c.timeline.Run(maturityTime)
}

func (c *cluster) aliveCount() int {
	count := 0
	for _, n := range c.nodes {
		if n.up {
			count++
		}
	}
	return count
}

// usage checks that an organisation stays within its limit in every time
// window.
type usage struct {
	limit quota.Limit
	// balance is (units used) - rate·t. maxExcess is its highest rise above
	// an earlier lowest value, which must not exceed the burst.
	used          float64
	lowestBalance float64
	maxExcess     float64
}

func (u *usage) add(at time.Duration) {
	earned := u.limit.PerSecond * at.Seconds()
	u.lowestBalance = min(u.lowestBalance, u.used-earned)
	u.used++
	u.maxExcess = max(u.maxExcess, u.used-earned-u.lowestBalance)
}

func (u *usage) withinLimit() bool { return u.maxExcess <= float64(u.limit.Burst)+1e-6 }
