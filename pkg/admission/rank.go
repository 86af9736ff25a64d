package admission

import (
	"cmp"
	"container/list"
	"math"
	"math/bits"
	"slices"
	"time"

	"dandelionmux/pkg/meter"
)

const (
	// arrivalSpan is the time whose arrivals determine a rank's proportional share.
	arrivalSpan = 5 * time.Second
	// latestSpan is the time of a second count. The larger share of the two holds, since
	// the callers of a burst give up before it has its weight in the longer one.
	latestSpan = time.Second
	// leftClasses is the number of classes of time left, each twice as long as the one
	// before. The first ends at leftClassUnit.
	leftClasses   = 10
	leftClassUnit = 125 * time.Millisecond
)

// rank holds the waiting entries of a rank.
type rank[T any] struct {
	number        int
	organisations map[string]*organisation[T]
	// turns holds the organisations with waiting entries (*organisation[T]) in the order
	// of their turns.
	turns *list.List
	// lengths[n] is the number of organisations with more than n waiting entries.
	lengths  []int
	waiting  int
	arrivals *meter.Window
	latest   *meter.Window
	// queuedByLeft counts queued entries by the class of the time that they had left. Its
	// windows are made when needed.
	queuedByLeft [leftClasses]*meter.Window
	// queuedLately counts the entries queued lately.
	queuedLately decaying
	// credit is the number of grants that the rank is owed.
	credit  float64
	sweptAt time.Duration
}

// organisation holds the waiting entries of an organisation in a rank. It is kept for
// some time after the last one.
type organisation[T any] struct {
	name string
	// items are sorted by deadline. Insertion moves at most some thousand pointers, which
	// takes less time than a balanced tree would.
	items []*item[T]
	// turn is nil while nothing waits.
	turn         *list.Element
	queuedLately decaying
}

// decaying is a count of events that decays with the time constant arrivalSpan.
type decaying struct {
	n  float64
	at time.Duration
}

// add counts an event.
func (d *decaying) add(now time.Duration) {
	d.n = d.rate(now)*arrivalSpan.Seconds() + 1
	d.at = now
}

// rate returns the number of events a second.
func (d *decaying) rate(now time.Duration) float64 {
	return d.n * math.Exp(-float64(now-d.at)/float64(arrivalSpan)) / arrivalSpan.Seconds()
}

func newRank[T any](number int) *rank[T] {
	return &rank[T]{
		number:        number,
		organisations: map[string]*organisation[T]{},
		turns:         list.New(),
		arrivals:      meter.NewWindow(arrivalSpan),
		latest:        meter.NewWindow(latestSpan),
	}
}

// organisation returns the state of an organisation, which it creates if there is none.
func (r *rank[T]) organisation(name string) *organisation[T] {
	o := r.organisations[name]
	if o == nil {
		o = &organisation[T]{
			name: name,
		}
		r.organisations[name] = o
	}
	return o
}

// add inserts an item by deadline. An organisation without others gets the last turn.
func (r *rank[T]) add(i *item[T]) {
	o := i.organisation
	if o.turn == nil {
		o.turn = r.turns.PushBack(o)
	}
	at, _ := slices.BinarySearchFunc(o.items, i, byDeadline)
	o.items = slices.Insert(o.items, at, i)
	n := len(o.items)
	if len(r.lengths) < n {
		r.lengths = append(r.lengths, 0)
	}
	r.lengths[n-1]++
	r.waiting++
}

// remove removes an item, and its organisation's turn if that was the last one.
func (r *rank[T]) remove(i *item[T]) {
	o := i.organisation
	at, _ := slices.BinarySearchFunc(o.items, i, byDeadline)
	if at == 0 {
		o.items[0] = nil
		o.items = o.items[1:]
	} else {
		o.items = slices.Delete(o.items, at, at+1)
	}
	r.lengths[len(o.items)]--
	r.waiting--
	if len(o.items) == 0 {
		r.turns.Remove(o.turn)
		o.turn = nil
	}
}

// byDeadline orders items of one organisation. The identifiers make the order strict, so
// that remove finds the item itself.
func byDeadline[T any](a, b *item[T]) int {
	return cmp.Or(
		cmp.Compare(a.entry.Deadline, b.entry.Deadline),
		cmp.Compare(a.sequence, b.sequence),
		cmp.Compare(a.entry.ID, b.entry.ID),
	)
}

// first returns the next item of the organisation whose turn it is.
func (r *rank[T]) first() *item[T] {
	return r.turns.Front().Value.(*organisation[T]).items[0]
}

// endTurn gives the organisation the last turn.
func (r *rank[T]) endTurn(o *organisation[T]) {
	if len(o.items) > 0 {
		r.turns.MoveToBack(o.turn)
	}
}

// longest returns the organisation with the most waiting entries; of equal ones, that
// with the latest turn.
func (r *rank[T]) longest() *organisation[T] {
	var longest *organisation[T]
	for e := r.turns.Back(); e != nil; e = e.Prev() {
		o := e.Value.(*organisation[T])
		if longest == nil || len(o.items) > len(longest.items) {
			longest = o
		}
	}
	return longest
}

// before returns how many entries of the rank are served before one of the organisation
// with the deadline: those of its organisation that are due earlier, and one more of each
// other organisation, as far as they have as many. It also returns how many more would be
// if all organisations of late had as many.
func (r *rank[T]) before(name string, deadline time.Duration) (n, room int) {
	length := 0
	if o := r.organisations[name]; o != nil {
		length = len(o.items)
		n, _ = slices.BinarySearchFunc(o.items, deadline, func(i *item[T], d time.Duration) int {
			if i.entry.Deadline <= d {
				return -1
			}
			return 1
		})
	}
	own := n
	if length < r.waiting {
		n -= min(length, own+1)
		for _, organisations := range r.lengths[:min(own+1, len(r.lengths))] {
			n += organisations
		}
	}
	others := len(r.organisations)
	if r.organisations[name] != nil {
		others--
	}
	return n, others*(own+1) - (n - own)
}

// queued counts an entry that is queued with a time left.
func (r *rank[T]) queued(now, left time.Duration, name string) {
	class := leftClass(left)
	if r.queuedByLeft[class] == nil {
		r.queuedByLeft[class] = meter.NewWindow(arrivalSpan)
	}
	r.queuedByLeft[class].Add(now, 1)
	r.queuedLately.add(now)
	r.organisation(name).queuedLately.add(now)
	r.sweep(now)
}

// sweep removes organisations that have queued nothing lately. It looks at them once per
// arrivalSpan.
func (r *rank[T]) sweep(now time.Duration) {
	if now-r.sweptAt < arrivalSpan {
		return
	}
	r.sweptAt = now
	for name, o := range r.organisations {
		if len(o.items) == 0 && now-o.queuedLately.at >= arrivalSpan {
			delete(r.organisations, name)
		}
	}
}

// othersRate returns the rate at which other organisations have queued entries lately.
func (r *rank[T]) othersRate(now time.Duration, name string) float64 {
	rate := r.queuedLately.rate(now)
	if o := r.organisations[name]; o != nil {
		rate -= o.queuedLately.rate(now)
	}
	return max(rate, 0)
}

// overtaking returns the rate at which entries have been queued lately that go before
// one of the same organisation with a time left although they come later. The rank
// doesn't count them by organisation; the rate follows from the organisation's part of
// the waiting entries.
func (r *rank[T]) overtaking(now time.Duration, name string, left time.Duration) float64 {
	o := r.organisations[name]
	if o == nil || len(o.items) == 0 {
		return 0
	}
	n := 0.0
	for _, w := range r.queuedByLeft[:leftClass(left)] {
		if w != nil {
			n += w.Sum(now)
		}
	}
	part := float64(len(o.items)*r.turns.Len()) / float64(r.waiting)
	return n / arrivalSpan.Seconds() * min(part, 1)
}

// leftClass returns the class of a time left.
func leftClass(left time.Duration) int {
	return min(bits.Len64(uint64(max(left, 0)/leftClassUnit)), leftClasses-1)
}
