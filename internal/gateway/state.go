package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/boot"
	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/evacuation"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/link"
	"dandelionmux/pkg/meter"
	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/quarantine"
	"dandelionmux/pkg/roster"
	"dandelionmux/pkg/source"
	"dandelionmux/pkg/store"
	"dandelionmux/pkg/target"
	"dandelionmux/pkg/warmup"
	"dandelionmux/pkg/zoneload"
)

// memberPrefix is the store key prefix under which instances register.
const memberPrefix = "dandelionmux/members/"

// eraKey is the store key of the latest era in which all that the store had lost was written
// again.
const eraKey = "dandelionmux/era"

const (
	// configurationAgeMargin is subtracted from Settings.MaxConfigurationAge, because a
	// request reaches its target some time after the last check of its key.
	configurationAgeMargin = 400 * time.Millisecond
	// outageConfirmationAge is the age of the last confirming read above which removed
	// entries may have expired only because the store was unreachable. Confirming reads
	// normally come every confirmPeriod.
	outageConfirmationAge = 2500 * time.Millisecond
	// unresponsivePeriod is how long a keeper that did not answer a request is skipped.
	unresponsivePeriod = 1500 * time.Millisecond
	// memberGracePeriod is how long members that were removed around a store outage are
	// kept. Each registers again within one or two renewal periods.
	memberGracePeriod = 5 * time.Second
)

// localState holds everything that the instance knows about the fleet: the copy of the
// store and what is derived from it, and what other instances reported. Its methods may
// be called concurrently, except where they require that mu is held. No code blocks
// while it holds mu.
type localState struct {
	gateway *Gateway

	mu     sync.Mutex
	mirror *mirror.Mirror
	// origin is that of the change of the mirror that is being applied.
	origin origin
	// comparison is with the mirrors of others.
	comparison mirror.Comparison
	// loading is set while the first content of the store is applied, and setBack while the
	// content of a store that was set back is.
	loading  bool
	setBack  bool
	targets  *target.Registry
	members  map[instance.Address]member
	roster   *roster.Roster
	index    *document.Index
	services map[string]*service
	rates    *meter.Rates
	// localRates decides about rates while no keeper can be reached.
	localRates *meter.LocalRates
	budgets    *meter.Budget
	lenders    *meter.Lenders
	// targetLimits holds the limits that targets have named.
	targetLimits *meter.TargetLimits
	// warmUps tells which targets are cold, and evacuated the zones whose targets get no
	// requests.
	warmUps   *warmup.Limiter
	evacuated *evacuation.Zones
	strikes   *quarantine.Tally
	// unconfirmed holds the strikes that this instance saw while its links may have been
	// lost.
	unconfirmed quarantine.Unconfirmed
	// links tells whether this instance's links to targets are lost, and targetAt holds
	// the target at each address.
	links    *link.Monitor[attemptReport]
	targetAt map[string]targetName
	// linksChanged is closed and replaced when links has learned something, if
	// linkWaiter says that a request waits for that.
	linksChanged chan struct{}
	linkWaiter   bool
	// helpers chooses the instances through which requests go while links are lost.
	helpers *link.Helpers
	// formerUntil holds, by IP, until when an instance that isn't a member any more may
	// send requests here.
	formerUntil map[string]time.Duration
	// linkReport is what this instance last reported of its links, at linkReportAt.
	linkReport   link.Report
	linkReportAt time.Duration
	// unresponsiveUntil holds the instances that did not answer a decision request, with
	// the time until which each is skipped. source passes over others: an instance that the
	// store rejects must go on keeping rates, since two keepers of one rate would grant
	// more than the rate.
	unresponsiveUntil map[instance.Address]time.Duration
	// unansweredAllocators holds the allocators that did not answer, with the time until which each
	// is skipped.
	unansweredAllocators map[instance.Address]time.Duration
	allocator            allocator
	// zoneLoads is what this instance knows as an allocator of other zones, and roundTrips how
	// long messages take there and back.
	zoneLoads  *zoneload.Table
	roundTrips *zoneload.RoundTrips
	// source chooses from where this instance gets the store's content.
	source *source.Chooser
	// publishedTrust is the time of trust that was last published.
	publishedTrust time.Duration
	// fullCopies is the number of instances to which all content is being sent.
	fullCopies int
	// mirrorChanged is closed and replaced when the mirror's position or confirmation
	// changes.
	mirrorChanged chan struct{}
	// lastDatagramAt is when each other instance last sent a datagram.
	lastDatagramAt map[instance.Address]time.Duration
	// ages holds how long the instances of the zone have been running, by their load
	// reports.
	ages      *roster.Ages
	startedAt time.Duration
	// nextLoadReportAt is when sendReports next looks for something to report, and
	// lastLoadReportAt when it last sent a report.
	nextLoadReportAt time.Duration
	lastLoadReportAt time.Duration
}

// contentPath is a way on which an instance gets the store's content.
type contentPath string

const (
	byList         contentPath = "List"
	byWatch        contentPath = "Watch"
	byConfirmation contentPath = "Confirmation"
	byCopy         contentPath = "Copy"
)

// origin tells how a change of the mirror came here.
type origin struct {
	Path contentPath
	// Peer is the instance that was copied, if there was one.
	Peer instance.Address
	// Unconfirmed is the time since the mirror was last confirmed: a change that comes now was
	// made at most so long ago. It is zero for the first content.
	Unconfirmed time.Duration
}

// member is an instance, this one included, as it registered in the store.
type member struct {
	instance.Info
	capacity float64
	// build is the build that the member runs; empty if it doesn't tell.
	build string
	// allocates is set if the member's build can grant slots.
	allocates bool
	// expiresAt is when a member that was removed around a store outage is dropped. It
	// is zero for a member that is registered.
	expiresAt time.Duration
}

// unknownBuild stands for the build of an instance that doesn't tell it.
const unknownBuild = "unknown"

// memberValue is the JSON value of a member's key.
type memberValue struct {
	Zone        string
	Incarnation uint64
	Capacity    float64 `json:",omitempty"`
	Build       string  `json:",omitempty"`
	Allocates   bool    `json:",omitempty"`
}

// decodeMember returns the member that is registered under a key.
func decodeMember(e store.Entry) (member, error) {
	address := instance.Address(strings.TrimPrefix(e.Key, memberPrefix))
	if !address.IsValid() {
		return member{}, errors.Errorf("address %.60q", address)
	}
	var v memberValue
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return member{}, errors.Wrap(err, "decode member")
	}
	return member{
		Info: instance.Info{
			ID: instance.ID{
				Address:     address,
				Incarnation: v.Incarnation,
			},
			Zone: v.Zone,
		},
		capacity:  v.Capacity,
		build:     v.Build,
		allocates: v.Allocates,
	}, nil
}

// buildCounts returns how many instances run each build, this one included.
func (st *localState) buildCounts() map[string]int {
	st.mu.Lock()
	defer st.mu.Unlock()
	counts := map[string]int{
		cmp.Or(st.gateway.settings.Build, unknownBuild): 1,
	}
	for address, m := range st.members {
		if address != st.gateway.self.Address {
			counts[cmp.Or(m.build, unknownBuild)]++
		}
	}
	return counts
}

func newLocalState(g *Gateway) *localState {
	now := boot.Now()
	roundTrips := zoneload.NewRoundTrips()
	return &localState{
		gateway:    g,
		roundTrips: roundTrips,
		zoneLoads:  zoneload.New(g.settings.Zone, zoneload.WithRoundTrips(roundTrips)),
		mirror:     mirror.New(mirror.WithEraKey(eraKey)),
		targets:    target.NewRegistry(),
		members:    map[instance.Address]member{},
		roster:     roster.New(g.self, nil),
		services:   map[string]*service{},
		rates:      meter.NewRates(g.settings.Zone, g.settings.RateTolerance),
		localRates: meter.NewLocalRates(),
		lenders:    meter.NewLenders(),
		budgets: meter.NewBudget(now, meter.BudgetSettings{
			Ratio: g.settings.RetryRatio,
			Base:  g.settings.BaseRetries,
			Span:  g.settings.RetryWindow,
		}),
		targetLimits:         meter.NewTargetLimits(),
		warmUps:              warmup.NewLimiter(),
		evacuated:            evacuation.New(),
		strikes:              quarantine.NewTally(),
		links:                link.New[attemptReport](newRandom()),
		targetAt:             map[string]targetName{},
		linksChanged:         make(chan struct{}),
		helpers:              link.NewHelpers(),
		formerUntil:          map[string]time.Duration{},
		unresponsiveUntil:    map[instance.Address]time.Duration{},
		unansweredAllocators: map[instance.Address]time.Duration{},
		allocator:            newAllocator(),
		source:               source.New(g.self),
		mirrorChanged:        make(chan struct{}),
		lastDatagramAt:       map[instance.Address]time.Duration{},
		ages:                 roster.NewAges(g.self.Address, now),
		startedAt:            now,
	}
}

// update applies a change to the mirror that came from the origin, and updates everything that
// is derived from it. The change returns the entries that it changed.
func (st *localState) update(from origin, change func(m *mirror.Mirror) []store.Entry) {
	if st.applyUpdate(from, change) {
		// Returns at once the loans of rates that this instance no longer keeps.
		st.gateway.sendLoanRequests()
	}
}

// applyUpdate does the work of update while it holds mu, and reports whether members
// were added or removed.
func (st *localState) applyUpdate(from origin, change func(m *mirror.Mirror) []store.Entry) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := boot.Now()
	st.origin = from
	before := st.mirror.Position()
	initial := st.mirror.Empty()
	confirmedAt, confirmed := st.mirror.ConfirmedAt()
	outage := confirmed && now-confirmedAt > outageConfirmationAge
	if confirmed {
		st.origin.Unconfirmed = now - confirmedAt
	}
	changes := change(st.mirror)
	at := st.mirror.Position()
	setBack := before.Counter > 0 && at.Era != before.Era
	if setBack {
		st.gateway.logger.Warn("store was set back",
			slog.Int64("Era", int64(at.Era)),
			slog.Int64("Counter", at.Counter),
			slog.Int64("CounterBefore", before.Counter))
	}
	// What a store that was set back has lost is written again by those who wrote it, as
	// after an outage.
	st.loading, st.setBack = initial, setBack
	targetsChanged, membersChanged := st.applyEntries(now, changes, outage || setBack)
	st.loading, st.setBack = false, false
	if initial {
		st.logInitialContent()
	}
	if membersChanged {
		st.rebuildRoster()
	}
	if targetsChanged || st.index != nil && len(st.services) == 0 {
		st.updateTables(now)
	}
	if setBack && st.gateway.readingStore.Load() {
		for _, f := range st.strikes.AllUnsaved(now) {
			st.gateway.saveQuarantine(f)
		}
	}
	st.publishTrust()
	if confirmedNow, _ := st.mirror.ConfirmedAt(); at != before || confirmedNow != confirmedAt {
		close(st.mirrorChanged)
		st.mirrorChanged = make(chan struct{})
	}
	return membersChanged
}

// logInitialContent logs the first content, if there is any yet.
func (st *localState) logInitialContent() {
	if st.mirror.Empty() {
		return
	}
	st.gateway.logger.Info("store content received",
		slog.Int64("Counter", st.mirror.Position().Counter),
		slog.Int("Members", len(st.members)),
		slog.Int("Targets", st.targets.Len()))
}

// applyEntries applies changed and removed entries of the store. outage says that entries
// may have been removed only because the store was unreachable or set back.
func (st *localState) applyEntries(now time.Duration, changes []store.Entry, outage bool) (targetsChanged, membersChanged bool) {
	for _, e := range changes {
		st.gateway.contain(func() {
			switch {
			case e.Key == st.gateway.adapters.ConfigurationKey:
				st.applyConfiguration(e)
			case strings.HasPrefix(e.Key, st.gateway.adapters.TargetPrefix):
				targetsChanged = st.applyTarget(now, e, outage) || targetsChanged
			case st.gateway.isEvacuation(e.Key):
				st.applyEvacuation(now, e)
			case strings.HasPrefix(e.Key, quarantinePrefix):
				st.applyQuarantine(now, e, outage)
			case strings.HasPrefix(e.Key, memberPrefix):
				st.applyMember(now, e, outage)
				membersChanged = true
			}
		})
	}
	return targetsChanged, membersChanged
}

// publishTrust publishes until when the configuration may be used.
func (st *localState) publishTrust() {
	trustedAt, trusted := st.mirror.TrustedAt()
	if !trusted || trustedAt == st.publishedTrust {
		return
	}
	st.publishedTrust = trustedAt
	until := trustedAt + st.gateway.settings.maxContentAge() - configurationAgeMargin
	st.gateway.publish(func(s *entry.Snapshot) { s.TrustedUntil = until })
}

// applyConfiguration decodes a changed configuration and puts it in force if its
// revision is newer. If it was removed or is invalid, the last one stays in force.
func (st *localState) applyConfiguration(e store.Entry) {
	log := st.gateway.logger
	if e.Version == 0 {
		log.Warn("configuration removed, keeping the last one")
		return
	}
	d, err := st.gateway.adapters.DecodeConfiguration(e.Value)
	if err != nil {
		log.Error("invalid configuration ignored",
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
		slog.Int("Organisations", len(d.Organisations)),
		slog.String("Path", string(st.origin.Path)),
		slog.String("Peer", string(st.origin.Peer)),
		slog.Duration("Unconfirmed", st.origin.Unconfirmed))
	st.gateway.count("Configuration.By." + string(st.origin.Path))
	metrics.GetOrRegisterGauge("Configuration.UnconfirmedMs", st.gateway.registry).Update(st.origin.Unconfirmed.Milliseconds())
}

// keyLocations lists the places in a request where a caller may put its key.
var keyLocations = []document.KeyLocation{{Place: document.InBearer}}

// applyTarget applies a changed or removed registration of a target. outage says that
// the store may have been unreachable. It reports whether the targets changed.
func (st *localState) applyTarget(now time.Duration, e store.Entry, outage bool) bool {
	log := st.gateway.logger
	name := strings.TrimPrefix(e.Key, st.gateway.adapters.TargetPrefix)
	if e.Version == 0 {
		log.Info("target removed",
			slog.String("Target", name),
			slog.Int64("Counter", e.RemovedAt),
			slog.Bool("Outage", outage))
		st.targets.Remove(now, name, outage)
		return true
	}
	r, err := st.gateway.adapters.DecodeTarget(e.Key, e.Value)
	if err != nil {
		log.Warn("invalid target registration ignored",
			slog.Int64("Counter", e.Version),
			slog.String("Error", err.Error()))
		return false
	}
	if !st.targets.Put(r) {
		return false
	}
	st.warmUps.Registered(now, name, r.Incarnation, r.WarmupRemaining, st.warmUpPolicy(r.Service))
	level := slog.LevelInfo
	if st.loading {
		level = slog.LevelDebug // one of all that the store holds
	}
	log.Log(context.Background(), level, "target registered",
		slog.String("Target", name),
		slog.String("Service", r.Service),
		slog.String("Address", r.Target.Address),
		slog.Bool("Leaving", r.Target.Leaving),
		slog.Int64("Counter", e.Version))
	return true
}

// applyMember applies a changed or removed registration of an instance. outage says
// that the store may have been unreachable; then a removed member stays for
// memberGracePeriod.
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
		st.dropMember(now, address)
		return
	}
	m, err := decodeMember(e)
	if err != nil {
		log.Warn("invalid member registration ignored",
			slog.String("Member", string(address)),
			slog.String("Error", err.Error()))
		return
	}
	if known, ok := st.members[address]; !st.loading && address != st.gateway.self.Address && (!ok || known.ID != m.ID) {
		st.reportStrikes(address)
	}
	st.members[address] = m
	delete(st.unresponsiveUntil, address)
	st.source.Forgive(address)
	log.Debug("member registered",
		slog.String("Member", string(address)))
}

// dropMember removes a member. The caller must hold mu.
func (st *localState) dropMember(now time.Duration, address instance.Address) {
	delete(st.members, address)
	st.formerUntil[hostOf(string(address))] = now + formerMemberTerm
}

// rebuildRoster derives the roster from the members.
func (st *localState) rebuildRoster() {
	list := make([]instance.Info, 0, len(st.members))
	var zone []source.Member
	for _, m := range st.members {
		list = append(list, m.Info)
		if m.Zone == st.gateway.self.Zone {
			zone = append(zone, m.sourceMember())
		}
	}
	st.roster = roster.New(st.gateway.self, list)
	st.source.SetMembers(zone)
	if st.joinsRunningFleet(list) {
		st.rates.JoinRunningFleet(st.startedAt)
	}
}

// joinsRunningFleet reports whether one of the members had been running, for longer than rates
// are counted, when this instance started. Incarnations are times in nanoseconds.
func (st *localState) joinsRunningFleet(members []instance.Info) bool {
	span := uint64(st.gateway.settings.RateTolerance.Span)
	return slices.ContainsFunc(members, func(m instance.Info) bool {
		return m.Incarnation > 0 && m.Incarnation+span < st.gateway.self.Incarnation
	})
}

// updateTables updates the services' target tables from the registered targets.
func (st *localState) updateTables(now time.Duration) {
	services := st.targets.Services()
	st.targetLimits.Retain(st.targets.Has)
	st.warmUps.Retain(st.targets.Has)
	for name, s := range st.services {
		s.table.Update(now, services[name])
		maps.DeleteFunc(s.unresponsiveReportAt, func(_ string, at time.Duration) bool { return now >= at })
		maps.DeleteFunc(s.unreachedReportAt, func(_ string, at time.Duration) bool { return now >= at })
	}
	for name, list := range services {
		if st.services[name] == nil {
			st.services[name] = &service{
				name:      name,
				table:     outlier.New(st.gateway.settings.Zone, newRandom()),
				latencies: outlier.NewLatencies(),
				inFlight:  inFlight{},

				unresponsiveReportAt: map[string]time.Duration{},
				unreachedReportAt:    map[string]time.Duration{},
			}
			st.services[name].table.SetEvacuated(st.isEvacuated)
			st.services[name].table.SetCold(func(now time.Duration, target string) bool {
				return st.warmUps.Cold(now, target, st.warmUpPolicy(name))
			})
			st.services[name].table.Update(now, list)
		}
	}
	st.updateLinks(services)
}

// serviceCounts holds the number of a service's targets by state.
type serviceCounts struct {
	service string
	outlier.Counts
}

// targetCounts returns the counts of all services, sorted by name.
func (st *localState) targetCounts(now time.Duration) []serviceCounts {
	st.mu.Lock()
	defer st.mu.Unlock()
	var all []serviceCounts
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		all = append(all, serviceCounts{
			service: name,
			Counts:  st.services[name].table.Counts(now),
		})
	}
	return all
}

// expire drops targets and members that did not register again after a store outage,
// exclusions that have ended, and what is known of instances that are no members.
func (st *localState) expire(now time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.targets.Expire(now) {
		st.gateway.logger.Info("targets dropped after a store outage, the others remain",
			slog.Int("Targets", st.targets.Len()))
		st.updateTables(now)
	}
	changed := false
	for address, m := range st.members {
		if m.expiresAt != 0 && now >= m.expiresAt {
			st.dropMember(now, address)
			changed = true
		}
	}
	if changed {
		st.rebuildRoster()
	}
	for a, at := range st.lastDatagramAt {
		if _, member := st.members[a]; !member && now >= at+memberLeaseTerm {
			delete(st.lastDatagramAt, a)
			st.ages.Forget(a)
			st.budgets.Forget(string(a))
		}
	}
	st.expireEvacuations(now)
	st.lenders.Expire(now)
	st.helpers.Expire(now)
	maps.DeleteFunc(st.formerUntil, func(_ string, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(st.unresponsiveUntil, func(_ instance.Address, until time.Duration) bool { return now >= until })
	st.source.Expire(now)
}

// unresponsive reports whether an instance recently failed to answer a decision
// request. The caller must hold mu.
func (st *localState) unresponsive(a instance.Address) bool {
	_, ok := st.unresponsiveUntil[a]
	return ok
}

// markUnresponsive excludes, for unresponsivePeriod, a keeper that did not answer. task
// names what it was asked to decide, for the log.
func (st *localState) markUnresponsive(a instance.Address, task string) {
	st.withLock(func() { st.unresponsiveUntil[a] = boot.Now() + unresponsivePeriod })
	st.gateway.count("Peer.Silent")
	st.gateway.logger.Warn("instance did not answer",
		slog.String("Peer", string(a)),
		slog.String("Task", task))
}

// skipSource records that an instance could not be copied, and why.
func (st *localState) skipSource(a instance.Address, failure source.Failure, why string) {
	st.withLock(func() { st.source.Failed(boot.Now(), a, failure) })
	st.gateway.count("Reader.Stale")
	st.gateway.logger.Warn("reader skipped",
		slog.String("Peer", string(a)),
		slog.String("Reason", why))
}

// sourceMember returns the member as package source sees it.
func (m member) sourceMember() source.Member {
	return source.Member{
		Info:     m.Info,
		Capacity: m.capacity,
	}
}

// withLock calls f with mu held.
func (st *localState) withLock(f func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	f()
}
