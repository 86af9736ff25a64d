package revision

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/store"
)

const (
	// storeBackoff is the shortest wait after a failed call to the store, and
	// maximumBackoff the longest.
	storeBackoff   = 250 * time.Millisecond
	maximumBackoff = 4 * time.Second
	// readTimeout is how long a read of the store may take, watchTimeout how
	// long a watch waits.
	readTimeout  = 3 * time.Second
	watchTimeout = time.Minute
	// watchGap is the least time between two watches.
	watchGap = 50 * time.Millisecond
	// watchDelay is how long a new instance waits before it watches: at first
	// it knows few others, and all would think themselves first in rank.
	watchDelay = time.Second
)

// watch is this instance's watch on the head in the store.
type watch struct {
	watching bool
	// reading and waiting are the calls under way, or zero.
	reading, waiting uint64
	// counter is where the next watch goes on from; zero until a read.
	counter int64
	// failures in a row lengthen the wait.
	failures            int
	nextRead, nextWatch time.Duration
	// heard is when the last read succeeded, and nextDeputy when others are
	// asked to read while this instance can't.
	heard, nextDeputy time.Duration
	readBy, waitBy    time.Duration
}

// call is what a call to the store is for.
type call struct {
	purpose purpose
	// sent is when; an answer is no older.
	sent time.Duration
	// part is what a read of a part is to give.
	part Digest
}

type purpose int

const (
	readHead purpose = iota
	watchHead
	readContent
)

// next is when the watch wants a tick, or later if it wants none.
func (w *watch) next(later time.Duration) time.Duration {
	if !w.watching {
		return later
	}
	next := w.nextRead
	if w.reading != 0 {
		next = w.readBy
	}
	switch {
	case w.waiting != 0:
		next = min(next, w.waitBy)
	case w.counter != 0:
		next = min(next, w.nextWatch)
	}
	return min(next, max(w.heard+blindAfter, w.nextDeputy))
}

// watchKey ranks the members for the role of a watcher.
var watchKey = instance.Hash("watch", 0)

// keepWatch begins, goes on with or ends the watch on the store.
func (s *State) keepWatch(now time.Duration) {
	if now < s.begun+watchDelay {
		return
	}
	s.changeRole(now)
	w := &s.watch
	if !w.watching {
		return
	}
	if w.reading != 0 && now >= w.readBy {
		s.readFailed(now)
	}
	if w.reading == 0 && now >= w.nextRead {
		w.reading = s.call(now, readHead, Digest{}, store.Get{
			Key: HeadKey,
		})
		w.readBy = now + readTimeout
	}
	s.askDeputies(now)
	if w.waiting != 0 && now >= w.waitBy {
		s.cancel(w.waiting)
		w.waiting = 0
	}
	if w.waiting == 0 && w.counter != 0 && now >= w.nextWatch {
		w.waiting = s.call(now, watchHead, Digest{}, store.Watch{
			Prefix: HeadKey,
			After:  w.counter,
		})
		w.waitBy = now + watchTimeout
	}
}

// choseMe tells whether this instance ranks among the watchers of its region.
func (s *State) choseMe() bool {
	first := membership.TopRankedPerRegion(watchKey, s.members, s.settings.watchers)
	return slices.ContainsFunc(first, func(m instance.Info) bool { return m.Address == s.self.Address })
}

// changeRole makes this instance a watcher, or ends that, as it ranks.
func (s *State) changeRole(now time.Duration) {
	if s.chosen == s.watch.watching {
		return
	}
	s.cancel(s.watch.reading)
	s.cancel(s.watch.waiting)
	s.watch = watch{
		watching: s.chosen,
		nextRead: now,
		heard:    now,
	}
	if s.chosen {
		s.decide(Watching, s.Held(), "", "")
		return
	}
	s.decide(Unwatching, s.Held(), "", "")
}

// call numbers a call to the store and makes it.
func (s *State) call(now time.Duration, p purpose, part Digest, c store.Call) uint64 {
	s.number++
	s.calls[s.number] = call{
		purpose: p,
		sent:    now,
		part:    part,
	}
	s.effects = append(s.effects, StoreCall{
		Number: s.number,
		Call:   c,
	})
	return s.number
}

// cancel forgets a call, if it is under way.
func (s *State) cancel(number uint64) {
	if _, ok := s.calls[number]; !ok {
		return
	}
	delete(s.calls, number)
	s.effects = append(s.effects, StoreCancel{
		Number: number,
	})
}

// readPart asks the store for a part.
func (s *State) readPart(now time.Duration, f *fetch) {
	f.call = s.call(now, readContent, f.digest, store.Get{
		Key: PartKey(f.digest),
	})
	f.deadline = now + readTimeout
}

// answered takes the store's answer to a call.
func (s *State) answered(now time.Duration, e StoreAnswer) {
	c, ok := s.calls[e.Number]
	if !ok {
		return
	}
	delete(s.calls, e.Number)
	switch c.purpose {
	case readHead:
		s.headRead(now, c, e)
	case watchHead:
		s.headWatched(now, e)
	case readContent:
		s.partRead(now, c, e)
	}
}

func (s *State) headRead(now time.Duration, c call, e StoreAnswer) {
	mine := s.watch.reading == e.Number
	v, ok := e.Answer.(store.Value)
	if e.Err != nil || !ok {
		if mine {
			s.readFailed(now)
		}
		return
	}
	s.touch(c.sent)
	s.show(now, v.Entry)
	if !mine {
		return
	}
	w := &s.watch
	w.reading = 0
	w.failures = 0
	w.heard = now
	w.nextRead = c.sent + s.settings.safety
	if w.counter == 0 {
		w.counter = max(v.Counter, 1)
	}
}

// readFailed puts the next read off, longer after each failure.
func (s *State) readFailed(now time.Duration) {
	w := &s.watch
	s.cancel(w.reading)
	w.reading = 0
	w.nextRead = now + s.backoff()
	w.failures++
}

// backoff is the wait after the failures so far, spread so that those who
// failed together don't come back together.
func (s *State) backoff() time.Duration {
	wait := min(storeBackoff<<min(s.watch.failures, 10), maximumBackoff)
	return wait/2 + time.Duration(s.random.Int64N(int64(wait)))
}

func (s *State) headWatched(now time.Duration, e StoreAnswer) {
	w := &s.watch
	if w.waiting != e.Number {
		return
	}
	w.waiting = 0
	w.nextWatch = now + watchGap
	changes, ok := e.Answer.(store.Changes)
	switch {
	case e.Err != nil || !ok:
		w.nextWatch = now + s.backoff()
		w.failures++
	case changes.Compacted:
		w.counter = 0
		w.nextRead = now
	default:
		w.failures = 0
		w.counter = max(w.counter, changes.Counter)
		for _, entry := range changes.Entries {
			s.show(now, entry)
		}
	}
}

// show takes in the head as the store shows it.
func (s *State) show(now time.Duration, entry store.Entry) {
	if entry.Key != HeadKey {
		return
	}
	if entry.Version == 0 {
		if s.held != nil {
			s.complain(Lower, Notice{}, "", "the store has no head")
		}
		return
	}
	m, err := readManifest(entry.Value)
	if err != nil {
		s.complain(Corrupt, NoticeOf(0, entry.Value), "", err.Error())
		return
	}
	switch {
	case m.number() < s.held.number():
		s.complain(Lower, m.notice, "", "the store went back")
	case m.number() == s.held.number():
		if m.notice != s.held.notice {
			s.complain(Forked, m.notice, "", "the store holds other content under this number")
		}
	case m.number() > s.stored.number():
		s.decide(Learned, m.notice, "", "")
		s.stored = m
	}
	s.offer(now)
}

// offer gives the goal its head if the store showed it meanwhile.
func (s *State) offer(now time.Duration) {
	g := s.goal
	if g == nil || s.stored == nil {
		return
	}
	if g.notice.Number == s.stored.number() && g.notice != s.stored.notice {
		s.complain(Forked, g.notice, "", "peers show other content than the store")
		s.abandon(now, g, "the store holds other content")
		return
	}
	if g.notice != s.stored.notice {
		return
	}
	g.stored = true
	if g.manifest == nil {
		s.endFetches()
		g.manifest = s.stored
	}
}

// partRead takes a part that the store was asked for.
func (s *State) partRead(now time.Duration, c call, e StoreAnswer) {
	g := s.goal
	if g == nil {
		return
	}
	i := slices.IndexFunc(g.fetches, func(f *fetch) bool { return f.call == e.Number })
	if i < 0 {
		return
	}
	f := g.fetches[i]
	v, ok := e.Answer.(store.Value)
	switch {
	case e.Err != nil || !ok:
		s.fail(now, g, f)
	case v.Entry.Version == 0:
		// Writers remove parts only after a newer head is in place.
		s.abandon(now, g, "a part is gone from the store")
		s.watch.nextRead = now + storeBackoff
	case !s.takePart(c.part, v.Entry.Value):
		s.decide(Corrupt, g.notice, "", "part in the store differs from its digest")
		s.fail(now, g, f)
	default:
		g.drop(f)
	}
}
