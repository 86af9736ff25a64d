package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/roster"
)

func members(n int) []instance.Info {
	var list []instance.Info
	for i := range n {
		list = append(list, instance.Info{
			ID: instance.ID{
				Address: instance.Address(fmt.Sprintf("10.0.0.%d:7000", i)),
			},
			Zone: string(rune('a' + i%3)),
		})
	}
	return list
}

func noneUnresponsive(instance.Address) bool { return false }

func TestAllInstancesOfAZoneAgreeOnTheKeeper(t *testing.T) {
	is := is.New(t)
	all := members(39)
	for _, name := range []string{"orchard", "mill", "press"} {
		keepers := map[string]instance.Address{}
		for _, m := range all {
			k := roster.New(m, all).ZoneKeeper("rate", name, noneUnresponsive)
			if keepers[m.Zone] == "" {
				keepers[m.Zone] = k
			}
			is.Equal(k, keepers[m.Zone])
		}
		remote := roster.New(all[0], all).RemoteKeepers("rate", name, noneUnresponsive)
		is.Equal(len(remote), 2)
		for _, a := range remote {
			is.True(a == keepers["b"] || a == keepers["c"]) // the keepers there
		}
	}
}

// All instances must ask the same fleet keeper, and it must be the keeper of its own
// zone too. Otherwise two instances would grant the same fraction of a rate.
func TestAllInstancesAgreeOnTheFleetsKeeper(t *testing.T) {
	is := is.New(t)
	all := members(39)
	zones := map[string]bool{}
	for i := range 100 {
		name := fmt.Sprint(i)
		keeper := roster.New(all[0], all).FleetKeeper("rate", name)
		for _, m := range all {
			r := roster.New(m, all)
			is.Equal(r.FleetKeeper("rate", name), keeper)
			if m.Address == keeper {
				is.Equal(r.ZoneKeeper("rate", name, noneUnresponsive), keeper)
				zones[m.Zone] = true
			}
		}
	}
	is.Equal(len(zones), 3) // the tasks are spread
}

// A network partition leaves members of each zone on both sides. The fractions that
// the two sides grant must add up to one.
func TestPartsOfASplitFleetMakeUpTheWhole(t *testing.T) {
	is := is.New(t)
	all := members(39)
	onLeftSide := func(a instance.Address) bool { return a[len(a)-len("0:7000")]%3 == 0 } // by the last digit
	sum := 0.0
	for i, zone := range []string{"a", "b", "c"} {
		for _, side := range []bool{true, false} {
			self := all[i]
			for _, m := range all {
				if m.Zone == zone && onLeftSide(m.Address) == side {
					self = m
				}
			}
			if onLeftSide(self.Address) != side {
				continue // no member of the zone is on this side
			}
			sum += roster.New(self, all).Zones(3, func(a instance.Address) bool { return onLeftSide(a) == side }).Fraction
		}
	}
	is.True(sum > 0.999 && sum < 1.001)
}

func TestUnresponsiveKeeperIsPassedOver(t *testing.T) {
	is := is.New(t)
	all := members(39)
	r := roster.New(all[0], all)
	first := r.ZoneKeeper("rate", "orchard", noneUnresponsive)
	second := r.ZoneKeeper("rate", "orchard", func(a instance.Address) bool { return a == first })
	is.True(second != first)
	is.Equal(r.ZoneKeeper("rate", "orchard", func(instance.Address) bool { return true }), first)
}

// Guards against a count that is kept by an instance which doesn't know its beginning.
func TestCountingKeeperKnowsTheCount(t *testing.T) {
	const now, minAge = time.Hour, 10 * time.Second
	all := members(39)
	self := all[0]
	inZone := roster.New(self, all).ZoneMembers()
	first := roster.New(self, all).ZoneKeeper("budget", "desk", noneUnresponsive)
	tests := []struct {
		name string
		// started is how long ago this instance started.
		started time.Duration
		// ages are the reported ages of the other members; those without have none.
		ages func(a instance.Address) (time.Duration, bool)
		want func(a instance.Address) bool
	}{
		{
			name:    "all are old",
			started: time.Minute,
			ages:    func(instance.Address) (time.Duration, bool) { return time.Minute, true },
			want:    func(a instance.Address) bool { return a == first },
		},
		{
			name:    "the first in rank has been restarted",
			started: time.Minute,
			ages: func(a instance.Address) (time.Duration, bool) {
				if a == first {
					return time.Second, true
				}
				return time.Minute, true
			},
			want: func(a instance.Address) bool { return a != first },
		},
		{
			name:    "all others have been restarted",
			started: 5 * time.Second,
			ages:    func(instance.Address) (time.Duration, bool) { return time.Second, true },
			want:    func(a instance.Address) bool { return a == self.Address },
		},
		{
			name:    "all started at once and have reported nothing",
			started: time.Millisecond,
			ages:    func(instance.Address) (time.Duration, bool) { return 0, false },
			want:    func(a instance.Address) bool { return a == first },
		},
		{
			name:    "others joined and have reported nothing",
			started: 5 * time.Second,
			ages:    func(instance.Address) (time.Duration, bool) { return 0, false },
			want:    func(a instance.Address) bool { return a == self.Address },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ages := roster.NewAges(self.Address, now-tt.started)
			for _, m := range inZone {
				if age, ok := tt.ages(m.Address); ok && m.Address != self.Address {
					ages.Report(now, m.Address, age)
				}
			}
			got := roster.New(self, all).CountingKeeper(now, "budget", "desk", noneUnresponsive, ages, minAge)
			is.True(tt.want(got))
		})
	}
}

func TestTasksAreSpread(t *testing.T) {
	is := is.New(t)
	all := members(39)
	r := roster.New(all[0], all)
	counts := map[instance.Address]int{}
	for i := range 1300 {
		counts[r.ZoneKeeper("rate", fmt.Sprint(i), noneUnresponsive)]++
	}
	is.Equal(len(counts), 13)
	for _, n := range counts {
		is.True(n < 200) // twice the even part
	}
}

// An instance whose registration the store refused is unknown to the others. It must
// not keep an item for itself that another instance keeps for all.
func TestUnregisteredInstanceKeepsNothing(t *testing.T) {
	is := is.New(t)
	all := members(39)
	for i := range 100 {
		name := fmt.Sprint(i)
		keeper := roster.New(all[3], all[3:]).ZoneKeeper("rate", name, noneUnresponsive)
		is.Equal(roster.New(all[0], all[3:]).ZoneKeeper("rate", name, noneUnresponsive), keeper)
	}
	is.Equal(roster.New(all[0], all[3:]).Len(), 36)
}

func TestInstanceThatKnowsNobodyDoesAllItself(t *testing.T) {
	is := is.New(t)
	self := members(1)[0]
	r := roster.New(self, nil)
	is.Equal(r.ZoneKeeper("rate", "orchard", noneUnresponsive), self.Address)
	is.Equal(len(r.RemoteKeepers("rate", "orchard", noneUnresponsive)), 0)
	is.Equal(r.Zones(3, noneUnresponsive).Count, 3)
}

// Guards against a task that members are given which can't do it, also if nobody else can.
func TestCapableKeeperIsAmongTheCapable(t *testing.T) {
	is := is.New(t)
	all := members(39)
	capable := map[instance.Address]bool{
		"10.0.0.3:7000":  true, // of zone a
		"10.0.0.12:7000": true, // of zone a
		"10.0.0.4:7000":  true, // of zone b
	}
	isCapable := func(a instance.Address) bool { return capable[a] }
	r := roster.New(all[0], all)
	is.Equal(r.ZoneNames(), []string{"a", "b", "c"})
	is.True(capable[r.CapableKeeper("a", "slots", "desk", isCapable)])
	is.Equal(r.CapableKeeper("b", "slots", "desk", isCapable), instance.Address("10.0.0.4:7000"))
	is.Equal(r.CapableKeeper("c", "slots", "desk", isCapable), instance.Address(""))
	everyone := func(instance.Address) bool { return true }
	is.Equal(r.CapableKeeper("a", "slots", "desk", everyone), r.ZoneKeeper("slots", "desk", noneUnresponsive))
}
