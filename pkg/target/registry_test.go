package target_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/document"
	"dandelionmux/pkg/target"
)

func registered(name string, born, sequence int64, leaving bool) target.Registration {
	return target.Registration{
		Service: "desk",
		Target: document.Target{
			Name:    name,
			Leaving: leaving,
		},
		Incarnation: born,
		Sequence:    sequence,
	}
}

func TestDelayedRegistrationIsIgnored(t *testing.T) {
	tests := []struct {
		name string
		next target.Registration
		want bool
	}{
		{
			name: "older sequence of the same run",
			next: registered("desk-1", 100, 4, false),
			want: false,
		},
		{
			name: "an earlier run with a higher sequence",
			next: registered("desk-1", 50, 90, false),
			want: false,
		},
		{
			name: "a later run whose sequence starts anew",
			next: registered("desk-1", 200, 0, false),
			want: true,
		},
		{
			name: "the next sequence of the same run",
			next: registered("desk-1", 100, 6, false),
			want: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := target.NewRegistry()
			is.True(r.Put(registered("desk-1", 100, 5, true)))
			is.Equal(r.Put(tt.next), tt.want)
			is.Equal(r.Services()["desk"][0].Target.Leaving, !tt.want)
		})
	}
}

func TestRegistrationsThatExpireInAnOutageMayReturn(t *testing.T) {
	is := is.New(t)
	const back = time.Minute
	r := target.NewRegistry()
	r.Put(registered("desk-1", 1, 1, false))
	r.Put(registered("desk-2", 1, 1, false))
	r.Put(registered("desk-3", 1, 1, true))
	r.Put(registered("desk-4", 1, 1, false))
	for _, name := range []string{"desk-1", "desk-2", "desk-3"} {
		r.Remove(back, name, true)
	}
	r.Remove(back, "desk-4", false) // without an outage it is removed
	is.Equal(r.Len(), 2)            // the leaving target is removed at once
	r.Put(registered("desk-1", 1, 2, false))
	is.True(!r.Expire(back + 1900*time.Millisecond))
	is.Equal(r.Len(), 2)
	is.True(r.Expire(back + 2*time.Second))
	is.Equal(len(r.Services()["desk"]), 1)
	is.Equal(r.Services()["desk"][0].Target.Name, "desk-1")
}

// Guards against requests to a target that has left because the store shows one of its
// earlier registrations again.
func TestTargetThatHasLeftComesBackOnlyWithANewRegistration(t *testing.T) {
	is := is.New(t)
	r := target.NewRegistry()
	is.True(r.Put(registered("desk-1", 100, 5, true)))
	r.Remove(time.Minute, "desk-1", true)
	is.True(!r.Put(registered("desk-1", 100, 4, false)))
	is.True(!r.Put(registered("desk-1", 100, 5, false)))
	is.Equal(r.Len(), 0)
	r.Expire(time.Minute + 59*time.Second)
	is.True(!r.Put(registered("desk-1", 100, 4, false)))
	is.True(r.Put(registered("desk-1", 100, 6, false))) // it lives
	r.Remove(3*time.Minute, "desk-1", false)
	is.True(r.Put(registered("desk-1", 200, 0, false))) // a later run
	r.Remove(5*time.Minute, "desk-1", false)
	r.Expire(6 * time.Minute)
	is.True(r.Put(registered("desk-1", 100, 4, false))) // forgotten
}

// Guards against a registration that brings back a target which has announced that it is
// leaving, and against a later run of the target that stays out of use.
func TestAnnouncedLeaveHoldsForTheRun(t *testing.T) {
	tests := []struct {
		name string
		play func(r *target.Registry) bool
		// news is what Announce reports, and leaving the state afterwards.
		news    bool
		leaving bool
	}{
		{
			name:    "announced",
			play:    func(r *target.Registry) bool { return r.Announce(0, "desk-1", 1) },
			news:    true,
			leaving: true,
		},
		{
			name: "announced twice",
			play: func(r *target.Registry) bool {
				r.Announce(0, "desk-1", 1)
				return r.Announce(0, "desk-1", 1)
			},
			leaving: true,
		},
		{
			name: "later registration of the same run",
			play: func(r *target.Registry) bool {
				news := r.Announce(0, "desk-1", 1)
				r.Put(registered("desk-1", 1, 9, false))
				return news
			},
			news:    true,
			leaving: true,
		},
		{
			name: "registered again after a removal",
			play: func(r *target.Registry) bool {
				news := r.Announce(0, "desk-1", 1)
				r.Remove(0, "desk-1", false)
				r.Put(registered("desk-1", 1, 9, false))
				return news
			},
			news:    true,
			leaving: true,
		},
		{
			name: "later run",
			play: func(r *target.Registry) bool {
				news := r.Announce(0, "desk-1", 1)
				r.Put(registered("desk-1", 2, 1, false))
				return news
			},
			news: true,
		},
		{
			name: "announcement of an earlier run",
			play: func(r *target.Registry) bool {
				r.Put(registered("desk-1", 2, 1, false))
				return r.Announce(0, "desk-1", 1)
			},
		},
		{
			name: "announcement of an unknown target",
			play: func(r *target.Registry) bool { return r.Announce(0, "desk-2", 1) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := target.NewRegistry()
			r.Put(registered("desk-1", 1, 1, false))
			is.Equal(tt.play(r), tt.news)
			is.Equal(r.Services()["desk"][0].Target.Leaving, tt.leaving)
		})
	}
}

// Guards against strikes that count for a target that only an outage of the store hides, or
// that never count because another target has taken the place of the crashed one.
func TestEndOfRunIsKnownByRegistrations(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *target.Registry)
		ended  bool
	}{
		{
			name:   "nothing changes",
			change: func(*target.Registry) {},
		},
		{
			name:   "the registration ends",
			change: func(r *target.Registry) { r.Remove(time.Minute, "desk-1", false) },
			ended:  true,
		},
		{
			name:   "the registration expires around an outage",
			change: func(r *target.Registry) { r.Remove(time.Minute, "desk-1", true) },
		},
		{
			name: "a later run registers",
			change: func(r *target.Registry) {
				r.Put(runOf("desk-1", "10.0.0.1:80", 8))
			},
			ended: true,
		},
		{
			name: "another target registers at the address",
			change: func(r *target.Registry) {
				r.Put(runOf("desk-2", "10.0.0.1:80", 8))
			},
			ended: true,
		},
		{
			name: "an earlier run of another target is at the address",
			change: func(r *target.Registry) {
				r.Put(runOf("desk-2", "10.0.0.1:80", 6))
			},
		},
		{
			name: "another target registers elsewhere",
			change: func(r *target.Registry) {
				r.Put(runOf("desk-2", "10.0.0.2:80", 8))
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := target.NewRegistry()
			r.Put(runOf("desk-1", "10.0.0.1:80", 7))
			tt.change(r)
			is.Equal(r.Ended("desk-1", 7), tt.ended)
		})
	}
}

// runOf returns the registration of a run of a target.
func runOf(name, address string, incarnation int64) target.Registration {
	return target.Registration{
		Service: "desk",
		Target: document.Target{
			Name:    name,
			Address: address,
		},
		Incarnation: incarnation,
	}
}
