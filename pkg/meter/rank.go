package meter

import (
	"math"
	"time"
)

const (
	// maxRanks is the number of ranks that a budget tells apart. Less urgent ones count as the
	// last of them, so that senders can't make the budget grow.
	maxRanks = 8
	// recentPart is the part of the span after which nothing is reserved for a rank that has
	// stopped asking, and over which the demand of one that has just begun is measured: a fifth.
	recentPart = 5
	// keptShare is the part of a budget that less urgent ranks keep together: a fifth.
	keptShare = 5
)

// TakeOption changes a call of Budget.Take.
type TakeOption func(*takeOptions)

type takeOptions struct {
	rank   int
	ranked bool
}

// WithRank gives the rank of the request that is to be retried; zero is the most urgent. While
// the budget is short, a retry is granted only from what more urgent ranks haven't lately asked
// for. Without a rank retries are granted as long as the budget lasts.
func WithRank(rank int) TakeOption {
	return func(o *takeOptions) {
		o.rank = min(max(rank, 0), maxRanks-1)
		o.ranked = true
	}
}

// rankUsage counts what a rank has asked for and was granted.
type rankUsage struct {
	asked   *Window
	granted *Window
	// recent counts like asked, over the last recentPart, and since is when the rank asked first
	// after a span without a request.
	recent *Window
	since  time.Duration
}

// ranks counts retries by rank. Ranks that have never asked are nil.
type ranks struct {
	span  time.Duration
	usage [maxRanks]*rankUsage
}

// ask counts a request for a retry.
func (r *ranks) ask(now time.Duration, rank int) {
	if r.usage[rank] == nil {
		r.usage[rank] = &rankUsage{
			asked:   NewWindow(r.span),
			granted: NewWindow(r.span),
			recent:  NewWindow(r.span / recentPart),
		}
	}
	u := r.usage[rank]
	if u.asked.Sum(now) == 0 {
		u.since = now
	}
	u.asked.Add(now, 1)
	u.recent.Add(now, 1)
}

// grant counts a granted retry.
func (r *ranks) grant(now time.Duration, rank int) { r.usage[rank].granted.Add(now, 1) }

// demand returns how many retries a rank asks for within a span, as measured lately. Demand
// varies: without the standard deviation that is added, less urgent ranks would find the room for
// it and take it just before it is asked for.
func (r *ranks) demand(now time.Duration, rank int) float64 {
	u := r.usage[rank]
	if u == nil || u.recent.Sum(now) == 0 {
		return 0
	}
	measured := min(max(now-u.since, r.span/recentPart), r.span)
	perSpan := u.asked.Sum(now) * float64(r.span) / float64(measured)
	return perSpan + math.Sqrt(perSpan)
}

// granted returns the retries granted to a rank and to less urgent ones within the span.
func (r *ranks) granted(now time.Duration, rank int) (own, less float64) {
	for i := rank; i < maxRanks; i++ {
		switch u := r.usage[i]; {
		case u == nil:
		case i == rank:
			own = u.granted.Sum(now)
		default:
			less += u.granted.Sum(now)
		}
	}
	return own, less
}

// demandBelow returns the demand of the ranks less urgent than one.
func (r *ranks) demandBelow(now time.Duration, rank int) float64 {
	sum := 0.0
	for i := rank + 1; i < maxRanks; i++ {
		sum += r.demand(now, i)
	}
	return sum
}

// allows reports whether a rank may have a retry of those that ranks share: what more urgent
// ranks ask for is reserved for them, but of what is left at each rank a fifth is kept for the
// less urgent.
func (r *ranks) allows(now time.Duration, rank int, shared float64) bool {
	left := shared
	for i := range rank {
		left -= min(r.demand(now, i), left-r.kept(now, i, left))
	}
	own, less := r.granted(now, rank)
	return own+less+1 <= left && own+1 <= left-r.kept(now, rank, left)
}

// kept returns how much of what is left at a rank is kept for less urgent ones. It is rounded up
// to whole retries, and nothing if that would leave none for the rank itself.
func (r *ranks) kept(now time.Duration, rank int, left float64) float64 {
	kept := math.Ceil(left / keptShare)
	if left < kept+1 {
		return 0
	}
	return min(r.demandBelow(now, rank), kept)
}
