// Package zoneload holds what the allocator of a service knows of the same service in other
// zones, and how old that knowledge is.
//
// An allocator receives reports of other zones, counts what it sends there, and asks before each
// request that finds no free slot at home:
//
//	trips := zoneload.NewRoundTrips()
//	table := zoneload.New("a", zoneload.WithRoundTrips(trips))
//	table.Receive(now, report)
//	for _, s := range table.Zones(now, "search", []string{"a", "b", "c"}) {
//		// s.Free requests may still be sent to s.Zone.
//	}
//	table.Sent(now, "search", "b")
//	table.Declined(now, "search", "b") // if b refused it, or didn't answer in time
//
// It sends its own Report to the other zones whenever Due says so, with the Stamp of RoundTrips,
// from which the other side learns the round trip.
//
// The other zone has the last word: its allocator grants Spare slots at most. The table keeps
// the number of requests small that are sent in vain, since each costs a round trip.
//
// All of it is deterministic: now is an argument, and counts from any fixed moment of the
// instance. No type is safe for concurrent use.
package zoneload
