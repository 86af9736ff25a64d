// Package meter keeps the limits that count over the whole fleet, a zone at a
// time: the organisations' rates and the services' retry budgets.
//
// In each zone one instance keeps the bucket of an organisation, and another
// the retry budget of a service; which one follows from the members. Others ask
// it for each request, inside the zone, where messages are cheap. A zone's part
// of a rate is its part of the instances. A zone that comes near the end of its
// part asks the others, and they lend it what they don't need, for a second at a
// time. The lender does without a loan from when it offers it, and for longer
// than the borrower uses it, so the parts never add up to more than the rate. Calm
// organisations cost no message between zones.
//
// A meter that starts afresh knows nothing of what its predecessor gave out, so
// a fresh bucket holds only a part of the burst.
//
// # Usage
//
//	r := meter.NewRates("a", tolerance)
//	verdict := r.Ask(now, rate, 1, zones)
//	for _, w := range r.Wants(now, rateOf, zones) {
//		// Tell the other zones; there: offer, ok := r.Lend(now, rate, w, zones),
//		// and here again: r.Borrow(now, rate, offer, zones).
//	}
//	budget := meter.NewBudget(settings)
//	if budget.Ask(now, service, requests, part) {
//		// Send the request once more.
//	}
package meter
