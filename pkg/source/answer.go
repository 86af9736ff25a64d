package source

import "time"

const (
	// MaxAge is the age of the last confirming read above which an instance isn't followed.
	// It is longer than the period of these reads and two slow answers of the store.
	MaxAge = 1400 * time.Millisecond
	// maxHold is how long a follower waits for a change or a new confirmation before it is
	// answered without one.
	maxHold = 800 * time.Millisecond
	// maxCopies is how many followers that have nothing an instance sends all its content to
	// at a time. Those that have it send it on, so that the whole of a zone that starts
	// doesn't wait for one link.
	maxCopies = 3
	// TakeoverTime is how long a follower waits for the first confirmation of an instance
	// that is to read the store next. It is longer than a slow answer of the store.
	TakeoverTime = 250 * time.Millisecond
)

// Content is what an instance has when a follower asks it.
type Content struct {
	// ConfirmedAt is when the content was last confirmed. It counts if Confirmed is set.
	ConfirmedAt time.Duration
	Confirmed   bool
	// News is set if the follower lacks a change or the last confirmation.
	News bool
	// Reading is set while the instance reads the store for its zone.
	Reading bool
	// Leaving is set once the instance is stopping.
	Leaving bool
	// Full is set if the follower has nothing, and Copies is the number of others to which
	// all content is being sent.
	Full   bool
	Copies int
}

// fresh reports whether the content was confirmed lately.
func (c Content) fresh(now time.Duration) bool {
	return c.Confirmed && now-c.ConfirmedAt <= MaxAge
}

// Reply is what an instance does with a follower's request: Give, Hold, Defer or Decline.
type Reply interface{ reply() }

// Give answers it with the content.
type Give struct{}

// Hold lets it wait until a time, or until the content changes or is confirmed, and decide
// again.
type Hold struct {
	Until time.Duration
}

// Defer tells the follower that the instance is Busy.
type Defer struct{}

// Decline tells the follower to find another instance.
type Decline struct{}

func (Give) reply()    {}
func (Hold) reply()    {}
func (Defer) reply()   {}
func (Decline) reply() {}

// Answer decides about a request of a follower that arrived at a time. A follower is held no
// longer than the content may be followed: it must find another source soon enough to know of
// a change in time. An instance that is about to read the store has it wait, but not one that
// reads and gets no answers.
func (c *Chooser) Answer(now, arrivedAt time.Duration, content Content) Reply {
	if content.fresh(now) {
		switch {
		case content.Full && content.Copies >= maxCopies:
			return Defer{}
		case content.News || now >= arrivedAt+maxHold:
			return Give{}
		}
		return Hold{
			Until: min(arrivedAt+maxHold, content.ConfirmedAt+MaxAge+time.Millisecond),
		}
	}
	first := c.First(now)
	takesOver := first == "" || first == c.self.Address
	if takesOver && !content.Reading && !content.Leaving && now < arrivedAt+TakeoverTime {
		return Hold{
			Until: arrivedAt + TakeoverTime,
		}
	}
	return Decline{}
}
