package source_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/fake"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/source"
)

// Times and sizes of a simulated fleet. They are those of package gateway.
const (
	storeTime         = 5 * time.Millisecond
	messageTime       = 500 * time.Microsecond
	dialTimeout       = 300 * time.Millisecond
	callTimeout       = 1500 * time.Millisecond
	confirmPeriod     = 600 * time.Millisecond
	copyTimeout       = 1200 * time.Millisecond
	firstCopyTimeout  = 4 * time.Second
	maxUsualAge       = 1100 * time.Millisecond
	settleTime        = 200 * time.Millisecond
	renewPeriod       = 2500 * time.Millisecond
	memberTerm        = 9 * time.Second
	renewPrice        = 0.1
	stalePrice        = 0.1
	pageEntries       = 500
	targetsInStore    = 494
	startPeriod       = 50 * time.Millisecond
	minBackoff        = 200 * time.Millisecond
	maxBackoff        = 1600 * time.Millisecond
	substituteBackoff = 400 * time.Millisecond
	trustedTerm       = 4600 * time.Millisecond
	batchDelay        = 150 * time.Millisecond
	processingDelay   = 2 * time.Millisecond
)

// registration is a member's key in the store.
type registration struct {
	member    source.Member
	counter   int64
	expiresAt time.Duration
}

// simulatedFleet plays instances that read a store or follow each other.
type simulatedFleet struct {
	*fake.Timeline
	instances     []*simulatedInstance
	counter       int64
	registrations map[instance.Address]*registration
	// down is set while the store answers nobody.
	down  bool
	calls float64
	// copyTime is how long an instance's link takes to send all content once.
	copyTime time.Duration
}

// simulatedInstance is one process.
type simulatedInstance struct {
	fleet    *simulatedFleet
	info     source.Member
	run      int
	alive    bool
	rejected bool
	isolated bool
	// frozen is set while the process stands still: others can connect to it, but it doesn't
	// answer.
	frozen bool
	// cutOff is set while nothing comes from the store.
	cutOff     bool
	slow       time.Duration
	chooser    *source.Chooser
	registered bool
	mirror     int64
	// confirmedAt is when the mirror was last confirmed; negative if never.
	confirmedAt time.Duration
	// known is the confirmation that the instance knownOf has given last, by its clock.
	known    time.Duration
	knownOf  instance.Address
	backoff  time.Duration
	reading  bool
	watching bool
	waiting  []func()
	calls    float64
	// sendsUntil is when the link has sent the copies so far, and copies is their number.
	sendsUntil time.Duration
	copies     int
	// asked counts the requests for all content.
	asked int
	// oldest is the greatest age of the confirmation at any time after the first.
	oldest time.Duration
	// lag is the longest time until a change was known.
	lag time.Duration
}

func newFleet(zones, perZone int, seed uint64) *simulatedFleet {
	f := &simulatedFleet{
		Timeline:      fake.NewTimeline(seed),
		counter:       targetsInStore,
		registrations: map[instance.Address]*registration{},
	}
	f.Run(time.Minute)
	for i := range zones * perZone {
		x := &simulatedInstance{
			fleet: f,
			info: source.Member{
				Info: instance.Info{
					ID: instance.ID{
						Address: instance.Address(fmt.Sprintf("10.%d.0.%d:7000", i%zones, i/zones)),
					},
					Zone: fmt.Sprint(i % zones),
				},
				Capacity: 0.16,
			},
		}
		if i/zones < 3 {
			x.info.Capacity = 0.8
		}
		f.instances = append(f.instances, x)
	}
	return f
}

// startAll starts all instances that aren't running, within startPeriod.
func (f *simulatedFleet) startAll() {
	for _, x := range f.instances {
		if !x.alive {
			f.After(time.Duration(f.Random.Float64()*float64(startPeriod)), x.start)
		}
	}
}

// change lets the operator change the store.
func (f *simulatedFleet) change() {
	f.counter++
	counter, at := f.counter, f.Now()
	for _, x := range f.instances {
		if x.watching && !x.cutOff {
			f.After(storeTime/2, func() { x.learn(counter) })
		}
		x.expect(counter, at)
	}
}

// expect measures how long it takes until the instance knows of a change.
func (x *simulatedInstance) expect(counter int64, at time.Duration) {
	if !x.alive || x.confirmedAt < 0 {
		return
	}
	run := x.run
	var check func()
	check = func() {
		switch {
		case x.run != run:
		case x.mirror >= counter:
			x.lag = max(x.lag, x.fleet.Now()-at)
		default:
			x.fleet.After(10*time.Millisecond, check)
		}
	}
	check()
}

// list returns the members of the zone up to a counter.
func (x *simulatedInstance) members(counter int64) []source.Member {
	var list []source.Member
	for _, r := range x.fleet.registrations {
		if r.counter <= counter && x.fleet.Now() < r.expiresAt && r.member.Zone == x.info.Zone {
			list = append(list, r.member)
		}
	}
	return list
}

// call makes a call to the store.
func (x *simulatedInstance) call(price float64, done func(ok bool)) {
	f := x.fleet
	run := x.run
	if x.frozen {
		return
	}
	x.calls += price
	f.calls += price
	ok := !f.down && !x.rejected && !x.cutOff
	duration := storeTime
	if x.cutOff {
		duration = callTimeout
	}
	f.After(duration, func() {
		if x.run != run {
			return
		}
		if ok {
			x.backoff = 0
		} else {
			most := maxBackoff
			if x.chooser.IsSubstitute() {
				most = substituteBackoff
			}
			x.backoff = min(max(2*x.backoff, minBackoff), most)
		}
		done(ok)
	})
}

// soon runs something in this run of the process, after d.
func (x *simulatedInstance) soon(d time.Duration, do func()) {
	run := x.run
	x.fleet.After(d, func() {
		if x.run == run {
			do()
		}
	})
}

// later runs something in this run of the process, after the backoff and d.
func (x *simulatedInstance) later(d time.Duration, do func()) {
	run := x.run
	pause := time.Duration(0)
	if x.backoff > 0 {
		pause = x.backoff/2 + time.Duration(x.fleet.Random.Float64()*float64(x.backoff))
	}
	x.fleet.After(d+pause, func() {
		if x.run == run {
			do()
		}
	})
}

func (x *simulatedInstance) start() {
	x.run++
	x.alive = true
	x.chooser = source.New(x.info.Info)
	x.registered, x.mirror, x.confirmedAt, x.reading, x.watching, x.backoff = false, 0, -1, false, false, 0
	x.copies, x.sendsUntil, x.asked = 0, 0, 0
	x.waiting = nil
	x.register()
	x.discover(true)
	x.measure()
}

func (x *simulatedInstance) kill() {
	x.run++
	x.alive = false
}

func (x *simulatedInstance) measure() {
	if x.confirmedAt >= 0 {
		x.oldest = max(x.oldest, x.fleet.Now()-x.confirmedAt)
	}
	run := x.run
	x.fleet.After(10*time.Millisecond, func() {
		if x.run == run {
			x.measure()
		}
	})
}

func (x *simulatedInstance) register() {
	x.call(1, func(ok bool) {
		if !ok {
			x.later(0, x.register)
			return
		}
		x.call(1, func(ok bool) {
			if !ok {
				x.later(0, x.register)
				return
			}
			f := x.fleet
			f.counter++
			r := &registration{
				member:    x.info,
				counter:   f.counter,
				expiresAt: f.Now() + memberTerm,
			}
			f.registrations[x.info.Address] = r
			x.registered = true
			for _, y := range f.instances {
				if y.watching && !y.cutOff {
					counter := f.counter
					f.After(storeTime/2, func() { y.learn(counter) })
				}
			}
			x.later(renewPeriod, func() { x.renew(r) })
		})
	})
}

func (x *simulatedInstance) renew(r *registration) {
	if x.fleet.Now() >= r.expiresAt {
		x.register()
		return
	}
	x.call(renewPrice, func(ok bool) {
		if ok {
			r.expiresAt = x.fleet.Now() + memberTerm
		}
		x.later(renewPeriod, func() { x.renew(r) })
	})
}

// discover lists the members once. If nobody else is there, it does so again once the
// others have registered.
func (x *simulatedInstance) discover(first bool) {
	x.call(stalePrice, func(ok bool) {
		list := x.members(x.fleet.counter)
		others := 0
		for _, m := range list {
			if m.Address != x.info.Address {
				others++
			}
		}
		switch {
		case !ok:
			x.later(0, func() { x.discover(first) })
		case first && others == 0:
			x.awaitRegistration()
		default:
			x.chooser.SetMembers(list)
			x.next()
		}
	})
}

func (x *simulatedInstance) awaitRegistration() {
	if !x.registered {
		x.later(10*time.Millisecond, x.awaitRegistration)
		return
	}
	x.later(settleTime, func() { x.discover(false) })
}

// learn takes in the content of the store up to a counter.
func (x *simulatedInstance) learn(counter int64) {
	if !x.alive || counter <= x.mirror {
		return
	}
	x.mirror = counter
	x.chooser.SetMembers(x.members(counter))
	x.wake()
}

func (x *simulatedInstance) confirm(at time.Duration) {
	if at > x.confirmedAt {
		x.confirmedAt = at
		x.wake()
	}
}

func (x *simulatedInstance) wake() {
	list := x.waiting
	x.waiting = nil
	for _, do := range list {
		do()
	}
}

func (x *simulatedInstance) fresh() bool {
	return x.alive && x.confirmedAt >= 0 && x.fleet.Now()-x.confirmedAt <= source.MaxAge
}

// pages is the number of calls of a complete list.
func (x *simulatedInstance) pages() float64 {
	return float64((targetsInStore + len(x.fleet.registrations) + pageEntries) / pageEntries)
}

// next does what the chooser says.
func (x *simulatedInstance) next() {
	x.chooser.Expire(x.fleet.Now())
	switch a := x.chooser.Next(x.fleet.Now(), x.confirmation()).(type) {
	case source.Read:
		x.read()
	case source.Follow:
		x.follow(a)
	case source.CatchUp:
		x.catchUp()
	case source.Wait:
		x.soon(a.For, x.next)
	}
}

// readOnce reads the store: a list if the mirror is empty, and else a confirming read.
func (x *simulatedInstance) readOnce(done func(ok bool)) {
	sentAt := x.fleet.Now()
	price := 1.0
	if x.mirror == 0 {
		price = x.pages()
	}
	x.call(price, func(ok bool) {
		if ok {
			if x.mirror < x.fleet.counter && price == 1 {
				x.calls += x.pages()
				x.fleet.calls += x.pages()
			}
			x.learn(x.fleet.counter)
			x.confirm(sentAt)
		}
		done(ok)
	})
}

func (x *simulatedInstance) read() {
	x.readOnce(func(ok bool) {
		if !ok {
			if !x.fresh() {
				x.chooser.ReadFailed(x.fleet.Now())
			}
			x.later(processingDelay, x.next) // as package gateway, which waits before it reads again
			return
		}
		x.calls++ // the watch
		x.fleet.calls++
		x.watching = true
		x.goOnReading()
	})
}

func (x *simulatedInstance) goOnReading() {
	x.later(confirmPeriod, func() {
		x.chooser.Expire(x.fleet.Now())
		if _, ok := x.chooser.Next(x.fleet.Now(), x.confirmation()).(source.Read); !ok {
			x.watching = false
			x.next()
			return
		}
		x.readOnce(func(ok bool) {
			if !ok && !x.fresh() {
				x.watching = false
				x.chooser.ReadFailed(x.fleet.Now())
				x.next()
				return
			}
			x.goOnReading()
		})
	})
}

func (x *simulatedInstance) catchUp() {
	x.readOnce(func(ok bool) {
		x.chooser.CaughtUp(x.fleet.Now(), ok)
		x.soon(processingDelay, x.next)
	})
}

// answer is what a follower gets.
type answer struct {
	ok          bool
	busy        bool
	counter     int64
	age         time.Duration
	confirmedAt time.Duration
	held        time.Duration
}

// confirmation returns the last confirmation of the instance's content.
func (x *simulatedInstance) confirmation() source.Confirmation {
	return source.Confirmation{
		At:    x.confirmedAt,
		Known: x.confirmedAt >= 0,
	}
}

func (x *simulatedInstance) follow(next source.Follow) {
	f := x.fleet
	a := next.Instance
	y := f.instance(a)
	run, sentAt := x.run, f.Now()
	failed := func(why source.Failure) {
		if x.run != run {
			return
		}
		x.chooser.Failed(f.Now(), a, why)
		x.next()
	}
	patience := copyTimeout
	if next.Until > 0 {
		patience = min(patience, next.Until-f.Now())
	}
	if x.isolated || y.isolated {
		f.After(min(dialTimeout, patience), func() { failed(source.Unanswered) })
		return
	}
	if !y.alive {
		f.After(messageTime, func() { failed(source.Gone) })
		return
	}
	ended := false
	timeout := patience
	if x.mirror == 0 {
		timeout = firstCopyTimeout
	}
	f.After(timeout, func() {
		if !ended {
			ended = true
			failed(source.Unanswered)
		}
	})
	f.After(messageTime+y.slow, func() {
		known := time.Duration(-1)
		if x.knownOf == a {
			known = x.known
		}
		y.serve(x.mirror, known, f.Now(), func(r answer) {
			f.After(messageTime, func() {
				if ended || x.run != run {
					return
				}
				ended = true
				switch {
				case r.busy:
					failed(source.Busy)
					return
				case !r.ok:
					failed(source.Outdated)
					return
				}
				x.learn(r.counter)
				x.confirm(sentAt + r.held - r.age)
				x.known, x.knownOf = r.confirmedAt, a
				x.chooser.Copied()
				x.soon(processingDelay, x.next)
			})
		})
	})
}

// serve answers a follower as package gateway does.
func (x *simulatedInstance) serve(after int64, known, arrivedAt time.Duration, reply func(answer)) {
	f := x.fleet
	run := x.run
	if after == 0 {
		x.asked++
	}
	var look func()
	var timer time.Duration
	ended := false
	look = func() {
		if ended || !x.alive || x.frozen || x.run != run {
			return
		}
		switch decision := x.chooser.Answer(f.Now(), arrivedAt, source.Content{
			ConfirmedAt: x.confirmedAt,
			Confirmed:   x.confirmedAt >= 0,
			News:        x.mirror > after || x.confirmedAt > known,
			Reading:     x.watching,
			Full:        after == 0,
			Copies:      x.copies,
		}).(type) {
		case source.Give:
			ended = true
			r := answer{
				ok:          true,
				counter:     x.mirror,
				age:         f.Now() - x.confirmedAt,
				confirmedAt: x.confirmedAt,
				held:        f.Now() - arrivedAt,
			}
			if after == 0 {
				x.sendsUntil = max(x.sendsUntil, f.Now()) + f.copyTime
				x.copies++
				f.After(x.sendsUntil-f.Now(), func() {
					x.copies--
					reply(r)
				})
				return
			}
			reply(r)
		case source.Hold:
			x.waiting = append(x.waiting, look)
			if decision.Until != timer {
				timer = decision.Until
				f.After(timer-f.Now(), look)
			}
		case source.Defer:
			ended = true
			reply(answer{
				busy: true,
			})
		case source.Decline:
			ended = true
			reply(answer{})
		}
	}
	look()
}

// members returns all instances.
func (f *simulatedFleet) members() []source.Member {
	var list []source.Member
	for _, x := range f.instances {
		list = append(list, x.info)
	}
	return list
}

// instance returns the instance with an address.
func (f *simulatedFleet) instance(a instance.Address) *simulatedInstance {
	for _, x := range f.instances {
		if x.info.Address == a {
			return x
		}
	}
	return nil
}

// known returns the number of instances that are alive and fresh, and of those alive.
func (f *simulatedFleet) known() (fresh, alive int) {
	for _, x := range f.instances {
		if x.alive {
			alive++
			if x.fresh() {
				fresh++
			}
		}
	}
	return fresh, alive
}

// resetMeasures starts to measure anew.
func (f *simulatedFleet) resetMeasures() {
	f.calls = 0
	for _, x := range f.instances {
		x.calls, x.oldest, x.lag = 0, 0, 0
	}
}

// worst returns the greatest age and lag of those that are neither rejected nor isolated.
func (f *simulatedFleet) worst() (age, lag time.Duration) {
	for _, x := range f.instances {
		if x.alive && !x.rejected && !x.isolated && !x.cutOff && !x.frozen {
			age, lag = max(age, x.oldest), max(lag, x.lag)
		}
	}
	return age, lag
}

// The fleets of these tests have 290 instances in five zones.
const (
	testZones   = 5
	testPerZone = 58
	// callsOfInstance is what an instance may cost a minute: its registration, the list of
	// members and the renewals. callsOfZone is what reading the store for a zone may cost.
	callsOfInstance = 5
	callsOfZone     = 130
	// maxChangeTime is when a change must be known to instances that reach the store.
	maxChangeTime = 2 * time.Second
)

// newRunningFleet returns a fleet that has been running for ten seconds.
func newRunningFleet(seed uint64) *simulatedFleet {
	f := newFleet(testZones, testPerZone, seed)
	f.startAll()
	f.Run(10 * time.Second)
	f.resetMeasures()
	return f
}

// seeds are those of each test.
const seeds = 2

// Load: all instances of a large fleet start at once, for the first time or after all were
// killed, and a link takes 0.15 s to send all content once. Guards against instances that wait
// for a reader that sends it to each of them.
func TestAllInstancesStartOverSlowLinks(t *testing.T) {
	const (
		copyTime = 150 * time.Millisecond
		// maxStartTime is when all must know the content.
		maxStartTime = 4 * time.Second
		perZone      = 90
		// maxAsked is how often an instance may be asked for all content.
		maxAsked = 30
	)
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("killed %v", killed), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				is := is.New(t)
				f := newFleet(testZones, perZone, seed)
				if killed {
					f.startAll()
					f.Run(10 * time.Second)
					for _, x := range f.instances {
						x.kill()
					}
				}
				f.copyTime = copyTime
				f.resetMeasures()
				f.startAll()
				f.Run(maxStartTime)
				fresh, alive := f.known()
				is.Equal(fresh, alive)
				is.True(f.calls <= callsOfInstance*float64(len(f.instances))+callsOfZone*testZones)
				asked := 0
				for _, x := range f.instances {
					asked += x.asked
				}
				t.Logf("%d requests for all content", asked)
				is.True(asked <= maxAsked*len(f.instances))
			}
		})
	}
}

// Guards against instances that each list and watch the store when all start at once, and
// against a day whose calls grow with more than registrations.
func TestCallsOfAFleetThatStarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds) {
		is := is.New(t)
		f := newFleet(testZones, testPerZone, seed)
		f.startAll()
		f.Run(time.Second)
		fresh, alive := f.known()
		is.Equal(fresh, alive)
		for range 30 {
			f.change()
			f.Run(2 * time.Second)
		}
		age, lag := f.worst()
		t.Logf("calls in a minute: %.0f, oldest confirmation %v, latest change %v", f.calls, age, lag)
		is.True(f.calls <= callsOfInstance*testZones*testPerZone+callsOfZone*testZones)
		is.True(age < maxUsualAge)
		is.True(lag < maxChangeTime)
	}
}

// Guards against a zone that misses a change, or whose instances all turn to the store, when
// its reader dies, and with it the next two in order.
func TestReadersAreReplaced(t *testing.T) {
	t.Parallel()
	for _, number := range []int{1, 3} {
		for seed := range uint64(seeds) {
			is := is.New(t)
			f := newRunningFleet(seed)
			killed := 0
			for _, x := range f.instances {
				if x.info.Zone == "0" && x.info.Capacity > 0.5 && (number == 3 || x.watching) {
					x.kill()
					killed++
				}
			}
			is.Equal(killed, number)
			f.Run(300 * time.Millisecond)
			f.change()
			f.Run(5 * time.Second)
			age, lag := f.worst()
			t.Logf("%d killed: calls %.0f, oldest confirmation %v, latest change %v", number, f.calls, age, lag)
			is.True(age < maxUsualAge+takeoverSlack)
			is.True(lag < maxChangeTime)
			is.True(f.calls < 10*callsOfInstance*testZones*testPerZone/60+10*callsOfZone*testZones/60)
		}
	}
}

// Guards against instances that know of a change too late because their reader, or also the
// next two in order, get nothing from the store any more, without a word.
func TestChangeIsKnownWhileReadersAreCutOff(t *testing.T) {
	t.Parallel()
	for _, cutOff := range []int{1, 3} {
		t.Run(fmt.Sprint(cutOff), func(t *testing.T) {
			// The cut comes at any time after a confirming read, and after a change, for
			// which followers were answered out of turn.
			const step = 75 * time.Millisecond
			for afterRead := time.Duration(0); afterRead < confirmPeriod; afterRead += step {
				for afterChange := time.Duration(0); afterChange < confirmPeriod; afterChange += step {
					playCutOffReaders(t, cutOff, afterRead, afterChange)
				}
			}
		})
	}
}

// Guards against instances that know of a change too late because several that come before them
// in order stand still, so that each costs the wait for its answer, and against a zone whose
// instances all turn to the store then.
func TestChangeIsKnownWhileReadersStandStill(t *testing.T) {
	const (
		instances = 20
		step      = 75 * time.Millisecond
		span      = 3 * time.Second
	)
	for _, frozen := range []int{1, 2, 3, 6} {
		t.Run(fmt.Sprint(frozen), func(t *testing.T) {
			t.Parallel()
			for afterRead := time.Duration(0); afterRead < confirmPeriod; afterRead += step {
				f := newFleet(1, instances, uint64(afterRead))
				f.startAll()
				f.Run(5*time.Second + afterRead)
				f.resetMeasures()
				for _, m := range source.Order("0", f.members())[:frozen] {
					f.instance(m.Address).frozen = true
				}
				f.change()
				f.Run(span)
				if _, lag := f.worst(); lag >= maxChangeTime {
					t.Errorf("%d stand still %v after a read: change known after %v", frozen, afterRead, lag)
				}
				callsOfEach := 1.0
				if frozen > 3 {
					callsOfEach = 3 // one confirming read and one list of two pages
				}
				if most := callsOfEach*instances + callsOfZone*span.Minutes(); f.calls > most {
					t.Errorf("%d stand still: %.0f calls, more than %.0f", frozen, f.calls, most)
				}
			}
		})
	}
}

// Guards against a change that is known too late because the instances that come first in order have
// stood still for some time already, so that their followers are in the midst of giving them up.
func TestChangeIsKnownThoughReadersStoodStillBefore(t *testing.T) {
	const (
		instances = 30
		step      = 150 * time.Millisecond
	)
	for _, frozen := range []int{2, 3, 5} {
		for _, before := range []time.Duration{
			300 * time.Millisecond,
			900 * time.Millisecond,
			1300 * time.Millisecond,
			2200 * time.Millisecond,
		} {
			t.Run(fmt.Sprint(frozen, " ", before), func(t *testing.T) {
				t.Parallel()
				for afterRead := time.Duration(0); afterRead < confirmPeriod; afterRead += step {
					f := newFleet(1, instances, uint64(afterRead))
					f.startAll()
					f.Run(5*time.Second + afterRead)
					for _, m := range source.Order("0", f.members())[:frozen] {
						f.instance(m.Address).frozen = true
					}
					f.Run(before)
					f.resetMeasures()
					f.change()
					f.Run(3 * time.Second)
					if _, lag := f.worst(); lag >= maxChangeTime {
						t.Errorf("%d stand still %v after a read: change known after %v", frozen, afterRead, lag)
					}
				}
			})
		}
	}
}

// Guards against a change that calm instances know too late for any mix of failures among those
// that come before them in order.
func TestChangeIsKnownWhateverFailsBefore(t *testing.T) {
	const (
		instances = 15
		plays     = 150
	)
	for seed := range uint64(plays) {
		f := newFleet(1, instances, seed)
		f.startAll()
		f.Run(5*time.Second + time.Duration(f.Random.Float64()*float64(confirmPeriod)))
		f.resetMeasures()
		failed := ""
		for _, m := range source.Order("0", f.members())[:1+f.Random.IntN(instances/2)] {
			x := f.instance(m.Address)
			f.Run(time.Duration(f.Random.Float64() * float64(100*time.Millisecond)))
			switch f.Random.IntN(6) {
			case 0:
				x.frozen = true
				failed += " frozen"
			case 1:
				x.cutOff = true
				failed += " cut-off"
			case 2:
				x.isolated = true
				failed += " isolated"
			case 3:
				x.rejected = true
				failed += " rejected"
			case 4:
				x.kill()
				failed += " killed"
			default:
				failed += " calm"
			}
		}
		f.change()
		f.Run(3 * time.Second)
		if _, lag := f.worst(); lag >= maxChangeTime {
			t.Errorf("seed %d,%s: change known after %v", seed, failed, lag)
		}
	}
}

// playCutOffReaders cuts the first instances in order off from the store, a time after a
// confirming read and after a change.
func playCutOffReaders(t *testing.T, cutOff int, afterRead, afterChange time.Duration) {
	t.Helper()
	const (
		instances = 20
		seconds   = 7
	)
	f := newFleet(1, instances, uint64(afterRead))
	f.startAll()
	f.Run(5*time.Second + afterRead)
	f.change()
	f.Run(afterChange)
	f.resetMeasures()
	for _, m := range source.Order("0", f.members())[:cutOff] {
		f.instance(m.Address).cutOff = true
	}
	f.change()
	f.Run(3 * time.Second)
	f.change()
	f.Run((seconds - 3) * time.Second)
	if _, lag := f.worst(); lag >= maxChangeTime {
		t.Errorf("cut %v after a read and %v after a change: next change known after %v", afterRead, afterChange, lag)
	}
	if most := float64(seconds * (callsOfInstance*instances/60 + callsOfZone)); f.calls > most {
		t.Errorf("%.0f calls, more than %.0f", f.calls, most)
	}
}

// takeoverSlack is how much older than usual a confirmation may be while a zone changes its
// reader.
const takeoverSlack = time.Second

// Guards against instances that the store answers and that don't know a change, because it
// rejects a third of the instances, among them readers.
func TestThirdOfTheInstancesIsRejected(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2 * seeds) {
		is := is.New(t)
		f := newRunningFleet(seed)
		for _, x := range f.instances {
			x.rejected = f.Random.IntN(3) == 0
		}
		for range 4 {
			f.change()
			f.Run(2250 * time.Millisecond)
		}
		age, lag := f.worst()
		t.Logf("calls in 9 s %.0f, oldest confirmation %v, latest change %v", f.calls, age, lag)
		is.True(age < trustedTerm)
		is.True(lag < trustedTerm)
		fresh, alive := f.known()
		is.Equal(fresh, alive) // also those that the store rejects
	}
}

// Guards against a fleet that finds out late that the store is back, and against calls of
// all instances while it is away.
func TestStoreIsAway(t *testing.T) {
	t.Parallel()
	const (
		outage   = 4500 * time.Millisecond
		recovery = 1500 * time.Millisecond
	)
	for seed := range uint64(seeds) {
		is := is.New(t)
		f := newRunningFleet(seed)
		f.down = true
		f.Run(outage)
		calls := f.calls
		f.down = false
		f.change()
		f.Run(recovery)
		fresh, alive := f.known()
		t.Logf("calls while away %.0f, oldest confirmation then: %d of %d fresh", calls, fresh, alive)
		is.Equal(fresh, alive)
		is.True(calls < 3*float64(alive)) // each about once, the first three of each zone more often
	}
}

// Guards against instances that serve late after they were killed and started again, all or
// some of them, and against lists of the whole store by each of them.
func TestRestartedInstances(t *testing.T) {
	t.Parallel()
	for _, part := range []int{1, 11, 20} { // of twenty
		for seed := range uint64(seeds) {
			is := is.New(t)
			f := newRunningFleet(seed)
			killed := 0
			for i, x := range f.instances {
				if (i*7)%20 < part {
					x.kill()
					killed++
				}
			}
			f.Run(2 * time.Second)
			f.resetMeasures()
			f.startAll()
			f.Run(time.Second)
			fresh, alive := f.known()
			t.Logf("%d started again: calls %.0f, fresh %d of %d after 1 s", killed, f.calls, fresh, alive)
			is.Equal(fresh, alive)
			is.True(f.calls < 3*float64(killed)+100)
		}
	}
}

// Guards against an instance without links to the others of its zone that doesn't turn to
// the store.
func TestIsolatedInstanceReadsTheStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRunningFleet(1)
	x := f.instances[testZones*testPerZone-1]
	x.isolated = true
	f.Run(5 * time.Second)
	is.True(x.fresh())
	is.True(x.oldest < trustedTerm)
}

// Guards against readers that are small while there are large ones.
func TestLargeInstancesRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRunningFleet(1)
	readers := 0
	for _, x := range f.instances {
		if x.watching {
			readers++
			is.Equal(x.info.Capacity, 0.8)
		}
	}
	is.Equal(readers, testZones)
}

// Guards against an instance that knows nobody and waits for others.
func TestInstanceThatIsAloneReads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	self := instance.Info{
		ID: instance.ID{
			Address: "10.0.0.1:7000",
		},
		Zone: "a",
	}
	c := source.New(self)
	c.SetMembers([]source.Member{{Info: self}})
	is.Equal(c.Next(time.Minute, source.Confirmation{}), source.Read{})
}
