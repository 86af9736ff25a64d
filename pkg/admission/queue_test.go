package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/admission"
)

const start = time.Minute

// Guards against an order by arrival: the urgent rank, the organisation that has waited for
// its turn, and the caller with less time left go first.
func TestOrder(t *testing.T) {
	is := is.New(t)
	q := admission.New[string]()
	c := admission.Capacity{
		Slots:       10,
		ServiceTime: 100 * time.Millisecond,
	}
	for i, e := range []struct {
		rank         int
		organisation string
		left         time.Duration
		name         string
	}{
		{1, "a", 5 * time.Second, "rank 1"},
		{0, "a", 5 * time.Second, "a long"},
		{0, "a", 4 * time.Second, "a"},
		{0, "a", 3 * time.Second, "a short"},
		{0, "b", 5 * time.Second, "b"},
	} {
		q.Arrived(start, e.rank)
		v := q.Offer(start, admission.Entry[string]{
			ID:           uint64(i + 1),
			Rank:         e.rank,
			Organisation: e.organisation,
			Deadline:     start + e.left,
			Value:        e.name,
		}, c)
		_, waits := v.(admission.Waits)
		is.True(waits)
	}
	is.Equal(q.Waiting(), map[int]int{0: 4, 1: 1})
	first, ok := q.Next(start)
	is.True(ok)
	q.PutBack(start, first)
	is.Equal(q.Len(), 5)
	var names []string
	for q.Len() > 0 {
		e, ok := q.Next(start)
		is.True(ok)
		names = append(names, e.Value)
	}
	is.Equal(names, []string{"a short", "b", "a", "a long", "rank 1"})
	_, ok = q.Next(start)
	is.True(!ok)
}
