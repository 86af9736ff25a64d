package share

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Number identifies a share, from zero up to the total number of shares.
type Number uint16

// Shard is a hash bucket of organisations, request keys and services.
type Shard uint16

const (
	// Shards is the number of shards, far more than there are instances.
	Shards = 4096
	// DefaultTotal is the default total number of shares.
	DefaultTotal = 64
	// MaxTotal is the largest total number of shares that can be configured.
	MaxTotal = 1024
)

// ShardOf returns the shard of a name. The kind, such as "organisation" or
// "key", separates equal names of different kinds.
func ShardOf(kind, name string) Shard {
	d := xxhash.New()
	_, _ = d.WriteString(kind)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return Shard(d.Sum64() % Shards)
}

// Right is the right to a share under one Sequence.
type Right struct {
	Share Number
	// Sequence grows with each new holding of the share. It is zero for a share
	// that was never held.
	Sequence uint64
	// Voting says that the share has a vote: its holder's silent period after
	// taking the share has ended.
	Voting bool
}

// BorrowedShare is what an instance has borrowed of one share.
type BorrowedShare struct {
	Share Number
	// Until is the end of the lease, exclusive, on the borrower's monotonic
	// clock.
	Until time.Duration
	// Shards are the shards that may be used. The set is empty once the right
	// has ended.
	Shards ShardSet
}
