package claim

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// pendingRequest is a request that waits for a decision.
type pendingRequest struct {
	Acquire
	// giveUpAt is when the request is refused at the latest.
	giveUpAt time.Duration
	// nextAttempt is when to ask again, or to refuse the request.
	nextAttempt time.Duration
	attempts    int
	// attemptNumber is Claim.Number of the attempt whose decision is awaited;
	// zero if none is.
	attemptNumber uint64
	// asked holds all instances that may have stored a claim for the request.
	asked []instance.Address
	// reason is what the request is refused with when its time is up.
	reason Reason
}

func (c *Claims) acquire(now time.Duration, e Acquire) {
	until := now + c.maxWait
	if e.Deadline != 0 {
		until = min(until, e.Deadline)
	}
	p := &pendingRequest{
		Acquire:  e,
		giveUpAt: until,
	}
	c.pending[e.Request] = p
	c.try(now, p)
}

// try asks the next instance in rank. A decision on an earlier attempt is then
// ignored.
func (c *Claims) try(now time.Duration, p *pendingRequest) {
	if now >= p.giveUpAt || c.leaving != nil {
		c.refuse(p, p.reason)
		return
	}
	p.nextAttempt = min(now+retryInterval, p.giveUpAt)
	p.attemptNumber = 0
	var ranked []instance.Info
	for _, m := range instance.Rank(instance.Hash("shard", uint64(p.Key.Shard())), c.members.list) {
		if !m.Leaving && len(ranked) < maxCandidates {
			ranked = append(ranked, m)
		}
	}
	if len(ranked) == 0 {
		return
	}
	to := ranked[p.attempts%len(ranked)].Address
	p.attempts++
	p.attemptNumber = c.nextNumber()
	p.nextAttempt = min(now+c.answerTimeout, p.giveUpAt)
	if !slices.Contains(p.asked, to) {
		p.asked = append(p.asked, to)
	}
	c.send(to, Claim{
		Number:  p.attemptNumber,
		Request: p.Request,
		Key:     p.Key,
	})
}

// retryDue asks again for the requests whose next attempt is due, in order of
// their numbers.
func (c *Claims) retryDue(now time.Duration) {
	var due []uint64
	for request, p := range c.pending {
		if now >= p.nextAttempt {
			due = append(due, request)
		}
	}
	slices.Sort(due)
	for _, request := range due {
		c.try(now, c.pending[request])
	}
}

func (c *Claims) cancel(request uint64) {
	if p := c.pending[request]; p != nil {
		c.withdraw(p)
	}
}

// withdraw drops a request that will never run and releases its claims.
func (c *Claims) withdraw(p *pendingRequest) {
	delete(c.pending, p.Request)
	for _, to := range p.asked {
		c.send(to, Release{
			Key:     p.Key,
			Request: p.Request,
		})
	}
}

// refuse drops a request and reports the reason to its caller.
func (c *Claims) refuse(p *pendingRequest, reason Reason) {
	c.withdraw(p)
	c.effects = append(c.effects, Refused{
		Request:    p.Request,
		Reason:     reason,
		RetryAfter: time.Second,
	})
}

// handleDecision applies a decision if it answers the latest attempt.
func (c *Claims) handleDecision(now time.Duration, from instance.ID, m Decision) {
	p := c.pending[m.Request]
	if p == nil || p.attemptNumber != m.Number || p.Key != m.Key {
		c.returnLateClaim(from, m)
		return
	}
	switch m.Result {
	case Granted:
		c.start(now, p)
	case AlreadyClaimed:
		c.withdraw(p)
		c.effects = append(c.effects, Duplicate{
			Request: m.Request,
			Outcome: m.Outcome,
		})
	case Full:
		c.refuse(p, TooManyClaims)
	case TooFewReplicas:
		p.reason = TooFewInstances
		c.retryLater(now, p)
	default:
		c.retryLater(now, p)
	}
}

// retryLater asks the next in rank at once while there are candidates that
// weren't asked, and after retryInterval otherwise.
func (c *Claims) retryLater(now time.Duration, p *pendingRequest) {
	if p.attempts < maxCandidates {
		c.try(now, p)
		return
	}
	p.attemptNumber = 0
	p.nextAttempt = min(now+retryInterval, p.giveUpAt)
}

// start lets a request run.
func (c *Claims) start(now time.Duration, p *pendingRequest) {
	delete(c.pending, p.Request)
	c.running[p.Request] = p.Key
	c.records.merge(now, Record{
		Key:       p.Key,
		Claimant:  c.self.ID,
		Request:   p.Request,
		Remaining: c.retention,
	})
	c.effects = append(c.effects, Run{
		Request: p.Request,
	})
}

// returnLateClaim releases a claim that was granted after its request was
// refused or cancelled.
func (c *Claims) returnLateClaim(from instance.ID, m Decision) {
	open := c.pending[m.Request] != nil
	if m.Result != Granted || open || c.records.find(m.Key, c.self.ID, m.Request) != nil {
		return
	}
	c.send(from.Address, Release{
		Key:     m.Key,
		Request: m.Request,
	})
}

// handleDone records how a request ended and tells the likely authorities.
func (c *Claims) handleDone(e Done) {
	key, ok := c.running[e.Request]
	if !ok {
		return
	}
	delete(c.running, e.Request)
	r := c.records.find(key, c.self.ID, e.Request)
	if r == nil {
		return
	}
	to := c.likelyAuthorities(key)
	if e.NotRun {
		c.records.remove(r)
		for _, a := range to {
			c.send(a, Release{
				Key:     key,
				Request: e.Request,
			})
		}
		return
	}
	r.outcome = e.Outcome
	for _, a := range to {
		c.send(a, Finish{
			Key:     key,
			Request: e.Request,
			Outcome: e.Outcome,
		})
	}
}

// likelyAuthorities returns the first two instances in rank, which most likely
// include the key's authority.
func (c *Claims) likelyAuthorities(k Key) []instance.Address {
	var list []instance.Address
	for _, m := range instance.Rank(instance.Hash("shard", uint64(k.Shard())), c.members.list) {
		if len(list) < 2 {
			list = append(list, m.Address)
		}
	}
	return list
}
