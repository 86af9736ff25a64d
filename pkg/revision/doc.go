// Package revision keeps one revision of the operators' document in force on all
// instances. A revision comes into force within seconds of its acceptance, and no
// instance goes back to an older one.
//
// The store holds a Head under HeadKey, which names the document's parts by their
// digests, and the parts themselves. A revision is accepted when its writer has
// written all new parts and replaced the head by compare-and-swap. The head's number
// grows by one each time, so revisions have a total order.
//
// A few instances of each region, chosen by rendezvous hashing, watch the head and
// also read it from time to time. All others learn of a new revision from peers: an
// instance that has all parts of a revision announces it to a few others at once, and
// all messages between instances carry a Notice of it. An instance that learns of a
// newer revision fetches the head, and the parts that it lacks, from the peers that
// sent a notice of it. So the load on the store doesn't grow with the fleet, and an
// instance that can't reach the store, or that restarts while the store is down, gets
// the document from its peers. Parts are checked against their digests, whoever sent
// them; heads from peers against the first eight bytes of the digest, which the notice
// carries.
//
// State never replaces a revision by one with a lower number, or by different content
// under the same number, whatever the store or a peer sends; it logs both. The caller
// applies a revision when State asks for it, and reports that it is in force or was
// refused. Only then does State ask for the next one.
//
// An instance without contact can't know whether a key was withdrawn. The event
// Contact tells State that this instance was in contact with the fleet, and a read of
// the head counts as contact too. Trusted ends some seconds after the last contact, or
// after a newer revision became known that didn't come into force here. State can't
// tell whether the instances in contact can themselves reach the store: while the
// store is down for all, the newest known revision stays trusted.
//
// # Usage
//
//	state := revision.New(self, rand.New(rand.NewPCG(seed, 0)))
//	for _, e := range state.Handle(now, event) {
//		switch e := e.(type) {
//		case revision.Send:
//			network.Send(e.To, e.Message)
//		case revision.StoreCall:
//			go call(e)
//		case revision.Apply:
//			go apply(e) // and then pass Applied or Rejected to Handle
//		}
//	}
//	timer.Reset(state.Next() - now)
package revision
