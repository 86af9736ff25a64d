package meter

import "time"

const (
	// MaxLenders is how many other zones are asked for one retry.
	MaxLenders = 2
	// refusalTerm is how long a zone that has refused a retry isn't asked again.
	refusalTerm = 500 * time.Millisecond
)

// Lenders chooses the zones that are asked for a retry that the own zone's budget refuses.
// Targets often fail for the callers of one zone more than for others, and then the budgets of
// the other zones have retries left. What a zone grants counts there, so the bound over the
// whole fleet stays. A Lenders is not safe for concurrent use.
type Lenders struct {
	refusedUntil map[lender]time.Duration
	// asked counts the requests to lenders, so that they are asked in turn.
	asked int
}

// lender is the keeper of a service's budget in another zone.
type lender struct {
	service string
	keeper  string
}

// NewLenders returns a Lenders that knows of no refusal.
func NewLenders() *Lenders {
	return &Lenders{
		refusedUntil: map[lender]time.Duration{},
	}
}

// Choose returns one of the keepers of a service's budget in other zones, and false if all have
// refused a retry lately.
func (l *Lenders) Choose(now time.Duration, service string, keepers []string) (keeper string, ok bool) {
	for range keepers {
		l.asked++
		k := lender{
			service: service,
			keeper:  keepers[l.asked%len(keepers)],
		}
		until, refused := l.refusedUntil[k]
		if !refused || now >= until {
			delete(l.refusedUntil, k)
			return k.keeper, true
		}
	}
	return "", false
}

// Refused records that a keeper has refused a retry.
func (l *Lenders) Refused(now time.Duration, service, keeper string) {
	l.refusedUntil[lender{
		service: service,
		keeper:  keeper,
	}] = now + refusalTerm
}

// Expire forgets refusals that don't count any more.
func (l *Lenders) Expire(now time.Duration) {
	for k, until := range l.refusedUntil {
		if now >= until {
			delete(l.refusedUntil, k)
		}
	}
}
