// Package fleet combines the coordination packages into the control state of one
// instance.
//
// State contains a membership, a revision, a share, a quota, a claim and a
// quarantine state, and the health state of the targets. It passes each event to
// the component that it concerns. An effect of a component is either an event
// for another component (changed members, borrowed shards), which State handles
// at once, or an effect for the caller: a message to a peer, a call to the store,
// a document to load, an answer to a waiting request.
//
// State has no goroutine, clock or connection. One goroutine calls Handle with
// each event, and with a Tick at the time that Next returns, and executes the
// effects. Hundreds of States run in one test on virtual time.
//
// # Usage
//
//	state := fleet.New(self, allowance, random)
//	for _, effect := range state.Handle(now, event) {
//		switch e := effect.(type) {
//		case fleet.Send:
//			network.Send(e.To, encode(e.Message))
//		case fleet.StoreCall:
//			go call(e)
//		}
//	}
package fleet
