package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/link"
	"dandelionmux/pkg/target"
)

const (
	// maxWitnesses is the number of instances that are asked whether they reach a target.
	maxWitnesses = 3
)

// targetName is the name of a target and of its service.
type targetName struct {
	service string
	target  string
}

// updateLinks takes over the registered targets. The caller must hold mu.
func (st *localState) updateLinks(services map[string][]target.Registration) {
	names := make([]string, 0, len(services))
	clear(st.targetAt)
	for name, list := range services {
		names = append(names, name)
		for _, r := range list {
			st.targetAt[r.Target.Address] = targetName{
				service: name,
				target:  r.Target.Name,
			}
		}
	}
	st.links.Update(names)
}

// testTargets returns the targets of a service to which test connections may be made. The
// caller must hold mu.
func (st *localState) testTargets(name string) []link.Target {
	s := st.services[name]
	if s == nil {
		return nil
	}
	var list []link.Target
	for _, a := range s.table.Availabilities(boot.Now()) {
		list = append(list, link.Target{
			Name:    a.Name,
			Address: a.Address,
			Zone:    a.Zone,
			Usable:  a.Usable,
		})
	}
	return list
}

// connect connects to a target, and records whether that succeeded.
func (g *Gateway) connect(ctx context.Context, network, address string) (net.Conn, error) {
	began := boot.Now()
	dialContext, cancel := context.WithTimeout(ctx, targetDialTimeout)
	defer cancel()
	c, err := g.dialTarget(dialContext, network, address)
	if err == nil || ctx.Err() == nil { // else only the request has ended
		var name targetName
		g.state.withLock(func() { name = g.state.targetAt[address] })
		g.recordConnect(name, began, err)
	}
	return c, err
}

// recordConnect records whether connecting to a target, which began at a time, succeeded.
func (g *Gateway) recordConnect(name targetName, began time.Duration, err error) {
	if name.service == "" {
		return // The target has been removed meanwhile.
	}
	now := boot.Now()
	g.state.withLock(func() {
		if err == nil {
			g.state.links.ConnectSucceeded(now, began, name.service, name.target)
		} else {
			g.state.links.ConnectFailed(now, began, name.service, name.target)
		}
		g.state.wakeWaiters()
	})
	if err != nil {
		g.stepLinksLater()
	}
	g.stepLinks()
}

// holdFailure has the monitor decide whether a failed attempt, which began at a time,
// counts against its target.
func (g *Gateway) holdFailure(began time.Duration, r attemptReport) {
	g.state.withLock(func() {
		g.state.links.Hold(link.Failure[attemptReport]{
			Service:     r.service,
			Target:      r.target,
			Began:       began,
			At:          boot.Now(),
			Unconnected: r.outcome == target.Refused,
			Report:      r,
		})
	})
	g.stepLinksLater()
}

// stepLinksLater calls stepLinks when the first test after a failure may be due.
func (g *Gateway) stepLinksLater() {
	time.AfterFunc(link.TestDelay+time.Millisecond, g.contained(g.stepLinks))
}

// stepLinks does what the monitor of the links decides.
func (g *Gateway) stepLinks() {
	var actions link.Actions[attemptReport]
	st := g.state
	notify := map[int]bool{}
	st.withLock(func() {
		now := boot.Now()
		actions = st.links.Step(now, st.testTargets)
		for i, f := range actions.Blamed {
			if s := st.services[f.Service]; s != nil {
				notify[i] = s.table.Observe(now, f.Target, f.Report.outcome)
				if f.Report.outcome == target.Crashed {
					s.table.FailureBegan(now, f.Target, f.Began)
				}
			}
		}
		for _, name := range actions.Impaired {
			st.suspectTargets(now, name)
		}
		for _, name := range actions.Lost {
			if s := st.services[name]; s != nil {
				st.withdrawSuspects(s)
				s.inFlight.notifyAll()
			}
		}
		if len(actions.Impaired)+len(actions.Lost) > 0 {
			st.wakeWaiters()
		}
	})
	for i, f := range actions.Blamed {
		g.reportOutcome(f.Report, notify[i])
	}
	for _, f := range actions.Excused {
		g.recordExcused(f)
	}
	for _, t := range actions.Tests {
		go g.contain(func() { g.testTarget(t) })
	}
	for _, q := range actions.Questions {
		g.askForTestimonies(q)
	}
	for _, name := range actions.Impaired {
		g.count("Link.Impaired")
		g.logger.Warn("service impaired",
			slog.String("Service", name))
	}
	for _, name := range actions.Lost {
		g.count("Link.Lost")
		g.logger.Warn("links to service lost",
			slog.String("Service", name))
	}
	for _, name := range actions.Restored {
		g.logger.Info("service restored",
			slog.String("Service", name))
	}
	if len(actions.Impaired)+len(actions.Restored) > 0 {
		g.reportLinks(boot.Now())
	}
}

// recordExcused records a failure that doesn't count against its target. Its strike counts
// later if the target turns out to have ended.
func (g *Gateway) recordExcused(f link.Failure[attemptReport]) {
	g.count("Link.Excused." + f.Report.outcome.String())
	g.recordSuspect(f)
	attributes := []any{
		slog.String("Service", f.Service),
		slog.String("Target", f.Target),
		slog.String("Outcome", f.Report.outcome.String()),
		slog.String("Excuse", f.Excuse.String()),
	}
	if s, ok := f.Report.strike(); ok {
		attributes = append(attributes,
			slog.String("Request", s.RequestID),
			slog.String("Fingerprint", s.Fingerprint.String()))
		g.state.withLock(func() { g.state.unconfirmed.Add(s) })
	}
	g.logger.Info("failure excused by lost links", attributes...)
}

// testTarget connects to a target, closes the connection, and reports whether the target
// was reached.
func (g *Gateway) testTarget(t link.Test) bool {
	g.count("Link.Tested")
	began := boot.Now()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := g.dialTarget(ctx, "tcp4", t.Address)
	if err == nil {
		_ = c.Close()
	}
	g.recordConnect(targetName{
		service: t.Service,
		target:  t.Name,
	}, began, err)
	g.state.withLock(func() { g.state.links.EndTest(t) })
	g.stepLinks()
	return err == nil
}

// askForTestimonies asks some other instances whether they reach a target that this one
// doesn't.
func (g *Gateway) askForTestimonies(q link.Question) {
	request := decisionRequest{
		Kind: targetContact,
		Name: q.Target,
	}
	var witnesses []instance.Address
	g.state.withLock(func() { witnesses = g.state.witnesses(q.Target) })
	var reached, unreached atomic.Bool
	group := sync.WaitGroup{}
	for _, a := range witnesses {
		group.Go(g.contained(func() {
			answer, ok := g.askKeeper(context.Background(), a, request)
			switch {
			case ok && answer.Granted && !reached.Swap(true):
				g.recordTestimony(q, link.Reached)
			case ok && answer.Unreached:
				unreached.Store(true)
			}
		}))
	}
	go g.contain(func() {
		group.Wait()
		switch {
		case reached.Load():
		case unreached.Load():
			g.recordTestimony(q, link.Unreached)
		default:
			g.recordTestimony(q, link.Unknown)
		}
	})
}

// recordTestimony records what other instances have answered to a question.
func (g *Gateway) recordTestimony(q link.Question, t link.Testimony) {
	g.state.withLock(func() { g.state.links.Testify(q, t) })
	g.stepLinks()
}

// witnesses returns up to maxWitnesses instances that are asked about a target, of
// different zones. The caller must hold mu.
func (st *localState) witnesses(name string) []instance.Address {
	self := st.gateway.self.Address
	excluded := func(a instance.Address) bool { return a == self || st.unresponsive(a) }
	list := st.roster.RemoteKeepers(targetContact.String(), name, excluded)
	if a := st.roster.ZoneKeeper(targetContact.String(), name, excluded); a != self {
		list = append(list, a)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxWitnesses)]
}

// answerContact answers whether this instance can connect to a target, and if not, whether it
// can connect to another one.
func (g *Gateway) answerContact(from instance.Address, m decisionRequest) {
	var test link.Test
	known := false
	g.state.withLock(func() { test, known = g.state.testOf(m.Name) })
	response := decisionResponse{
		Number: m.Number,
	}
	began := boot.Now()
	response.Granted = known && g.testTarget(test)
	response.Unreached = known && !response.Granted && g.reachesOthers(began, test)
	g.send(from, response)
}

// reachesOthers reports whether this instance has connected to a target other than the tested
// one since a time, or can do so now.
func (g *Gateway) reachesOthers(since time.Duration, t link.Test) bool {
	var controls []link.Test
	var reached atomic.Bool
	st := g.state
	st.withLock(func() {
		reached.Store(st.links.AnyContactSince(since))
		if !reached.Load() {
			controls = st.links.Controls(t, st.testTargets)
		}
	})
	group := sync.WaitGroup{}
	for _, control := range controls {
		group.Go(g.contained(func() {
			if g.testTarget(control) {
				reached.Store(true)
			}
		}))
	}
	group.Wait()
	return reached.Load()
}

// testOf returns a test of a target, and false if there is no such target. The caller must
// hold mu.
func (st *localState) testOf(name string) (link.Test, bool) {
	for address, n := range st.targetAt {
		if n.target == name {
			return link.Test{
				Service: n.service,
				Target: link.Target{
					Name:    name,
					Address: address,
				},
			}, true
		}
	}
	return link.Test{}, false
}
