package revision

import (
	"math/rand/v2"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// State is the state machine of one instance that keeps a revision in force. It isn't
// safe for concurrent use.
type State struct {
	settings settings
	random   *rand.Rand
	self     instance.ID
	members  []instance.Info

	// held is the newest revision of which all parts are here. Its number never
	// decreases.
	held *manifest
	// applying is the revision that the caller is applying; nil if there is none.
	applying *manifest
	// inForce is the revision that the caller last applied.
	inForce *manifest
	// lastApplyNumber is the revision number of the last Apply.
	lastApplyNumber uint64
	// parts holds the contents of the parts of held and of the download.
	parts map[Digest][]byte

	// sources lists the peers that have revisions newer than held.
	sources []source
	// storeHead is the newest head that the store returned, if it is newer than held.
	storeHead *manifest
	download  *download

	// startTime is when the first event was handled.
	startTime time.Duration
	started   bool
	// shouldWatch is set if this instance ranks among the watchers of its region.
	shouldWatch    bool
	watch          watch
	calls          map[uint64]pendingCall
	lastCallNumber uint64

	// lastContact is when this instance was last in contact with the fleet or the store,
	// if hadContact is set.
	lastContact time.Duration
	hadContact  bool
	// newer lists the known revisions that are newer than the one in force, in order of
	// their numbers.
	newer    []newerRevision
	fallback fallback
	// lastReported holds the last notice for which reportOnce reported each kind of
	// decision.
	lastReported map[DecisionKind]Notice
	effects      []Effect
}

// newerRevision is a revision that isn't in force yet, and when it became known.
type newerRevision struct {
	number uint64
	at     time.Duration
}

// source is a peer that can serve a revision.
type source struct {
	address instance.Address
	notice  Notice
	// retryAt is when the source may be chosen again after a download of the revision
	// was abandoned; zero if it may be chosen now.
	retryAt time.Duration
}

// New returns the initial state of the instance self. The random source must not be
// shared.
func New(self instance.ID, random *rand.Rand, options ...Option) *State {
	s := &State{
		settings:     defaults(),
		random:       random,
		self:         self,
		parts:        map[Digest][]byte{},
		calls:        map[uint64]pendingCall{},
		lastReported: map[DecisionKind]Notice{},
	}
	for _, o := range options {
		o(&s.settings)
	}
	return s
}

// Handle processes one event and returns the effects that the caller must carry out.
// The parameter now is the time on the caller's monotonic clock.
func (s *State) Handle(now time.Duration, e Event) []Effect {
	s.effects = nil
	s.start(now)
	switch e := e.(type) {
	case Tick:
	case MembersChanged:
		s.setMembers(e.Members)
	case NoticeReceived:
		s.handleNotice(e.From, e.Notice)
	case Received:
		s.handleMessage(now, e)
	case StoreAnswer:
		s.handleStoreAnswer(now, e)
	case Contact:
		s.recordContact(now)
	case Applied:
		s.handleApplied(e.Number)
	case Rejected:
		s.handleRejected(e)
	}
	s.endRetryDelays(now)
	s.advanceDownload(now)
	s.updateWatch(now)
	s.fallbackRead(now)
	s.updateNewer(now)
	return s.effects
}

// Next returns the time at which State needs its next Tick.
func (s *State) Next() time.Duration {
	next := s.fallback.nextRead(s.settings.fallbackInterval, len(s.members))
	if s.shouldWatch != s.watch.watching {
		next = min(next, s.startTime+watchStartDelay)
	}
	next = s.watch.nextTick(next)
	if s.download != nil {
		next = s.download.nextDeadline(next)
	}
	for _, o := range s.sources {
		if o.retryAt != 0 {
			next = min(next, o.retryAt)
		}
	}
	return max(next, 1)
}

// start initialises the timers at the first event.
func (s *State) start(now time.Duration) {
	if s.started {
		return
	}
	s.startTime, s.started = now, true
	s.fallback.startWait(now, s.random.Float64())
}

// InForce returns the notice of the revision in force; its number is zero if there is
// none.
func (s *State) InForce() Notice {
	if s.inForce == nil {
		return Notice{}
	}
	return s.inForce.notice
}

// Held returns the notice of the revision that this instance can serve to peers; its
// number is zero if there is none.
func (s *State) Held() Notice {
	if s.held == nil {
		return Notice{}
	}
	return s.held.notice
}

// Trusted reports whether the revision in force may be acted on. An instance without
// contact can't know whether a key has been withdrawn since.
func (s *State) Trusted(now time.Duration) bool {
	return now < s.TrustedUntil()
}

// TrustedUntil returns when Trusted ends: the time that WithFreshness sets after the
// last contact, or after a newer revision became known that isn't in force here,
// whichever is earlier. Later events can postpone it. It is zero if no revision is in
// force or there was no contact yet.
func (s *State) TrustedUntil() time.Duration {
	if s.inForce == nil || !s.hadContact {
		return 0
	}
	until := s.lastContact + s.settings.freshness
	if len(s.newer) > 0 {
		until = min(until, s.newer[0].at+s.settings.freshness)
	}
	return until
}

// recordContact records that this instance was in contact at the given time.
func (s *State) recordContact(at time.Duration) {
	if !s.hadContact || at > s.lastContact {
		s.lastContact, s.hadContact = at, true
	}
}

// updateNewer updates the list of revisions that are newer than the one in force, with
// the time at which each became known. A revision that the caller refused doesn't
// count; otherwise the whole fleet would stop because of it. Nor does a revision that is
// newer than the held one and than all that peers can serve: it is known only from the
// store's head, or its sources are gone. Perhaps no instance got all its parts before
// the store became unreachable.
func (s *State) updateNewer(now time.Duration) {
	newest := s.held.number()
	for _, o := range s.sources {
		newest = max(newest, o.notice.Number)
	}
	doneNumber := max(s.inForce.number(), s.refusedNumber())
	s.newer = slices.DeleteFunc(s.newer, func(l newerRevision) bool {
		return l.number <= doneNumber || l.number > newest
	})
	lastListed := doneNumber
	if n := len(s.newer); n > 0 {
		lastListed = s.newer[n-1].number
	}
	if newest > lastListed && len(s.newer) < maxNewer {
		s.newer = append(s.newer, newerRevision{
			number: newest,
			at:     now,
		})
	}
}

// maxNewer is the maximum length of State.newer. While the list is full, newer
// revisions aren't recorded. Once an entry is removed, the newest is recorded with that
// later time.
const maxNewer = 32

// refusedNumber returns the number of the revision that the caller refused, if that
// was the last Apply, and zero otherwise.
func (s *State) refusedNumber() uint64 {
	if s.applying == nil && s.lastApplyNumber > s.inForce.number() {
		return s.lastApplyNumber
	}
	return 0
}

// setMembers updates the members and drops the sources that aren't among them.
func (s *State) setMembers(members []instance.Info) {
	s.members = members
	s.shouldWatch = s.ranksAsWatcher()
	s.sources = slices.DeleteFunc(s.sources, func(o source) bool {
		return !slices.ContainsFunc(members, func(m instance.Info) bool { return m.Address == o.address })
	})
}

// setHeld makes a complete revision the held one, announces it and applies it.
func (s *State) setHeld(m *manifest) {
	s.held = m
	if s.storeHead.number() <= m.number() {
		s.storeHead = nil
	}
	s.sources = slices.DeleteFunc(s.sources, func(o source) bool { return o.notice.Number <= m.number() })
	s.report(Complete, m.notice, "", "")
	s.effects = append(s.effects, NoticeChanged{
		Notice: m.notice,
	})
	s.announce()
	s.startApply()
}

// announceFanout is the least number of members that a new revision is announced to at
// once, in a fleet that has as many. announceFanout+1 random members are drawn, and
// those other than this instance get the announcement. All others learn of the revision
// from them and from notices.
const announceFanout = 4

// announce announces the held revision to a few random members.
func (s *State) announce() {
	for _, i := range s.random.Perm(len(s.members))[:min(announceFanout+1, len(s.members))] {
		s.send(s.members[i].Address, Announce{
			Notice: s.held.notice,
		})
	}
}

// startApply asks the caller to apply the held revision, unless it is still applying
// another or was given this one already.
func (s *State) startApply() {
	if s.applying != nil || s.held.number() <= s.lastApplyNumber {
		return
	}
	s.applying = s.held
	s.lastApplyNumber = s.held.number()
	parts := make(map[Digest][]byte, len(s.held.digests))
	for _, d := range s.held.digests {
		parts[d] = s.parts[d]
	}
	s.effects = append(s.effects, Apply{
		Head:  s.held.head,
		Parts: parts,
	})
}

// handleApplied records that the caller applied a revision.
func (s *State) handleApplied(number uint64) {
	if s.applying == nil || s.applying.number() != number {
		return
	}
	s.inForce = s.applying
	s.applying = nil
	s.report(InForce, s.inForce.notice, "", "")
	s.startApply()
}

// handleRejected records that the caller rejected a revision.
func (s *State) handleRejected(e Rejected) {
	if s.applying == nil || s.applying.number() != e.Number {
		return
	}
	s.report(Unfit, s.applying.notice, "", e.Reason)
	s.applying = nil
	s.startApply()
}

// send sends a message, unless it is addressed to this instance.
func (s *State) send(to instance.Address, m Message) {
	if to == s.self.Address {
		return
	}
	s.effects = append(s.effects, Send{
		To:      to,
		Message: m,
	})
}

// reportOnce reports a decision unless the last one of the same kind had the same
// notice, so that a lasting fault is logged once.
func (s *State) reportOnce(kind DecisionKind, n Notice, from instance.Address, reason string) {
	if last, ok := s.lastReported[kind]; ok && last == n {
		return
	}
	s.lastReported[kind] = n
	s.report(kind, n, from, reason)
}

// report adds the effect Decided, which the caller logs.
func (s *State) report(kind DecisionKind, n Notice, from instance.Address, reason string) {
	s.effects = append(s.effects, Decided{
		Kind:   kind,
		Notice: n,
		From:   from,
		Reason: reason,
	})
}
