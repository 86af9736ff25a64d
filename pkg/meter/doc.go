// Package meter keeps the limits that count over the whole fleet, a zone at a
// time: the organisations' rates and the services' retry budgets.
//
// In each zone one instance keeps the bucket of an organisation, and another
// the retry budget of a service; which one follows from the members. Others ask
// it for each request, inside the zone, where messages are cheap. A zone's part
// of a rate is its part of the instances, until some zone comes near the end of
// its part: then the zones tell each other their demands, twice a second, and
// the parts follow them. So calm organisations cost no message between zones,
// and a busy one gets its whole rate wherever its callers are.
//
// A meter that starts afresh knows nothing of what its predecessor gave out, so
// a fresh bucket holds only a part of the burst.
//
// # Usage
//
//	r := meter.NewRates("a")
//	verdict := r.Ask(now, rate, 1, zones)
//	budget := meter.NewBudget(settings)
//	if budget.Ask(now, service, requests, part) {
//		// Send the request once more.
//	}
package meter
