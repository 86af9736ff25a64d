// Package meter keeps the limits that count over the whole fleet, a zone at a
// time: the organisations' rates and the services' retry budgets.
//
// One instance keeps the bucket of an organisation for the whole fleet, and others
// ask it for each request: a rate in parts refuses requests while another part is
// idle. One in each zone keeps a service's retry budget. Which one follows from the
// members.
//
// Each zone owns a part of a rate, as large as its part of the instances. The
// keeper borrows the other zones' parts for a second at a time, from the instances
// that would be the keepers there, and they do without. So a zone that is cut off
// has its part again within a second, where a stand-in gives it out, and the parts
// never add up to more than the rate. Organisations that need no more than a part
// cost no message between zones.
//
// A meter that starts afresh knows nothing of what its predecessor gave out, so
// a fresh bucket holds only a part of the burst.
//
// # Usage
//
//	r := meter.NewRates("a", tolerance)
//	verdict := r.Ask(now, rate, 1, meter.Keeper, zones)
//	for _, w := range r.Wants(now, rateOf, roleOf, zones) {
//		// Tell the other zones; there: offer, ok := r.Lend(now, rate, w, zones),
//		// and here again: r.Borrow(now, rate, offer, zones).
//	}
//	budget := meter.NewBudget(settings)
//	if budget.Ask(now, service, requests, part) {
//		// Send the request once more.
//	}
package meter
