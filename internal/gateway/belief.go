package gateway

import (
	"encoding/json"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/roster"
	"dandelionmux/pkg/store"
	"dandelionmux/pkg/target"
)

// memberPrefix begins the keys under which instances register.
const memberPrefix = "dandelionmux/members/"

const (
	// trustMargin is what is taken off Settings.Trust for the way from the last
	// check of a key to the target.
	trustMargin = 400 * time.Millisecond
	// outageAge is the age of the last proof from which on entries that vanish
	// may have lapsed only because the store was away; proofs come each second.
	outageAge = 2500 * time.Millisecond
	// silence is how long an instance that didn't answer is passed over.
	silence = 1500 * time.Millisecond
	// memberGrace is how long members that vanished around an outage are kept:
	// each registers again within a renewal period or two.
	memberGrace = 5 * time.Second
)

// belief is all that the instance holds to be true. One lock guards it, and no
// decision under it waits.
type belief struct {
	gateway *Gateway

	mu       sync.Mutex
	mirror   *mirror.Mirror
	registry *target.Registry
	members  map[instance.Address]member
	roster   *roster.Roster
	index    *document.Index
	services map[string]*service
	rates    *meter.Rates
	// alone decides while no keeper can be reached.
	alone  *meter.LocalRates
	budget *meter.Budget
	tally  *quarantine.Tally
	// silent are instances that didn't answer an ask, and stale those that don't
	// read the store, until when they are passed over. A reader that the store
	// turns away still keeps rates: two keepers would give out more.
	silent  map[instance.Address]time.Duration
	stale   map[instance.Address]time.Duration
	changed chan struct{}
	// heard is when other instances last sent a datagram.
	heard   map[instance.Address]time.Duration
	started time.Duration
	// loadsDue is when this one looks next whether to tell its loads, and toldLoads
	// when it last did.
	loadsDue  time.Duration
	toldLoads time.Duration
}

// member is another instance as it registered.
type member struct {
	instance.Info
	// until is when a member that vanished around an outage is given up; zero
	// for one that is registered.
	until time.Duration
}

// memberValue is the value of a member's key.
type memberValue struct {
	Zone        string
	Incarnation uint64
}

func newBelief(g *Gateway) *belief {
	return &belief{
		gateway:  g,
		mirror:   mirror.New(),
		registry: target.NewRegistry(),
		members:  map[instance.Address]member{},
		roster:   roster.New(g.self, nil),
		services: map[string]*service{},
		rates:    meter.NewRates(g.settings.Zone, g.settings.RateTolerance),
		alone:    meter.NewLocalRates(),
		budget: meter.NewBudget(meter.BudgetSettings{
			Ratio:   g.settings.RetryRatio,
			Minimum: g.settings.MinRetries,
			Span:    g.settings.RetryWindow,
		}),
		tally:   quarantine.NewTally(),
		silent:  map[instance.Address]time.Duration{},
		stale:   map[instance.Address]time.Duration{},
		changed: make(chan struct{}),
		heard:   map[instance.Address]time.Duration{},
		started: boot.Now(),
	}
}

// update changes the mirror and what follows from it.
func (b *belief) update(change func(m *mirror.Mirror) []store.Entry) {
	if b.updateMembers(change) {
		// What another instance keeps from now on is returned to it.
		b.gateway.tellWants()
	}
}

// updateMembers tells whether members came or went.
func (b *belief) updateMembers(change func(m *mirror.Mirror) []store.Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := boot.Now()
	at, proved := b.mirror.ConfirmedAt()
	outage := proved && now-at > outageAge
	before := b.mirror.Counter()
	news := change(b.mirror)
	targets, members := false, false
	for _, e := range news {
		switch {
		case e.Key == b.gateway.adapters.ConfigurationKey:
			b.configure(e)
		case strings.HasPrefix(e.Key, b.gateway.adapters.TargetPrefix):
			targets = b.register(now, e, outage) || targets
		case strings.HasPrefix(e.Key, memberPrefix):
			b.enlist(now, e, outage)
			members = true
		}
	}
	if members {
		b.reroster()
	}
	if targets || b.index != nil && len(b.services) == 0 {
		b.retable(now)
	}
	after, provedNow := b.mirror.ConfirmedAt()
	if provedNow && (!proved || after > at) {
		until := after + b.gateway.settings.MaxConfigurationAge - trustMargin
		b.gateway.publish(func(s *entry.Snapshot) { s.TrustedUntil = until })
	}
	if b.mirror.Counter() != before {
		close(b.changed)
		b.changed = make(chan struct{})
	}
	return members
}

// configure puts a newer configuration in force.
func (b *belief) configure(e store.Entry) {
	log := b.gateway.logger
	if e.Version == 0 {
		log.Warn("configuration removed, the last one holds")
		return
	}
	d, err := b.gateway.adapters.DecodeConfiguration(e.Value)
	if err != nil {
		log.Error("configuration refused",
			slog.Int64("Counter", e.Version),
			slog.String("Error", err.Error()))
		return
	}
	if b.index != nil && d.Revision <= b.index.Revision() {
		return
	}
	b.index = document.NewIndex(d)
	b.gateway.publish(func(s *entry.Snapshot) {
		s.Index = b.index
		s.KeyLocations = keyLocations
	})
	log.Info("configuration in force",
		slog.Uint64("Revision", d.Revision),
		slog.Int64("Counter", e.Version),
		slog.Int("Routes", len(d.Routes)),
		slog.Int("Organisations", len(d.Organisations)))
}

// keyLocations is where callers put their keys.
var keyLocations = []document.KeyLocation{{Place: document.InBearer}}

// register takes a target's registration or its end.
func (b *belief) register(now time.Duration, e store.Entry, outage bool) bool {
	log := b.gateway.logger
	name := strings.TrimPrefix(e.Key, b.gateway.adapters.TargetPrefix)
	if e.Version == 0 {
		log.Info("target gone",
			slog.String("Target", name),
			slog.Int64("Counter", e.RemovedAt),
			slog.Bool("Outage", outage))
		b.registry.Remove(now, name, outage)
		return true
	}
	r, err := b.gateway.adapters.DecodeTarget(e.Key, e.Value)
	if err != nil {
		log.Warn("registration refused",
			slog.Int64("Counter", e.Version),
			slog.String("Error", err.Error()))
		return false
	}
	if !b.registry.Put(r) {
		return false
	}
	log.Info("target registered",
		slog.String("Target", name),
		slog.String("Service", r.Service),
		slog.String("Address", r.Target.Address),
		slog.Bool("Leaving", r.Target.Leaving),
		slog.Int64("Counter", e.Version))
	return true
}

// enlist takes a member's registration or its end.
func (b *belief) enlist(now time.Duration, e store.Entry, outage bool) {
	address := instance.Address(strings.TrimPrefix(e.Key, memberPrefix))
	log := b.gateway.logger
	if e.Version == 0 {
		log.Info("member gone",
			slog.String("Member", string(address)),
			slog.Bool("Outage", outage))
		m, ok := b.members[address]
		if ok && outage {
			m.until = now + memberGrace
			b.members[address] = m
			return
		}
		delete(b.members, address)
		return
	}
	var v memberValue
	if err := json.Unmarshal(e.Value, &v); err != nil {
		log.Warn("member refused",
			slog.String("Member", string(address)),
			slog.String("Error", err.Error()))
		return
	}
	b.members[address] = member{
		Info: instance.Info{
			ID: instance.ID{
				Address:     address,
				Incarnation: v.Incarnation,
			},
			Zone: v.Zone,
		},
	}
	delete(b.silent, address)
	delete(b.stale, address)
	log.Debug("member registered",
		slog.String("Member", string(address)))
}

func (b *belief) reroster() {
	list := make([]instance.Info, 0, len(b.members))
	for _, m := range b.members {
		list = append(list, m.Info)
	}
	b.roster = roster.New(b.gateway.self, list)
}

// retable brings the tables in line with the registry.
func (b *belief) retable(now time.Duration) {
	services := b.registry.Services()
	for name, s := range b.services {
		s.table.Update(now, services[name])
	}
	for name, list := range services {
		if b.services[name] == nil {
			b.services[name] = &service{
				name:      name,
				table:     outlier.New(b.gateway.settings.Zone, newRandom()),
				latencies: outlier.NewLatencies(),
			}
			b.services[name].table.Update(now, list)
		}
	}
}

// expire gives up what didn't come back after an outage.
func (b *belief) expire(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.registry.Expire(now) {
		b.gateway.logger.Info("targets given up after an outage",
			slog.Int("Targets", b.registry.Len()))
		b.retable(now)
	}
	changed := false
	for address, m := range b.members {
		if m.until != 0 && now >= m.until {
			delete(b.members, address)
			changed = true
		}
	}
	if changed {
		b.reroster()
	}
	maps.DeleteFunc(b.heard, func(a instance.Address, at time.Duration) bool {
		_, member := b.members[a]
		return !member && now >= at+memberTerm
	})
	for _, passedOver := range []map[instance.Address]time.Duration{b.silent, b.stale} {
		maps.DeleteFunc(passedOver, func(_ instance.Address, until time.Duration) bool { return now >= until })
	}
}

// quiet tells whether an instance has lately not answered an ask. The lock is
// held.
func (b *belief) quiet(a instance.Address) bool {
	_, ok := b.silent[a]
	return ok
}

// hush passes over a keeper that didn't answer.
func (b *belief) hush(a instance.Address, task string) {
	b.look(func() { b.silent[a] = boot.Now() + silence })
	b.gateway.count("Peer.Silent")
	b.gateway.logger.Warn("instance silent",
		slog.String("Peer", string(a)),
		slog.String("Task", task))
}

// distrust passes over a reader whose proof is stale.
func (b *belief) distrust(a instance.Address, why string) {
	b.look(func() { b.stale[a] = boot.Now() + staleSilence })
	b.gateway.count("Reader.Stale")
	b.gateway.logger.Warn("reader stale",
		slog.String("Peer", string(a)),
		slog.String("Reason", why))
}

// look reads under the lock.
func (b *belief) look(read func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	read()
}
