// Package membership tracks which instances of the fleet are alive, with a SWIM
// protocol whose cost per instance doesn't grow with the fleet.
//
// The platform's instance list only names addresses to try: it shows instances
// that have ended and lacks new ones. Only an answered probe shows that an
// instance is alive. The members form a ring whose order all instances agree on.
// At each interval an instance probes its successor in the ring, so that each
// member is probed once an interval; at every other interval it also probes a
// member in random order. If a member doesn't answer, three others are asked to
// probe it, because a network cut may affect one direction only, or only one
// pair of instances. If that fails too, the member is suspected.
//
// A suspicion is gossiped to the whole fleet and sent to the suspect, which
// refutes it by raising the version of its own record. Each instance waits for
// the refutation by its own clock and then declares the suspect dead. Deaths
// aren't gossiped, so that a suspicion always leaves its subject the time to
// refute it, however old the suspicion is. A run that refuted suspicions lately
// gets more time, so that a slow instance doesn't flap between dead and alive.
// An instance that can't reach the members that it asks for help either is
// probably cut off itself and gives others more time.
//
// A record contains an incarnation, which distinguishes a restarted instance
// from its predecessor, and whether the run is leaving. Each message carries its
// sender's own record, a few records that changed lately, a digest of the
// sender's table and the newest revision that the sender can serve. If the
// digests of two instances still differ when no gossip is pending, the two
// compare their tables bucket by bucket and exchange the records of the buckets
// that differ.
//
// Views differ for a while after a change, and an instance that is cut off may
// keep a view of a fleet that no longer exists. A view therefore grants no
// rights; package share does.
//
// # Usage
//
//	state := membership.New(self, rand.New(rand.NewPCG(seed, 0)))
//	for _, e := range state.Handle(now, membership.ListRead{Instances: list}) {
//		switch e := e.(type) {
//		case membership.Send:
//			network.Send(e.To, e.Message)
//		case membership.MembersChanged:
//			ranked = instance.Rank(key, e.Members)
//		}
//	}
//	timer.Reset(state.Next() - now)
package membership
