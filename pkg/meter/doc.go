// Package meter enforces the limits that are counted over the whole fleet: the
// organisations' rates and the services' retry budgets.
//
// One instance, the fleet's keeper, holds the token bucket of an organisation for
// the whole fleet, and the others ask it for each request. A rate that is split
// among instances would refuse requests at one while another has units left. A
// service's retry budget has one keeper in each zone. Which instance is a keeper
// follows from the list of members.
//
// The keeper of a retry budget reports what it grants to all instances of its zone, so
// that its successor goes on from the same counts. Nobody can tell an instance whose whole
// zone has been restarted what was granted before. Until it has counted for a span, it
// grants a smaller part of the bound, which the others leave ungranted.
//
// Each zone owns a fraction of a rate, as large as its fraction of the instances.
// The instance that enforces a rate, be it the fleet's keeper or a zone's, borrows the
// other zones' fractions for a second at a time, from the instances that would be the
// keepers there, and the lenders stop using them meanwhile. So a zone that is cut off has its fraction back within a second, where
// its own keeper grants it, and the fractions never add up to more than the rate.
// An organisation whose demand is well below one zone's fraction needs no loans, except
// for one round of requests when its keeper changes.
//
// An instance that reaches no keeper uses LocalRates, which enforces its even share of
// each rate.
//
// A keeper that starts knows nothing of what its predecessor granted, so a new
// bucket holds only a part of the burst.
//
// # Usage
//
//	r := meter.NewRates("a", tolerance)
//	decision := r.Take(now, rate, 1, meter.FleetKeeper, zones)
//	for _, request := range r.LoanRequests(now, rateOf, roleOf, zones) {
//		// Send the request to the other zones, which call
//		// offer, ok := r.Lend(now, rate, request, zones)
//		// and send the offer back; then r.Borrow(now, rate, offer, zones).
//	}
//	budget := meter.NewBudget(now, settings)
//	if budget.Take(now, service, begun, zones, meter.WithRank(rank)).Granted {
//		// Send the request once more.
//	}
//	for _, totals := range budget.Changed(now, term) {
//		// Send them to the other instances of the zone, which call
//		// budget.Receive(now, keeper, totals).
//	}
package meter
