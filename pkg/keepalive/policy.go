package keepalive

import "time"

const (
	// maxDropTime is how long after a request was sent on a dropped connection its reset
	// may arrive. It covers a round trip and a retransmission. A connection that dies
	// later had a target that knew it.
	maxDropTime = 250 * time.Millisecond
	// pause is how long no kept connections are used after one was dropped. It is longer
	// than connections usually rest before they are used again.
	pause = 10 * time.Second
)

// Policy is the policy of one instance for its connections to all targets. The zero
// value allows the use of kept connections. It is not safe for concurrent use.
type Policy struct {
	pausedUntil time.Duration
}

// Request holds the properties of an attempt that affect the choice of its connection.
type Request struct {
	Repeatable bool
	// Retry is set if an earlier attempt at the request was sent.
	Retry bool
	// Suspect is set if the request may have crashed a target before.
	Suspect bool
}

// MayReuse reports whether an attempt may be sent on a kept connection.
func (p *Policy) MayReuse(now time.Duration, r Request) bool {
	return r.Repeatable && !r.Retry && !r.Suspect && now >= p.pausedUntil
}

// RecordDeath records that a kept connection died without an answer, the given time
// after the request was sent on it. It reports whether the target may only have dropped
// the connection.
func (p *Policy) RecordDeath(now, elapsed time.Duration) bool {
	if elapsed > maxDropTime {
		return false
	}
	p.pausedUntil = now + pause
	return true
}
