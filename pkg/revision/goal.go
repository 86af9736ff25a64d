package revision

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

const (
	// requestTimeout is how long a peer has to answer a HeadRequest or PartRequest.
	requestTimeout = 200 * time.Millisecond
	// maxRequestAttempts is how often peers are asked for one head or chunk before the
	// fetch fails.
	maxRequestAttempts = 3
	// abandonedRetryDelay is how long the sources of a revision are ignored after a
	// download of it was abandoned.
	abandonedRetryDelay = time.Second
	// maxFetches is the maximum number of parts that are fetched at a time.
	maxFetches = 4
)

// download is the revision that this instance is fetching.
type download struct {
	notice Notice
	// manifest is nil until the head has been fetched.
	manifest *manifest
	// inStore is set if the store returned this head, so that its parts may be read
	// from the store.
	inStore bool
	// failedPeers lists the peers that couldn't serve the revision.
	failedPeers []instance.Address
	// fetches holds the fetches in progress: one for the head, or several for parts.
	fetches []*fetch
	// pausedUntil is when fetches may start again after the store failed, or zero.
	pausedUntil time.Duration
}

// fetch is the transfer of one head or part from a peer or from the store.
type fetch struct {
	// isHead is set for the head; otherwise digest identifies the part.
	isHead bool
	digest Digest
	// peer is the instance asked; empty if the part is read from the store.
	peer instance.Address
	// storeCall is the number of the call to the store; zero for a peer.
	storeCall uint64
	// attempts counts the requests without an answer since the last chunk.
	attempts int
	deadline time.Duration
	// received holds the chunks received so far, and size is the size of the whole
	// part in bytes; zero before the first chunk.
	received []byte
	size     int
}

// nextDeadline returns the earlier of next and the first time at which the download
// has to be advanced.
func (dl *download) nextDeadline(next time.Duration) time.Duration {
	for _, f := range dl.fetches {
		next = min(next, f.deadline)
	}
	if dl.pausedUntil != 0 {
		next = min(next, dl.pausedUntil)
	}
	return next
}

// handleNotice records that a peer can serve a revision.
func (s *State) handleNotice(from instance.Address, n Notice) {
	if n.Number == 0 || from == s.self.Address {
		return
	}
	i := slices.IndexFunc(s.sources, func(o source) bool { return o.address == from })
	switch {
	case n.Number <= s.held.number():
		if i >= 0 {
			s.sources = slices.Delete(s.sources, i, i+1)
		}
		if n.Number == s.held.number() && n != s.held.notice {
			s.reportOnce(Forked, n, from, "a peer holds different content under this number")
		}
		return
	case i < 0:
		s.sources = append(s.sources, source{
			address: from,
			notice:  n,
		})
	case s.sources[i].notice != n:
		s.sources[i] = source{
			address: from,
			notice:  n,
		}
	default:
		return
	}
	if s.download == nil || n.Number > s.download.notice.Number {
		s.report(Learned, n, from, "")
	}
}

// advanceDownload chooses a revision to download and starts its next fetches. When
// a download ends it goes on with the next one.
func (s *State) advanceDownload(now time.Duration) {
	s.chooseDownload()
	for s.download != nil {
		dl := s.download
		s.expireFetches(now, dl)
		if s.download == dl && dl.manifest == nil {
			s.fetchHead(now, dl)
		}
		if s.download == dl && dl.manifest != nil {
			s.fetchParts(now, dl)
		}
		if s.download == dl {
			return
		}
		s.chooseDownload()
	}
}

// chooseDownload starts the download of the newest known revision. A download whose
// head has been fetched is completed first. Otherwise a stream of changes, or a
// peer that announces a revision that doesn't exist, could keep every download from
// completing.
func (s *State) chooseDownload() {
	if s.download != nil && s.download.manifest != nil {
		return
	}
	newest := Notice{}
	if s.storeHead != nil {
		newest = s.storeHead.notice
	}
	for _, o := range s.sources {
		if o.retryAt == 0 && o.notice.Number > newest.Number {
			newest = o.notice
		}
	}
	if newest.Number <= s.held.number() || s.download != nil && s.download.notice == newest {
		return
	}
	s.cancelFetches()
	s.download = &download{
		notice: newest,
	}
	if s.storeHead != nil && s.storeHead.notice == newest {
		s.download.manifest = s.storeHead
		s.download.inStore = true
	}
	s.pruneParts()
}

// pruneParts deletes the parts that neither the held revision nor the download
// contains.
func (s *State) pruneParts() {
	needed := map[Digest]bool{}
	for _, m := range []*manifest{s.held, s.download.manifestOrNil()} {
		if m == nil {
			continue
		}
		for _, d := range m.digests {
			needed[d] = true
		}
	}
	for d := range s.parts {
		if !needed[d] {
			delete(s.parts, d)
		}
	}
}

// manifestOrNil returns the manifest of the download, or nil if there is no
// download.
func (dl *download) manifestOrNil() *manifest {
	if dl == nil {
		return nil
	}
	return dl.manifest
}

// cancelFetches cancels all fetches of the download.
func (s *State) cancelFetches() {
	if s.download == nil {
		return
	}
	for _, f := range s.download.fetches {
		s.cancelCall(f.storeCall)
	}
	s.download.fetches = nil
}

// abandonDownload gives up the download and ignores its sources for
// abandonedRetryDelay.
func (s *State) abandonDownload(now time.Duration, dl *download, reason string) {
	s.report(Abandoned, dl.notice, "", reason)
	s.cancelFetches()
	s.download = nil
	for i := range s.sources {
		if s.sources[i].notice == dl.notice {
			s.sources[i].retryAt = now + abandonedRetryDelay
		}
	}
	if s.storeHead != nil && s.storeHead.notice == dl.notice {
		s.storeHead = nil
	}
}

// endRetryDelays lets sources be chosen again whose delay is over.
func (s *State) endRetryDelays(now time.Duration) {
	for i := range s.sources {
		if now >= s.sources[i].retryAt {
			s.sources[i].retryAt = 0
		}
	}
}

// choosePeer returns a random peer to fetch from, other than except. It prefers
// peers that have exactly this revision. Otherwise it takes one that has a newer
// revision, which may have the same parts. It returns an empty address if there is
// none.
func (s *State) choosePeer(dl *download, except instance.Address) instance.Address {
	var peers, newerPeers []instance.Address
	for _, o := range s.sources {
		switch {
		case o.address == except || o.retryAt != 0 || slices.Contains(dl.failedPeers, o.address):
		case o.notice == dl.notice:
			peers = append(peers, o.address)
		case dl.manifest != nil && o.notice.Number > dl.notice.Number:
			newerPeers = append(newerPeers, o.address)
		}
	}
	if len(peers) == 0 {
		peers = newerPeers
	}
	if len(peers) == 0 {
		return ""
	}
	return peers[s.random.IntN(len(peers))]
}

// fetchHead asks a peer for the head of the download, unless that is in progress.
func (s *State) fetchHead(now time.Duration, dl *download) {
	if len(dl.fetches) > 0 {
		return
	}
	from := s.choosePeer(dl, "")
	if from == "" {
		s.abandonDownload(now, dl, "no peer serves the head")
		return
	}
	f := &fetch{
		isHead: true,
		peer:   from,
	}
	dl.fetches = append(dl.fetches, f)
	s.sendRequest(now, dl, f)
}

// fetchParts starts fetches of missing parts, and completes the download if none is
// missing.
func (s *State) fetchParts(now time.Duration, dl *download) {
	if now >= dl.pausedUntil {
		dl.pausedUntil = 0
	}
	missingParts := 0
	for _, d := range dl.manifest.digests {
		if s.hasPart(d) {
			continue
		}
		missingParts++
		if !s.startPartFetch(now, dl, d) {
			return
		}
	}
	if missingParts == 0 {
		s.download = nil
		s.setHeld(dl.manifest)
		s.pruneParts()
	}
}

// hasPart reports whether this instance has the part. It always has the empty part.
func (s *State) hasPart(d Digest) bool {
	if d == DigestOf(nil) {
		s.parts[d] = nil
	}
	_, ok := s.parts[d]
	return ok
}

// startPartFetch starts the fetch of a part from a peer or, if none can serve it,
// from the store. It does nothing if that fetch is in progress already. It reports
// false if no more fetches may start now.
func (s *State) startPartFetch(now time.Duration, dl *download, d Digest) bool {
	if slices.ContainsFunc(dl.fetches, func(f *fetch) bool { return f.digest == d }) {
		return true
	}
	if len(dl.fetches) >= maxFetches || dl.pausedUntil != 0 {
		return false
	}
	f := &fetch{
		digest: d,
		peer:   s.choosePeer(dl, ""),
	}
	switch {
	case f.peer != "":
		dl.fetches = append(dl.fetches, f)
		s.sendRequest(now, dl, f)
	case dl.inStore:
		dl.fetches = append(dl.fetches, f)
		s.readPart(now, f)
	case len(dl.fetches) == 0:
		s.abandonDownload(now, dl, "no peer serves a part")
		return false
	}
	return true
}

// sendRequest asks the fetch's peer for the head or for the part's next chunk.
func (s *State) sendRequest(now time.Duration, dl *download, f *fetch) {
	f.deadline = now + requestTimeout
	if f.isHead {
		s.send(f.peer, HeadRequest{
			Notice: dl.notice,
		})
		return
	}
	s.send(f.peer, PartRequest{
		Digest: f.digest,
		Offset: len(f.received),
	})
}

// expireFetches repeats requests that got no answer in time. It sends them to
// another peer if there is one, because the network path to the first may be cut.
func (s *State) expireFetches(now time.Duration, dl *download) {
	for _, f := range slices.Clone(dl.fetches) {
		if now < f.deadline {
			continue
		}
		f.attempts++
		if f.peer != "" && f.attempts < maxRequestAttempts {
			f.peer = cmp.Or(s.choosePeer(dl, f.peer), f.peer)
			s.sendRequest(now, dl, f)
			continue
		}
		s.failFetch(now, dl, f)
	}
}

// failFetch ends a fetch without success. Its peer isn't asked again for this
// download; if the store failed, fetches pause for minStoreBackoff.
func (s *State) failFetch(now time.Duration, dl *download, f *fetch) {
	if f.peer == "" {
		s.cancelCall(f.storeCall)
		dl.pausedUntil = now + minStoreBackoff
	} else {
		dl.failedPeers = append(dl.failedPeers, f.peer)
	}
	dl.removeFetch(f)
}

// removeFetch removes a fetch from those in progress.
func (dl *download) removeFetch(f *fetch) {
	dl.fetches = slices.DeleteFunc(dl.fetches, func(o *fetch) bool { return o == f })
}

// findFetch returns the fetch that a peer's reply belongs to, or nil. It may be
// called on a nil download.
func (dl *download) findFetch(from instance.Address, head bool, d Digest) *fetch {
	if dl == nil {
		return nil
	}
	for _, f := range dl.fetches {
		if f.peer == from && f.isHead == head && f.digest == d {
			return f
		}
	}
	return nil
}
