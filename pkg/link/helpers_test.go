package link_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/link"
)

// members returns instances of zones a, b and c, the given number of each.
func members(number int) []instance.Info {
	var list []instance.Info
	for _, zone := range []string{"a", "b", "c"} {
		for i := range number {
			list = append(list, instance.Info{
				ID: instance.ID{
					Address: instance.Address(fmt.Sprintf("%s%d:1", zone, i)),
				},
				Zone: zone,
			})
		}
	}
	return list
}

// Guards against requests that go to instances without links, to another zone without
// need, or nowhere although an instance could serve them.
func TestChoiceOfHelpers(t *testing.T) {
	list := members(3)
	self := list[0]
	tests := []struct {
		name string
		tell func(h *link.Helpers)
		// zone is that of the chosen instances, empty if there is none.
		zone  string
		spare []instance.Address
	}{
		{
			name: "own zone first",
			tell: func(*link.Helpers) {},
			zone: "a",
		},
		{
			name:  "an instance without links",
			tell:  func(h *link.Helpers) { h.Receive(start, "a1:1", link.Report{All: true}) },
			zone:  "a",
			spare: []instance.Address{"a1:1"},
		},
		{
			name:  "an instance that doesn't reach the service",
			tell:  func(h *link.Helpers) { h.Receive(start, "a1:1", link.Report{Services: []string{"desk"}}) },
			zone:  "a",
			spare: []instance.Address{"a1:1"},
		},
		{
			name: "an instance that doesn't reach another service",
			tell: func(h *link.Helpers) {
				h.Receive(start, "a1:1", link.Report{Services: []string{"mill"}})
				h.Receive(start, "a2:1", link.Report{All: true})
			},
			zone: "a",
		},
		{
			name: "links of an instance are back",
			tell: func(h *link.Helpers) {
				h.Receive(start, "a2:1", link.Report{All: true})
				h.Receive(start, "a1:1", link.Report{All: true})
				h.Receive(start, "a1:1", link.Report{})
			},
			zone:  "a",
			spare: []instance.Address{"a2:1"},
		},
		{
			name: "a whole zone without links",
			tell: func(h *link.Helpers) {
				h.Receive(start, "a1:1", link.Report{All: true})
				h.Exclude(start, "a2:1")
				h.CutOff(start, list[4], "desk", 3)
			},
			zone:  "c",
			spare: []instance.Address{"b1:1"},
		},
		{
			name: "nobody has links",
			tell: func(h *link.Helpers) {
				for _, m := range list {
					h.Receive(start, m.Address, link.Report{All: true})
				}
			},
		},
		{
			name: "several say that the service is down",
			tell: func(h *link.Helpers) {
				for _, i := range []int{1, 3, 6, 2} {
					h.CutOff(start, list[i], "desk", 3)
				}
			},
		},
		{
			name: "one reaches the service after others said that they don't",
			tell: func(h *link.Helpers) {
				for _, i := range []int{3, 6, 4} {
					h.CutOff(start, list[i], "desk", 3)
				}
				h.Answered("desk")
				h.CutOff(start, list[7], "desk", 3)
			},
			zone: "a",
		},
		{
			name: "the whole own zone says that it doesn't reach the service",
			tell: func(h *link.Helpers) {
				for range 3 {
					h.CutOff(start, list[1], "desk", 3)
					h.CutOff(start, list[2], "desk", 3)
				}
			},
			zone: "bc",
		},
		{
			// Guards against callers that are refused although others reach the service,
			// because requests that went through the same instances at the same time were
			// answered one after the other.
			name: "three instances of three zones say so to several requests each",
			tell: func(h *link.Helpers) {
				for range 4 {
					h.CutOff(start, list[1], "desk", 3)
					h.CutOff(start, list[3], "desk", 3)
					h.CutOff(start, list[6], "desk", 3)
				}
			},
			zone: "a",
		},
		{
			name: "an instance of the own zone and one of another",
			tell: func(h *link.Helpers) {
				h.CutOff(start, list[1], "desk", 3)
				h.CutOff(start, list[3], "desk", 3)
			},
			zone: "c",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := link.NewHelpers()
			tt.tell(h)
			chosen := map[instance.Address]int{}
			for key := range uint64(500) {
				m, ok := h.Choose(start, self, list, "desk", instance.Hash("relay", key))
				is.Equal(ok, tt.zone != "")
				if ok {
					chosen[m.Address]++
				}
			}
			is.Equal(chosen[self.Address], 0)
			for _, a := range tt.spare {
				is.Equal(chosen[a], 0)
			}
			for a := range chosen {
				is.True(len(tt.zone) > 0 && (a[0] == tt.zone[0] || a[0] == tt.zone[len(tt.zone)-1]))
			}
			h.Expire(start + time.Minute)
			_, ok := h.Choose(start+time.Minute, self, list, "desk", 1)
			is.True(ok) // nothing is excluded for good
		})
	}
}

// Guards against one instance that gets the requests of all others whose links are lost.
func TestHelpersShareTheRequests(t *testing.T) {
	is := is.New(t)
	const (
		requests = 9000
		helpers  = 9
	)
	list := members(10)
	h := link.NewHelpers()
	chosen := map[instance.Address]int{}
	for key := range uint64(requests) {
		m, ok := h.Choose(start, list[0], list, "desk", instance.Hash("relay", key))
		is.True(ok)
		chosen[m.Address]++
	}
	is.Equal(len(chosen), helpers)
	for _, number := range chosen {
		is.True(number < 2*requests/helpers)
	}
}
