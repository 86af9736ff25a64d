package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quarantine"
)

var (
	poisonOutline = quarantine.OutlineOf("dealer", "reserve", "GET", "/sets/1")
	poison        = quarantine.FingerprintOf(poisonOutline, [32]byte{1})
)

func always() bool { return true }
func never() bool  { return false }

// A caller resends a request that crashes every target, each time through another
// instance. It must crash two targets at most.
func TestTenResendsThroughTenInstancesCrashTwoTargets(t *testing.T) {
	tests := []struct {
		name string
		loss float64
		// pause is how long the caller waits before it sends again.
		pause time.Duration
		// copies is how many callers resend at the same time, after the first
		// crash.
		copies int
	}{
		{name: "no loss", copies: 1},
		{name: "lossy network", loss: 0.2, copies: 1},
		{name: "pause before each resend", loss: 0.2, pause: time.Second, copies: 1},
		{name: "many at once", copies: 10},
		{name: "many at once, lossy network", loss: 0.2, copies: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(100) {
				f := newFleet(10, seed, tt.loss)
				crashes, resent := 0, 0
				dies := func() bool {
					crashes++
					return true
				}
				var resend func(bool)
				resend = func(bool) {
					for range tt.copies {
						if resent >= 10 {
							return
						}
						resent++
						n := f.nodes[resent%10]
						f.after(tt.pause, func() { f.request(n, poison, poisonOutline, dies, resend) })
					}
				}
				f.request(f.nodes[0], poison, poisonOutline, dies, resend)
				f.run(30 * time.Second)
				is.Equal(resent, 10)
				is.True(crashes <= 2) // in total, however it is resent
			}
		})
	}
}

// A quarantine must not stop requests of another organisation or with another body,
// and it must end.
func TestOtherRequestsStillRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 1, 0)
	for range 2 {
		f.request(f.nodes[0], poison, poisonOutline, always, func(bool) {})
		f.run(time.Second)
	}
	n := f.nodes[1]
	got, left := n.snapshot.Lookup(f.now, poison)
	is.Equal(got, quarantine.Quarantined)
	is.True(left > 9*time.Minute)
	is.True(n.snapshot.HasOutline(poisonOutline))
	others := quarantine.OutlineOf("shop", "reserve", "GET", "/sets/1")
	is.True(!n.snapshot.HasOutline(others)) // of another organisation
	got, _ = n.snapshot.Lookup(f.now, quarantine.FingerprintOf(poisonOutline, [32]byte{2}))
	is.Equal(got, quarantine.Free) // with another body
	f.run(11 * time.Minute)
	got, _ = n.snapshot.Lookup(f.now, poison)
	is.Equal(got, quarantine.Free) // the quarantine has ended
	is.True(!n.snapshot.HasOutline(poisonOutline))
}

// After a successful run a suspect runs freely again, but its next strike
// quarantines it.
func TestOneSuccessClears(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 2, 0.1)
	f.request(f.nodes[1], poison, poisonOutline, always, func(bool) {})
	f.run(time.Second)
	got, _ := f.nodes[2].snapshot.Lookup(f.now, poison)
	is.Equal(got, quarantine.Suspect)
	ran := false
	f.request(f.nodes[2], poison, poisonOutline, never, func(r bool) { ran = r })
	f.run(time.Second)
	is.True(ran)
	got, _ = f.nodes[0].snapshot.Lookup(f.now, poison)
	is.Equal(got, quarantine.Free) // it runs freely again
	f.request(f.nodes[0], poison, poisonOutline, always, func(bool) {})
	f.run(time.Second)
	got, _ = f.nodes[3].snapshot.Lookup(f.now, poison)
	is.Equal(got, quarantine.Quarantined) // but its next strike counts as the second
}

// The authority must never grant two permits for a fingerprint at the same time, and
// each request must get one in the end.
func TestSuspectsRunOneAtATime(t *testing.T) {
	is := is.New(t)
	f := newFleet(10, 3, 0.2)
	f.request(f.nodes[0], poison, poisonOutline, always, func(bool) {})
	f.run(time.Second)
	running, maxRunning, granted := 0, 0, 0
	for i, n := range f.nodes {
		number := uint64(1000 + i)
		f.handlers[number] = func(e quarantine.Effect) {
			if e.(quarantine.PermitAnswered).Decision != quarantine.Permitted {
				return
			}
			granted++
			running++
			maxRunning = max(maxRunning, running)
			f.after(50*time.Millisecond, func() {
				running--
				n.handle(quarantine.RunEnded{Number: number, Result: quarantine.Inconclusive})
			})
		}
		n.handle(quarantine.PermitRequested{Number: number, Fingerprint: poison, Outline: poisonOutline, Wait: 20 * time.Second, Term: 10 * time.Second})
	}
	f.run(30 * time.Second)
	is.Equal(granted, 10) // each gets its turn
	is.Equal(maxRunning, 1)
}

// The holder of a permit dies during the run, so that nobody reports its result. The
// lapsed permit must count as a strike.
func TestLapsedPermitStrikes(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 4, 0)
	f.request(f.nodes[1], poison, poisonOutline, always, func(bool) {})
	f.run(time.Second)
	number := uint64(99)
	f.handlers[number] = func(e quarantine.Effect) {
		is.Equal(e.(quarantine.PermitAnswered).Decision, quarantine.Permitted)
		f.down[f.nodes[2].id.Address] = true // the holder dies while it runs
	}
	f.nodes[2].handle(quarantine.PermitRequested{Number: number, Fingerprint: poison, Outline: poisonOutline, Wait: time.Second, Term: 10 * time.Second})
	f.run(5 * time.Second)
	got, _ := f.nodes[3].snapshot.Lookup(f.now, poison)
	is.Equal(got, quarantine.Suspect)
	f.run(10 * time.Second)
	got, _ = f.nodes[3].snapshot.Lookup(f.now, poison)
	is.Equal(got, quarantine.Quarantined)
}

// A requester stops waiting while its permit may be on its way. The permit must be
// given back, or it lapses and counts as a strike though nothing ran.
func TestAbandonedPermitRequestIsNoStrike(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		f := newFleet(4, seed, 0.5)
		f.request(f.nodes[1], poison, poisonOutline, always, func(bool) {})
		f.run(15 * time.Second)
		f.handlers[99] = func(e quarantine.Effect) {
			if e.(quarantine.PermitAnswered).Decision == quarantine.Permitted {
				f.nodes[2].handle(quarantine.RunEnded{Number: 99, Result: quarantine.Inconclusive})
			}
		}
		f.nodes[2].handle(quarantine.PermitRequested{Number: 99, Fingerprint: poison, Outline: poisonOutline, Wait: 20 * time.Millisecond, Term: 10 * time.Second})
		f.run(time.Minute)
		got, _ := f.nodes[0].snapshot.Lookup(f.now, poison)
		is.True(got != quarantine.Quarantined) // nothing ran
	}
}

// A permit that arrives for an unknown request is released.
func TestLatePermitIsGivenBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 9, 0)
	authority := f.nodes[0].id
	effects := f.nodes[1].state.Handle(f.now, quarantine.Received{
		From:    authority,
		Message: quarantine.PermitReply{Number: 7, Fingerprint: poison, Decision: quarantine.Permitted},
	})
	is.Equal(effects, []quarantine.Effect{quarantine.Send{
		To:      authority.Address,
		Message: quarantine.Release{Number: 7, Fingerprint: poison, Result: quarantine.Inconclusive},
	}})
}

// A new authority doesn't know the permits of its predecessor. It must grant none
// until those have lapsed.
func TestNewAuthorityWaitsForEarlierPermits(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 5, 0)
	f.request(f.nodes[1], poison, poisonOutline, always, func(bool) {})
	f.run(time.Second)
	permitted := map[uint64]time.Duration{}
	want := func(n *node, number uint64, wait time.Duration) {
		f.handlers[number] = func(e quarantine.Effect) {
			if e.(quarantine.PermitAnswered).Decision == quarantine.Permitted {
				permitted[number] = f.now
			}
		}
		n.handle(quarantine.PermitRequested{Number: number, Fingerprint: poison, Outline: poisonOutline, Wait: wait, Term: time.Minute})
	}
	want(f.nodes[1], 1, time.Second)
	f.run(time.Second)
	is.True(permitted[1] != 0)
	f.authority, f.since = 3, f.now
	f.down[f.nodes[0].id.Address] = true
	want(f.nodes[2], 2, 5*time.Minute)
	f.run(2 * time.Minute)
	is.True(permitted[2] == 0 || permitted[2] >= permitted[1]+59*time.Second) // not while the first run may go on
	is.True(permitted[2] != 0)
}

// An instance that joins must learn the strikes from its peers before it is ready.
func TestStartedInstanceLearnsStrikes(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 6, 0)
	for range 2 {
		f.request(f.nodes[0], poison, poisonOutline, always, func(bool) {})
		f.run(time.Second)
	}
	late := f.node(4)
	f.nodes = append(f.nodes, late)
	late.handle(quarantine.Started{})
	is.True(!late.ready) // not before it knows the strikes
	f.run(time.Second)
	is.True(late.ready)
	got, _ := late.snapshot.Lookup(f.now, poison)
	is.Equal(got, quarantine.Quarantined)
}

// A target that dies for many requests must not quarantine them all, and the table
// of strikes must not grow without bound.
func TestStrikesAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 7, 0)
	n := f.nodes[0]
	struck := 0
	for i := range 100 {
		o := quarantine.OutlineOf("dealer", "reserve", "GET", fmt.Sprint(i))
		fp := quarantine.FingerprintOf(o, [32]byte{})
		n.handle(quarantine.Crashed{Number: uint64(i), Fingerprint: fp, Outline: o, Target: "10.1.0.1:80"})
		if got, _ := n.snapshot.Lookup(f.now, fp); got == quarantine.Suspect {
			struck++
		}
	}
	is.Equal(struck, 16) // a target that dies with every request is itself the likely cause
	for i := range 5000 {
		o := quarantine.OutlineOf("dealer", "reserve", "PUT", fmt.Sprint(i))
		n.handle(quarantine.Received{
			From:    instance.ID{Address: "10.0.0.9:7000"},
			Message: quarantine.Strike{Fingerprint: quarantine.FingerprintOf(o, [32]byte{}), Outline: o, Number: uint64(i), Remaining: time.Minute},
		})
	}
	known := 0
	for i := range 5000 {
		if n.snapshot.HasOutline(quarantine.OutlineOf("dealer", "reserve", "PUT", fmt.Sprint(i))) {
			known++
		}
	}
	is.True(known <= 1024) // the table is bounded
	is.True(known > 900)
}

func BenchmarkCheck(b *testing.B) {
	f := newFleet(1, 8, 0)
	f.nodes[0].handle(quarantine.Crashed{Fingerprint: poison, Outline: poisonOutline, Target: "x"})
	s := f.nodes[0].snapshot
	b.ReportAllocs()
	for b.Loop() {
		if s.HasOutline(poisonOutline) {
			s.Lookup(f.now, poison)
		}
	}
}

func BenchmarkOutlineOf(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		quarantine.OutlineOf("dealer", "reserve", "GET", "/sets/1")
	}
}
