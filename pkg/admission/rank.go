package admission

import (
	"cmp"
	"container/list"
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
	// credit is the number of grants that the rank is owed.
	credit float64
}

// organisation holds the waiting entries of an organisation in a rank. It exists only
// while there are any.
type organisation[T any] struct {
	name string
	// items are sorted by deadline. Insertion moves at most some thousand pointers, which
	// takes less time than a balanced tree would.
	items []*item[T]
	turn  *list.Element
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

// organisation returns the state of an organisation, which it creates, with the last
// turn, if there is none.
func (r *rank[T]) organisation(name string) *organisation[T] {
	o := r.organisations[name]
	if o == nil {
		o = &organisation[T]{
			name: name,
		}
		o.turn = r.turns.PushBack(o)
		r.organisations[name] = o
	}
	return o
}

// add inserts an item by deadline.
func (r *rank[T]) add(i *item[T]) {
	o := i.organisation
	at, _ := slices.BinarySearchFunc(o.items, i, byDeadline)
	o.items = slices.Insert(o.items, at, i)
	n := len(o.items)
	if len(r.lengths) < n {
		r.lengths = append(r.lengths, 0)
	}
	r.lengths[n-1]++
	r.waiting++
}

// remove removes an item, and its organisation if that was the last one.
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
		delete(r.organisations, o.name)
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
// other organisation, as far as they have as many.
func (r *rank[T]) before(name string, deadline time.Duration) int {
	o := r.organisations[name]
	own, length := 0, 0
	if o != nil {
		length = len(o.items)
		own, _ = slices.BinarySearchFunc(o.items, deadline, func(i *item[T], d time.Duration) int {
			if i.entry.Deadline <= d {
				return -1
			}
			return 1
		})
	}
	if length == r.waiting {
		return own
	}
	n := own - min(length, own+1)
	for _, organisations := range r.lengths[:min(own+1, len(r.lengths))] {
		n += organisations
	}
	return n
}

// queued counts an entry that was queued with a time left.
func (r *rank[T]) queued(now, left time.Duration) {
	class := leftClass(left)
	if r.queuedByLeft[class] == nil {
		r.queuedByLeft[class] = meter.NewWindow(arrivalSpan)
	}
	r.queuedByLeft[class].Add(now, 1)
}

// overtaking returns the rate at which entries have been queued lately that go before
// one of the organisation with a time left although they come later. Only those of its
// own organisation do, of which the rank doesn't count the rate; it is estimated from
// the organisation's part of the waiting entries.
func (r *rank[T]) overtaking(now time.Duration, name string, left time.Duration) float64 {
	o := r.organisations[name]
	if o == nil {
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
