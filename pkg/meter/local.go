package meter

import (
	"time"

	"dandelionmux/pkg/document"
)

// overRateTerm is how long after a keeper's refusal an organisation counts as over
// its rate. It is meant to be one Tolerance.Span.
const overRateTerm = 5 * time.Second

// LocalRates enforces one instance's even share of the rates while it reaches no
// keeper. An organisation gets nothing for overRateTerm after a keeper last refused it,
// and after that for as long as it asks for more than that share, because other
// instances may already grant its rate in full. It is not safe for concurrent use.
type LocalRates struct {
	rates    *Rates
	overRate map[string]*overRate
}

// overRate is the state of an organisation that was over its rate.
type overRate struct {
	// lastOverRate is when the organisation was last over its rate. While it asks for
	// more than the instance's share, Take moves this time forward so that the
	// organisation is refused for at least demandSpan more.
	lastOverRate time.Duration
	demand       *Window
}

// NewLocalRates returns local rates that know of no refusal.
func NewLocalRates() *LocalRates {
	return &LocalRates{
		rates:    NewRates("", Tolerance{}),
		overRate: map[string]*overRate{},
	}
}

// RecordDecision takes in a keeper's decision on a request.
func (l *LocalRates) RecordDecision(now time.Duration, organisation string, granted bool) {
	if granted {
		return
	}
	state := l.overRate[organisation]
	if state == nil {
		state = &overRate{
			demand: NewWindow(demandSpan),
		}
		l.overRate[organisation] = state
	}
	state.lastOverRate = now
}

// Take takes the cost of a request from the instance's share, which is one part in
// as many as there are members.
func (l *LocalRates) Take(now time.Duration, rate document.Rate, cost, members int) Decision {
	part := 1 / float64(max(members, 1))
	if state := l.overRate[rate.Organisation]; state != nil {
		state.demand.Add(now, float64(cost))
		if state.demand.Sum(now) > max(rate.PerSecond*part*demandSpan.Seconds(), 1) {
			state.lastOverRate = max(state.lastOverRate, now-overRateTerm+demandSpan)
		}
		if now < state.lastOverRate+overRateTerm {
			return Decision{
				RetryAfter: max(state.lastOverRate+overRateTerm-now, minRetryAfter),
			}
		}
		delete(l.overRate, rate.Organisation)
	}
	return l.rates.Take(now, rate, cost, ZoneKeeper, Zones{
		Fraction: part,
		Count:    1,
	})
}
