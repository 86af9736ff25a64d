package revision

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
	"dandelionmux/pkg/store"
)

const (
	// minStoreBackoff and maxStoreBackoff bound the wait after a failed call to the
	// store, before it is spread by a random factor of 0.5 to 1.5.
	minStoreBackoff = 250 * time.Millisecond
	maxStoreBackoff = 4 * time.Second
	// readTimeout is how long a read of the store may take, and watchTimeout how long a
	// watch waits for changes.
	readTimeout  = 3 * time.Second
	watchTimeout = time.Minute
	// minWatchInterval is the least time from the end of a watch to the next one.
	minWatchInterval = 50 * time.Millisecond
	// watchStartDelay is how long a new instance waits before it watches the store. At
	// first it knows few members, so every new instance would rank among the watchers.
	watchStartDelay = time.Second
)

// watch is the state of this instance's watch on the head in the store.
type watch struct {
	watching bool
	// readCall and watchCall are the numbers of the calls in progress, or zero.
	readCall, watchCall uint64
	// storeCounter is the store's counter after which the next watch reports changes;
	// zero until the head has been read.
	storeCounter int64
	// failures is the number of consecutive failures.
	failures            int
	nextRead, nextWatch time.Duration
	// lastRead is when the last successful read ended, or when this instance became a
	// watcher. nextDelegation is the earliest time of the next DelegateRead.
	lastRead, nextDelegation time.Duration
	// readDeadline and watchDeadline are when the calls in progress time out.
	readDeadline, watchDeadline time.Duration
}

// pendingCall is a call to the store in progress.
type pendingCall struct {
	purpose purpose
	// sent is when the call was made. The answer is at least as recent.
	sent time.Duration
	// part is the digest of the part that the call reads.
	part Digest
}

// purpose is what a call to the store is made for.
type purpose int

const (
	readHead purpose = iota
	watchHead
	readPart
)

// nextTick returns when the watch needs its next tick, or the value of otherwise
// if this instance isn't a watcher.
func (w *watch) nextTick(otherwise time.Duration) time.Duration {
	if !w.watching {
		return otherwise
	}
	next := w.nextRead
	if w.readCall != 0 {
		next = w.readDeadline
	}
	switch {
	case w.watchCall != 0:
		next = min(next, w.watchDeadline)
	case w.storeCounter != 0:
		next = min(next, w.nextWatch)
	}
	return min(next, max(w.lastRead+delegateAfter, w.nextDelegation))
}

// watchKey is the rendezvous hashing key for the role of a watcher.
var watchKey = instance.Hash("watch", 0)

// updateWatch starts, continues or ends the watch on the store.
func (s *State) updateWatch(now time.Duration) {
	if now < s.startTime+watchStartDelay {
		return
	}
	s.updateRole(now)
	w := &s.watch
	if !w.watching {
		return
	}
	if w.readCall != 0 && now >= w.readDeadline {
		s.postponeRead(now)
	}
	if w.readCall == 0 && now >= w.nextRead {
		w.readCall = s.callStore(now, readHead, Digest{}, store.Get{
			Key: HeadKey,
		})
		w.readDeadline = now + readTimeout
	}
	s.delegateRead(now)
	if w.watchCall != 0 && now >= w.watchDeadline {
		s.cancelCall(w.watchCall)
		w.watchCall = 0
	}
	if w.watchCall == 0 && w.storeCounter != 0 && now >= w.nextWatch {
		w.watchCall = s.callStore(now, watchHead, Digest{}, store.Watch{
			Prefix: HeadKey,
			After:  w.storeCounter,
		})
		w.watchDeadline = now + watchTimeout
	}
}

// ranksAsWatcher reports whether this instance ranks among the watchers of its region.
func (s *State) ranksAsWatcher() bool {
	first := membership.TopRankedPerRegion(watchKey, s.members, s.settings.watchersPerRegion)
	return slices.ContainsFunc(first, func(m instance.Info) bool { return m.Address == s.self.Address })
}

// updateRole makes this instance a watcher, or ends that, according to its rank.
func (s *State) updateRole(now time.Duration) {
	if s.shouldWatch == s.watch.watching {
		return
	}
	s.cancelCall(s.watch.readCall)
	s.cancelCall(s.watch.watchCall)
	s.watch = watch{
		watching: s.shouldWatch,
		nextRead: now,
		lastRead: now,
	}
	if s.shouldWatch {
		s.report(Watching, s.Held(), "", "")
		return
	}
	s.report(Unwatching, s.Held(), "", "")
}

// callStore makes a call to the store and returns its number.
func (s *State) callStore(now time.Duration, p purpose, part Digest, c store.Call) uint64 {
	s.lastCallNumber++
	s.calls[s.lastCallNumber] = pendingCall{
		purpose: p,
		sent:    now,
		part:    part,
	}
	s.effects = append(s.effects, StoreCall{
		Number: s.lastCallNumber,
		Call:   c,
	})
	return s.lastCallNumber
}

// cancelCall cancels a call, if it is in progress.
func (s *State) cancelCall(number uint64) {
	if _, ok := s.calls[number]; !ok {
		return
	}
	delete(s.calls, number)
	s.effects = append(s.effects, StoreCancel{
		Number: number,
	})
}

// readPart reads a part from the store.
func (s *State) readPart(now time.Duration, f *fetch) {
	f.storeCall = s.callStore(now, readPart, f.digest, store.Get{
		Key: PartKey(f.digest),
	})
	f.deadline = now + readTimeout
}

// handleStoreAnswer handles the store's answer to a call. It ignores answers to calls
// that were cancelled.
func (s *State) handleStoreAnswer(now time.Duration, e StoreAnswer) {
	c, ok := s.calls[e.Number]
	if !ok {
		return
	}
	delete(s.calls, e.Number)
	switch c.purpose {
	case readHead:
		s.handleHeadRead(now, c, e)
	case watchHead:
		s.handleHeadChanges(now, e)
	case readPart:
		s.handlePartRead(now, c, e)
	}
}

// handleHeadRead handles the answer to a read of the head. The contact counts from the
// time at which the read was sent, because the content may be as old as that.
func (s *State) handleHeadRead(now time.Duration, c pendingCall, e StoreAnswer) {
	ownRead := s.watch.readCall == e.Number
	v, ok := e.Answer.(store.Value)
	if e.Err != nil || !ok {
		if ownRead {
			s.postponeRead(now)
		}
		return
	}
	s.recordContact(c.sent)
	s.observeHead(now, v.Entry)
	if !ownRead {
		return
	}
	w := &s.watch
	w.readCall = 0
	w.failures = 0
	w.lastRead = now
	w.nextRead = c.sent + s.settings.readInterval
	if w.storeCounter == 0 {
		w.storeCounter = max(v.Counter, 1)
	}
}

// postponeRead cancels the read of the watcher and schedules the next one after a
// backoff.
func (s *State) postponeRead(now time.Duration) {
	w := &s.watch
	s.cancelCall(w.readCall)
	w.readCall = 0
	w.nextRead = now + s.backoff()
	w.failures++
}

// backoff returns the wait after the failures so far. It grows exponentially and is
// random, so that instances that failed together don't retry together.
func (s *State) backoff() time.Duration {
	wait := min(minStoreBackoff<<min(s.watch.failures, 10), maxStoreBackoff)
	return wait/2 + time.Duration(s.random.Int64N(int64(wait)))
}

// handleHeadChanges handles the answer to a watch on the head.
func (s *State) handleHeadChanges(now time.Duration, e StoreAnswer) {
	w := &s.watch
	if w.watchCall != e.Number {
		return
	}
	w.watchCall = 0
	w.nextWatch = now + minWatchInterval
	changes, ok := e.Answer.(store.Changes)
	switch {
	case e.Err != nil || !ok:
		w.nextWatch = now + s.backoff()
		w.failures++
	case changes.Compacted:
		w.storeCounter = 0
		w.nextRead = now
	default:
		w.failures = 0
		w.storeCounter = max(w.storeCounter, changes.Counter)
		for _, entry := range changes.Entries {
			s.observeHead(now, entry)
		}
	}
}

// observeHead processes the head as it is in the store. It never accepts a lower
// number than this instance holds, or other content under the same number.
func (s *State) observeHead(now time.Duration, entry store.Entry) {
	if entry.Key != HeadKey {
		return
	}
	if entry.Version == 0 {
		if s.held != nil {
			s.reportOnce(Lower, Notice{}, "", "the store has no head")
		}
		return
	}
	m, err := readManifest(entry.Value)
	if err != nil {
		s.reportOnce(Corrupt, NoticeOf(0, entry.Value), "", err.Error())
		return
	}
	switch {
	case m.number() < s.held.number():
		s.reportOnce(Lower, m.notice, "", "the store returned a lower revision number")
	case m.number() == s.held.number():
		if m.notice != s.held.notice {
			s.reportOnce(Forked, m.notice, "", "the store holds different content under this number")
		}
	case m.number() > s.storeHead.number():
		s.report(Learned, m.notice, "", "")
		s.storeHead = m
	}
	s.useStoreHead(now)
}

// useStoreHead gives the download the store's head if it is of the same revision, and
// abandons the download if the store has different content under its number.
func (s *State) useStoreHead(now time.Duration) {
	dl := s.download
	if dl == nil || s.storeHead == nil {
		return
	}
	if dl.notice.Number == s.storeHead.number() && dl.notice != s.storeHead.notice {
		s.reportOnce(Forked, dl.notice, "", "peers hold different content from the store")
		s.abandonDownload(now, dl, "the store holds different content")
		return
	}
	if dl.notice != s.storeHead.notice {
		return
	}
	dl.inStore = true
	if dl.manifest == nil {
		s.cancelFetches()
		dl.manifest = s.storeHead
	}
}

// handlePartRead handles the answer to a read of a part.
func (s *State) handlePartRead(now time.Duration, c pendingCall, e StoreAnswer) {
	dl := s.download
	if dl == nil {
		return
	}
	i := slices.IndexFunc(dl.fetches, func(f *fetch) bool { return f.storeCall == e.Number })
	if i < 0 {
		return
	}
	f := dl.fetches[i]
	v, ok := e.Answer.(store.Value)
	switch {
	case e.Err != nil || !ok:
		s.failFetch(now, dl, f)
	case v.Entry.Version == 0:
		// Writers remove a part only after they have replaced the head that names it, so
		// the head is read again soon.
		s.abandonDownload(now, dl, "a part was removed from the store")
		s.watch.nextRead = now + minStoreBackoff
	case !s.addPart(c.part, v.Entry.Value):
		s.report(Corrupt, dl.notice, "", "part in the store doesn't match its digest")
		s.failFetch(now, dl, f)
	default:
		dl.removeFetch(f)
	}
}
