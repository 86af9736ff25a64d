// Package instance identifies the processes of the fleet and ranks them by
// rendezvous hashing.
//
// An instance is identified by its peer address, and one run of it by the
// address together with an incarnation: a number that increases with each run
// at the same address. State that must not survive a restart, such as a lease
// or a grant, carries the incarnation, so that a new run is never mistaken for
// an earlier one.
//
// There are no leader elections. Every instance ranks the instances that it
// considers alive with Rank, and the first in the order takes the role. The
// views of two instances may differ for a while, so a rank alone never
// authorises anything; package share describes what does.
//
// # Usage
//
//	members := []instance.Info{a, b, c}
//	order := instance.Rank(instance.Hash("shard", 17), members)
//	coordinator := order[0]
package instance
