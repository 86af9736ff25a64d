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
	// configurationAgeMargin is what is taken off Settings.Trust for the way from the last
	// check of a key to the target.
	configurationAgeMargin = 400 * time.Millisecond
	// outageConfirmationAge is the age of the last proof from which on entries that vanish
	// may have lapsed only because the store was away; proofs come each second.
	outageConfirmationAge = 2500 * time.Millisecond
	// unresponsivePeriod is how long an instance that didn't answer is passed over.
	unresponsivePeriod = 1500 * time.Millisecond
	// memberGracePeriod is how long members that vanished around an outage are kept:
	// each registers again within a renewal period or two.
	memberGracePeriod = 5 * time.Second
)

// localState is all that the instance holds to be true. One lock guards it, and no
// decision under it waits.
type localState struct {
	gateway *Gateway

	mu       sync.Mutex
	mirror   *mirror.Mirror
	targets  *target.Registry
	members  map[instance.Address]member
	roster   *roster.Roster
	index    *document.Index
	services map[string]*service
	rates    *meter.Rates
	// localRates decides while no keeper can be reached.
	localRates *meter.LocalRates
	budgets    *meter.Budget
	strikes    *quarantine.Tally
	// unresponsiveUntil are instances that didn't answer an ask, and stale those that don't
	// read the store, until when they are passed over. A reader that the store
	// turns away still keeps rates: two keepers would give out more.
	unresponsiveUntil map[instance.Address]time.Duration
	staleUntil        map[instance.Address]time.Duration
	mirrorChanged     chan struct{}
	// lastDatagramAt is when other instances last sent a datagram.
	lastDatagramAt map[instance.Address]time.Duration
	startedAt      time.Duration
	// nextLoadReportAt is when this one looks next whether to tell its loads, and toldLoads
	// when it last did.
	nextLoadReportAt time.Duration
	lastLoadReportAt time.Duration
}

// member is another instance as it registered.
type member struct {
	instance.Info
	// expiresAt is when a member that vanished around an outage is given up; zero
	// for one that is registered.
	expiresAt time.Duration
}

// memberValue is the value of a member's key.
type memberValue struct {
	Zone        string
	Incarnation uint64
}

func newLocalState(g *Gateway) *localState {
	return &localState{
		gateway:    g,
		mirror:     mirror.New(),
		targets:    target.NewRegistry(),
		members:    map[instance.Address]member{},
		roster:     roster.New(g.self, nil),
		services:   map[string]*service{},
		rates:      meter.NewRates(g.settings.Zone, g.settings.RateTolerance),
		localRates: meter.NewLocalRates(),
		budgets: meter.NewBudget(meter.BudgetSettings{
			Ratio:   g.settings.RetryRatio,
			Minimum: g.settings.MinRetries,
			Span:    g.settings.RetryWindow,
		}),
		strikes:           quarantine.NewTally(),
		unresponsiveUntil: map[instance.Address]time.Duration{},
		staleUntil:        map[instance.Address]time.Duration{},
		mirrorChanged:     make(chan struct{}),
		lastDatagramAt:    map[instance.Address]time.Duration{},
		startedAt:         boot.Now(),
	}
}

// update changes the mirror and what follows from it.
func (st *localState) update(change func(m *mirror.Mirror) []store.Entry) {
	if st.updateLocked(change) {
		// What another instance keeps from now on is returned to it.
		st.gateway.sendLoanRequests()
	}
}

// updateLocked tells whether members came or went.
func (st *localState) updateLocked(change func(m *mirror.Mirror) []store.Entry) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := boot.Now()
	confirmedAt, confirmed := st.mirror.ConfirmedAt()
	outage := confirmed && now-confirmedAt > outageConfirmationAge
	counterBefore := st.mirror.Counter()
	changes := change(st.mirror)
	targetsChanged, membersChanged := false, false
	for _, e := range changes {
		switch {
		case e.Key == st.gateway.adapters.ConfigurationKey:
			st.applyConfiguration(e)
		case strings.HasPrefix(e.Key, st.gateway.adapters.TargetPrefix):
			targetsChanged = st.applyTarget(now, e, outage) || targetsChanged
		case strings.HasPrefix(e.Key, memberPrefix):
			st.applyMember(now, e, outage)
			membersChanged = true
		}
	}
	if membersChanged {
		st.rebuildRoster()
	}
	if targetsChanged || st.index != nil && len(st.services) == 0 {
		st.updateTables(now)
	}
	newConfirmedAt, confirmedNow := st.mirror.ConfirmedAt()
	if confirmedNow && (!confirmed || newConfirmedAt > confirmedAt) {
		until := newConfirmedAt + st.gateway.settings.MaxConfigurationAge - configurationAgeMargin
		st.gateway.publish(func(s *entry.Snapshot) { s.TrustedUntil = until })
	}
	if st.mirror.Counter() != counterBefore {
		close(st.mirrorChanged)
		st.mirrorChanged = make(chan struct{})
	}
	return membersChanged
}

// applyConfiguration puts a newer configuration in force.
func (st *localState) applyConfiguration(e store.Entry) {
	log := st.gateway.logger
	if e.Version == 0 {
		log.Warn("configuration removed, the last one holds")
		return
	}
	d, err := st.gateway.adapters.DecodeConfiguration(e.Value)
	if err != nil {
		log.Error("configuration refused",
			slog.Int64("Counter", e.Version),
			slog.String("Error", err.Error()))
		return
	}
	if st.index != nil && d.Revision <= st.index.Revision() {
		return
	}
	st.index = document.NewIndex(d)
	st.gateway.publish(func(s *entry.Snapshot) {
		s.Index = st.index
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

// applyTarget takes a target's registration or its end.
func (st *localState) applyTarget(now time.Duration, e store.Entry, outage bool) bool {
	log := st.gateway.logger
	name := strings.TrimPrefix(e.Key, st.gateway.adapters.TargetPrefix)
	if e.Version == 0 {
		log.Info("target gone",
			slog.String("Target", name),
			slog.Int64("Counter", e.RemovedAt),
			slog.Bool("Outage", outage))
		st.targets.Remove(now, name, outage)
		return true
	}
	r, err := st.gateway.adapters.DecodeTarget(e.Key, e.Value)
	if err != nil {
		log.Warn("registration refused",
			slog.Int64("Counter", e.Version),
			slog.String("Error", err.Error()))
		return false
	}
	if !st.targets.Put(r) {
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

// applyMember takes a member's registration or its end.
func (st *localState) applyMember(now time.Duration, e store.Entry, outage bool) {
	address := instance.Address(strings.TrimPrefix(e.Key, memberPrefix))
	log := st.gateway.logger
	if e.Version == 0 {
		log.Info("member gone",
			slog.String("Member", string(address)),
			slog.Bool("Outage", outage))
		m, ok := st.members[address]
		if ok && outage {
			m.expiresAt = now + memberGracePeriod
			st.members[address] = m
			return
		}
		delete(st.members, address)
		return
	}
	var v memberValue
	if err := json.Unmarshal(e.Value, &v); err != nil {
		log.Warn("member refused",
			slog.String("Member", string(address)),
			slog.String("Error", err.Error()))
		return
	}
	st.members[address] = member{
		Info: instance.Info{
			ID: instance.ID{
				Address:     address,
				Incarnation: v.Incarnation,
			},
			Zone: v.Zone,
		},
	}
	delete(st.unresponsiveUntil, address)
	delete(st.staleUntil, address)
	log.Debug("member registered",
		slog.String("Member", string(address)))
}

func (st *localState) rebuildRoster() {
	list := make([]instance.Info, 0, len(st.members))
	for _, m := range st.members {
		list = append(list, m.Info)
	}
	st.roster = roster.New(st.gateway.self, list)
}

// updateTables brings the tables in line with the registry.
func (st *localState) updateTables(now time.Duration) {
	services := st.targets.Services()
	for name, s := range st.services {
		s.table.Update(now, services[name])
	}
	for name, list := range services {
		if st.services[name] == nil {
			st.services[name] = &service{
				name:      name,
				table:     outlier.New(st.gateway.settings.Zone, newRandom()),
				latencies: outlier.NewLatencies(),
			}
			st.services[name].table.Update(now, list)
		}
	}
}

// expire gives up what didn't come back after an outage.
func (st *localState) expire(now time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.targets.Expire(now) {
		st.gateway.logger.Info("targets given up after an outage",
			slog.Int("Targets", st.targets.Len()))
		st.updateTables(now)
	}
	changed := false
	for address, m := range st.members {
		if m.expiresAt != 0 && now >= m.expiresAt {
			delete(st.members, address)
			changed = true
		}
	}
	if changed {
		st.rebuildRoster()
	}
	maps.DeleteFunc(st.lastDatagramAt, func(a instance.Address, at time.Duration) bool {
		_, member := st.members[a]
		return !member && now >= at+memberLeaseTerm
	})
	for _, excluded := range []map[instance.Address]time.Duration{st.unresponsiveUntil, st.staleUntil} {
		maps.DeleteFunc(excluded, func(_ instance.Address, until time.Duration) bool { return now >= until })
	}
}

// unresponsive tells whether an instance has lately not answered an ask. The lock is
// held.
func (st *localState) unresponsive(a instance.Address) bool {
	_, ok := st.unresponsiveUntil[a]
	return ok
}

// markUnresponsive passes over a keeper that didn't answer.
func (st *localState) markUnresponsive(a instance.Address, task string) {
	st.withLock(func() { st.unresponsiveUntil[a] = boot.Now() + unresponsivePeriod })
	st.gateway.count("Peer.Silent")
	st.gateway.logger.Warn("instance silent",
		slog.String("Peer", string(a)),
		slog.String("Task", task))
}

// markStale passes over a reader whose proof is stale.
func (st *localState) markStale(a instance.Address, why string) {
	st.withLock(func() { st.staleUntil[a] = boot.Now() + staleReaderPeriod })
	st.gateway.count("Reader.Stale")
	st.gateway.logger.Warn("reader stale",
		slog.String("Peer", string(a)),
		slog.String("Reason", why))
}

// withLock reads under the lock.
func (st *localState) withLock(f func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	f()
}
