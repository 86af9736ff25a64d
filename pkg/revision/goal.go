package revision

import (
	"cmp"
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

const (
	// askTimeout is how long a peer has to answer an ask.
	askTimeout = 200 * time.Millisecond
	// askTries is how often peers are asked for one thing before it is taken
	// up afresh.
	askTries = 3
	// retryWait is how long a revision is left alone that nobody could serve.
	retryWait = time.Second
	// maximumFetches bounds the parts fetched at a time.
	maximumFetches = 4
)

// goal is the revision that this instance is getting hold of.
type goal struct {
	notice Notice
	// manifest is nil until the head is here.
	manifest *manifest
	// stored says that the store showed the head, so that it may be asked for
	// parts.
	stored bool
	// spent are peers that couldn't serve the goal.
	spent []instance.Address
	// fetches are under way: one for the head, or some for parts.
	fetches []*fetch
	// idleUntil holds the next fetches back after the store failed.
	idleUntil time.Duration
}

// fetch is one head or part under way.
type fetch struct {
	// head is set for the head; else digest names the part.
	head   bool
	digest Digest
	// from is the peer asked; empty if it is the store.
	from     instance.Address
	call     uint64
	tries    int
	deadline time.Duration
	got      []byte
	size     int
}

func (g *goal) next(next time.Duration) time.Duration {
	for _, f := range g.fetches {
		next = min(next, f.deadline)
	}
	if g.idleUntil != 0 {
		next = min(next, g.idleUntil)
	}
	return next
}

// noticed takes in that a peer can serve a revision.
func (s *State) noticed(from instance.Address, n Notice) {
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
			s.complain(Forked, n, from, "a peer holds other content under this number")
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
	if s.goal == nil || n.Number > s.goal.notice.Number {
		s.decide(Learned, n, from, "")
	}
}

// pursue chooses a goal and works on it.
func (s *State) pursue(now time.Duration) {
	s.choose()
	for s.goal != nil {
		g := s.goal
		s.expireFetches(now, g)
		if s.goal == g && g.manifest == nil {
			s.fetchHead(now, g)
		}
		if s.goal == g && g.manifest != nil {
			s.fetchParts(now, g)
		}
		if s.goal == g {
			return
		}
		s.choose()
	}
}

// choose takes the newest revision known of as the goal. A goal whose head is
// here is finished first: else a stream of changes, or a peer that claims
// what nobody has, could keep all from ever being finished.
func (s *State) choose() {
	if s.goal != nil && s.goal.manifest != nil {
		return
	}
	best := Notice{}
	if s.stored != nil {
		best = s.stored.notice
	}
	for _, o := range s.sources {
		if o.retry == 0 && o.notice.Number > best.Number {
			best = o.notice
		}
	}
	if best.Number <= s.held.number() || s.goal != nil && s.goal.notice == best {
		return
	}
	s.endFetches()
	s.goal = &goal{
		notice: best,
	}
	if s.stored != nil && s.stored.notice == best {
		s.goal.manifest = s.stored
		s.goal.stored = true
	}
	s.prune()
}

// prune drops parts of no use to what is held and aimed at.
func (s *State) prune() {
	keep := map[Digest]bool{}
	for _, m := range []*manifest{s.held, s.goal.manifestOrNil()} {
		if m == nil {
			continue
		}
		for _, d := range m.digests {
			keep[d] = true
		}
	}
	for d := range s.parts {
		if !keep[d] {
			delete(s.parts, d)
		}
	}
}

func (g *goal) manifestOrNil() *manifest {
	if g == nil {
		return nil
	}
	return g.manifest
}

// endFetches cancels what is under way.
func (s *State) endFetches() {
	if s.goal == nil {
		return
	}
	for _, f := range s.goal.fetches {
		s.cancel(f.call)
	}
	s.goal.fetches = nil
}

// abandon gives the goal up for a while.
func (s *State) abandon(now time.Duration, g *goal, reason string) {
	s.decide(Abandoned, g.notice, "", reason)
	s.endFetches()
	s.goal = nil
	for i := range s.sources {
		if s.sources[i].notice == g.notice {
			s.sources[i].retry = now + retryWait
		}
	}
	if s.stored != nil && s.stored.notice == g.notice {
		s.stored = nil
	}
}

// renewSources makes peers eligible again whose wait is over.
func (s *State) renewSources(now time.Duration) {
	for i := range s.sources {
		if now >= s.sources[i].retry {
			s.sources[i].retry = 0
		}
	}
}

// source chooses a peer to ask: one that noticed just this revision, or else a
// newer one, whose parts may be the same. It isn't the one at the address
// except. Empty means none.
func (s *State) source(g *goal, except instance.Address) instance.Address {
	var same, newer []instance.Address
	for _, o := range s.sources {
		switch {
		case o.address == except || o.retry != 0 || slices.Contains(g.spent, o.address):
		case o.notice == g.notice:
			same = append(same, o.address)
		case g.manifest != nil && o.notice.Number > g.notice.Number:
			newer = append(newer, o.address)
		}
	}
	if len(same) == 0 {
		same = newer
	}
	if len(same) == 0 {
		return ""
	}
	return same[s.random.IntN(len(same))]
}

// fetchHead asks a peer for the goal's head.
func (s *State) fetchHead(now time.Duration, g *goal) {
	if len(g.fetches) > 0 {
		return
	}
	from := s.source(g, "")
	if from == "" {
		s.abandon(now, g, "nobody serves the head")
		return
	}
	f := &fetch{
		head: true,
		from: from,
	}
	g.fetches = append(g.fetches, f)
	s.ask(now, g, f)
}

// fetchParts begins fetches of missing parts, and ends the goal with the last.
func (s *State) fetchParts(now time.Duration, g *goal) {
	if now >= g.idleUntil {
		g.idleUntil = 0
	}
	missing := 0
	for _, d := range g.manifest.digests {
		if s.has(d) {
			continue
		}
		missing++
		if !s.fetchPart(now, g, d) {
			return
		}
	}
	if missing == 0 {
		s.goal = nil
		s.hold(g.manifest)
		s.prune()
	}
}

// has tells whether a part is here. The empty part always is.
func (s *State) has(d Digest) bool {
	if d == DigestOf(nil) {
		s.parts[d] = nil
	}
	_, ok := s.parts[d]
	return ok
}

// fetchPart begins one fetch, unless it or enough are under way. It is false
// once no more can begin.
func (s *State) fetchPart(now time.Duration, g *goal, d Digest) bool {
	if slices.ContainsFunc(g.fetches, func(f *fetch) bool { return f.digest == d }) {
		return true
	}
	if len(g.fetches) >= maximumFetches || g.idleUntil != 0 {
		return false
	}
	f := &fetch{
		digest: d,
		from:   s.source(g, ""),
	}
	switch {
	case f.from != "":
		g.fetches = append(g.fetches, f)
		s.ask(now, g, f)
	case g.stored:
		g.fetches = append(g.fetches, f)
		s.readPart(now, f)
	case len(g.fetches) == 0:
		s.abandon(now, g, "nobody serves a part")
		return false
	}
	return true
}

// ask sends a fetch's next ask to its peer.
func (s *State) ask(now time.Duration, g *goal, f *fetch) {
	f.deadline = now + askTimeout
	if f.head {
		s.send(f.from, HeadRequest{
			Notice: g.notice,
		})
		return
	}
	s.send(f.from, PartRequest{
		Digest: f.digest,
		Offset: len(f.got),
	})
}

// expireFetches repeats asks that got no answer, with another peer if there is
// one, since the way to the first may be cut.
func (s *State) expireFetches(now time.Duration, g *goal) {
	for _, f := range slices.Clone(g.fetches) {
		if now < f.deadline {
			continue
		}
		f.tries++
		if f.from != "" && f.tries < askTries {
			f.from = cmp.Or(s.source(g, f.from), f.from)
			s.ask(now, g, f)
			continue
		}
		s.fail(now, g, f)
	}
}

// fail ends a fetch without success.
func (s *State) fail(now time.Duration, g *goal, f *fetch) {
	if f.from == "" {
		s.cancel(f.call)
		g.idleUntil = now + storeBackoff
	} else {
		g.spent = append(g.spent, f.from)
	}
	g.drop(f)
}

func (g *goal) drop(f *fetch) {
	g.fetches = slices.DeleteFunc(g.fetches, func(o *fetch) bool { return o == f })
}

// find is the fetch that a peer's answer is for.
func (g *goal) find(from instance.Address, head bool, d Digest) *fetch {
	if g == nil {
		return nil
	}
	for _, f := range g.fetches {
		if f.from == from && f.head == head && f.digest == d {
			return f
		}
	}
	return nil
}
