package share

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Number names a share, from zero up to the total.
type Number uint16

// Shard is a hash class of organisations, request keys and services.
type Shard uint16

const (
	// Shards is the number of shards, many more than there are instances.
	Shards = 4096
	// DefaultTotal is the number of shares.
	DefaultTotal = 64
	// MaxTotal bounds the number of shares that can be asked for.
	MaxTotal = 1024
)

// ShardOf returns the shard of a name. The kind keeps apart names of different
// sorts, such as "organisation" and "key".
func ShardOf(kind, name string) Shard {
	d := xxhash.New()
	_, _ = d.WriteString(kind)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return Shard(d.Sum64() % Shards)
}

// Right is a share under one Sequence.
type Right struct {
	Share Number
	// Sequence grows with each new holding of the share. Zero stands for a
	// share that was never held.
	Sequence uint64
	// Voting says that the share's vote counts: its holder has been silent for
	// long enough after taking it.
	Voting bool
}

// Borrowed is what a coordinator has from one share.
type Borrowed struct {
	Share Number
	// Until is the end, exclusive, on the borrower's monotonic clock.
	Until time.Duration
	// Shards are those that may be used; empty at the end of the right.
	Shards ShardSet
}
