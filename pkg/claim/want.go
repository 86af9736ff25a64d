package claim

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// want is a request that waits for a verdict.
type want struct {
	Acquire
	until time.Duration
	// due is when to try again, or give up.
	due     time.Duration
	attempt int
	// number is that of the attempt whose verdict counts, zero if none does.
	number uint64
	// asked are all instances that may hold a claim for it.
	asked  []instance.Address
	reason Reason
}

func (c *Claims) want(now time.Duration, e Acquire) {
	until := now + c.wait
	if e.Deadline != 0 {
		until = min(until, e.Deadline)
	}
	w := &want{
		Acquire: e,
		until:   until,
	}
	c.wants[e.Request] = w
	c.try(now, w)
}

// try asks the next in rank. The verdict of an earlier attempt counts no more.
func (c *Claims) try(now time.Duration, w *want) {
	if now >= w.until || c.leaving != nil {
		c.giveUp(w, w.reason)
		return
	}
	w.due = min(now+retryInterval, w.until)
	w.number = 0
	var ranked []instance.Info
	for _, m := range instance.Rank(instance.Hash("shard", uint64(w.Key.Shard())), c.members.list) {
		if !m.Leaving && len(ranked) < candidates {
			ranked = append(ranked, m)
		}
	}
	if len(ranked) == 0 {
		return
	}
	to := ranked[w.attempt%len(ranked)].Address
	w.attempt++
	w.number = c.next()
	w.due = min(now+c.answerWait, w.until)
	if !slices.Contains(w.asked, to) {
		w.asked = append(w.asked, to)
	}
	c.send(to, Claim{
		Number:  w.number,
		Request: w.Request,
		Key:     w.Key,
	})
}

func (c *Claims) tickWants(now time.Duration) {
	var due []uint64
	for request, w := range c.wants {
		if now >= w.due {
			due = append(due, request)
		}
	}
	slices.Sort(due)
	for _, request := range due {
		c.try(now, c.wants[request])
	}
}

func (c *Claims) cancel(request uint64) {
	if w := c.wants[request]; w != nil {
		c.release(w)
	}
}

// release withdraws a request that will never run.
func (c *Claims) release(w *want) {
	delete(c.wants, w.Request)
	for _, to := range w.asked {
		c.send(to, Release{
			Key:     w.Key,
			Request: w.Request,
		})
	}
}

func (c *Claims) giveUp(w *want, reason Reason) {
	c.release(w)
	c.effects = append(c.effects, Refused{
		Request:    w.Request,
		Reason:     reason,
		RetryAfter: time.Second,
	})
}

// judged takes a verdict, if it is that of the newest attempt.
func (c *Claims) judged(now time.Duration, from instance.ID, m Decision) {
	w := c.wants[m.Request]
	if w == nil || w.number != m.Number || w.Key != m.Key {
		c.disown(from, m)
		return
	}
	switch m.Result {
	case Granted:
		c.run(now, w)
	case AlreadyClaimed:
		c.release(w)
		c.effects = append(c.effects, Duplicate{
			Request: m.Request,
			Outcome: m.Outcome,
		})
	case Full:
		c.giveUp(w, TooManyClaims)
	case TooFewReplicas:
		w.reason = TooFewInstances
		c.later(now, w)
	default:
		c.later(now, w)
	}
}

// later tries again: at once while there are others in rank, then at intervals.
func (c *Claims) later(now time.Duration, w *want) {
	if w.attempt < candidates {
		c.try(now, w)
		return
	}
	w.number = 0
	w.due = min(now+retryInterval, w.until)
}

func (c *Claims) run(now time.Duration, w *want) {
	delete(c.wants, w.Request)
	c.running[w.Request] = w.Key
	c.records.keep(now, Record{
		Key:       w.Key,
		Claimant:  c.self.ID,
		Request:   w.Request,
		Remaining: c.retention,
	})
	c.effects = append(c.effects, Run{
		Request: w.Request,
	})
}

// disown gives back a claim that was granted too late for its request.
func (c *Claims) disown(from instance.ID, m Decision) {
	open := c.wants[m.Request] != nil
	if m.Result != Granted || open || c.records.find(m.Key, c.self.ID, m.Request) != nil {
		return
	}
	c.send(from.Address, Release{
		Key:     m.Key,
		Request: m.Request,
	})
}

// done notes how a request ended and tells the authority.
func (c *Claims) done(e Done) {
	key, ok := c.running[e.Request]
	if !ok {
		return
	}
	delete(c.running, e.Request)
	r := c.records.find(key, c.self.ID, e.Request)
	if r == nil {
		return
	}
	to := c.authorities(key)
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

// authorities are those that may decide about a key now.
func (c *Claims) authorities(k Key) []instance.Address {
	var list []instance.Address
	for _, m := range instance.Rank(instance.Hash("shard", uint64(k.Shard())), c.members.list) {
		if len(list) < 2 {
			list = append(list, m.Address)
		}
	}
	return list
}
