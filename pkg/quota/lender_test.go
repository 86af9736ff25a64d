package quota_test

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/quota"
	"dandelionmux/pkg/share"
)

// loanKey identifies a shard of a share that a node lends.
type loanKey struct {
	share int
	shard share.Shard
}

// loan says which node has borrowed a shard of a share, and until when.
type loan struct {
	to    int
	until time.Duration
}

// heartbeat asks all nodes for their shares, which also shows that the sender
// is alive.
func (f *fleet) heartbeat(n *node, incarnation uint64) {
	f.onNode(n, incarnation, f.now, func() {
		f.rankShards(n)
		sent := f.localTime(n)
		for _, to := range f.nodes {
			if !n.left {
				f.send(n, to, func(instance.ID) { f.lend(to, n, sent) })
			}
		}
		f.runAt(f.now+f.heartbeatInterval, func() { f.heartbeat(n, incarnation) })
	})
}

// liveMembers returns the nodes that a node has heard from recently.
func (f *fleet) liveMembers(n *node) []instance.Info {
	var list []instance.Info
	for _, m := range f.nodes {
		if m == n && !n.left || n.lastHeartbeat[m.id] > f.localTime(n)-2*f.heartbeatInterval-f.heartbeatInterval/2 {
			list = append(list, m.info)
		}
	}
	return list
}

// rankShards ranks the live members of a node for each shard if they have
// changed.
func (f *fleet) rankShards(n *node) {
	if n.shardsByFirst != nil && f.now < n.lastRanked+50*time.Millisecond {
		return
	}
	n.lastRanked = f.now
	view := f.liveMembers(n)
	if n.shardsByFirst != nil && slices.Equal(view, n.lastView) {
		return
	}
	n.lastView = view
	n.shardsByFirst = map[instance.Address][]share.Shard{}
	if len(view) == 0 {
		return
	}
	for _, shard := range f.shardList {
		first := instance.Rank(instance.Hash("shard", uint64(shard)), view)[0].Address
		n.shardsByFirst[first] = append(n.shardsByFirst[first], shard)
	}
	f.handleHolder(n, quota.MembersChanged{Members: view})
}

// lend lends shards to the borrower that asked, each shard to one node at a
// time.
func (f *fleet) lend(n, borrower *node, sent time.Duration) {
	now := f.localTime(n)
	n.lastHeartbeat[borrower.id] = now
	f.rankShards(n)
	lent := map[int][]share.Shard{}
	var shares []int
	for s, owner := range f.shareOwner {
		if owner != n.id {
			continue
		}
		shares = append(shares, s)
		for _, shard := range n.shardsByFirst[borrower.info.Address] {
			l, known := n.loans[loanKey{s, shard}]
			if !known || l.to == borrower.id || l.until <= now {
				n.loans[loanKey{s, shard}] = loan{borrower.id, now + f.term}
				lent[s] = append(lent[s], shard)
			}
		}
	}
	f.send(n, borrower, func(instance.ID) {
		for _, s := range shares {
			if borrower.lastLoan[s] >= sent || borrower.left {
				continue
			}
			borrower.lastLoan[s] = sent
			f.handleCoordinator(borrower, quota.BorrowedChanged{Borrowed: share.BorrowedShare{
				Share:  share.Number(s),
				Until:  sent + f.term*99/100,
				Shards: share.SetOf(lent[s]...),
			}})
		}
	})
}

// reclaim moves the shares of a lost node to others.
func (f *fleet) reclaim(lost *node) {
	for s, owner := range f.shareOwner {
		if owner != lost.id {
			continue
		}
		for range 100 {
			if n := f.nodes[f.random.IntN(len(f.nodes))]; n.alive && !n.left && n != lost {
				f.shareOwner[s] = n.id
				break
			}
		}
	}
}

// leave stops a node gracefully: it hands over its buckets, then returns what
// it borrowed, then its own shares move to others.
func (f *fleet) leave(n *node) {
	incarnation := n.info.Incarnation
	view := slices.DeleteFunc(f.liveMembers(n), func(m instance.Info) bool { return m.ID == n.info.ID })
	f.handleCoordinator(n, quota.Leave{Successor: func(s share.Shard) instance.Address {
		if len(view) == 0 {
			return ""
		}
		return instance.Rank(instance.Hash("shard", uint64(s)), view)[0].Address
	}})
	var wait func()
	wait = func() {
		if !n.left {
			f.onNode(n, incarnation, f.now+time.Millisecond, wait)
			return
		}
		for _, lender := range f.nodes {
			for k, l := range lender.loans {
				if l.to == n.id {
					lender.loans[k] = loan{-1, 0}
				}
			}
			lender.lastHeartbeat[n.id] = -time.Hour
		}
		// The holder keeps running until no request waits. Its shares move
		// after the loans that the node made have ended.
		f.runAt(f.now+time.Second, func() {
			if n.info.Incarnation == incarnation {
				n.alive = false
				f.reclaim(n)
			}
		})
	}
	f.onNode(n, incarnation, f.now, wait)
}
