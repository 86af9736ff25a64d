package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of every Client. Adapters turn their own errors into one of these.
var (
	// ErrUnavailable says that the call had no effect and will have none.
	ErrUnavailable = errors.New("store unavailable")
	// ErrNoLease says that the call named a lease that is no more, and had no
	// effect.
	ErrNoLease = errors.New("no such lease")
	// ErrOutcomeUnknown says that the call may have taken effect, or may yet.
	ErrOutcomeUnknown = errors.New("store answer lost")
)

// Client carries out calls. It is safe for concurrent use.
type Client interface {
	// Do carries out one call, within the context's deadline. Errors wrap
	// ErrUnavailable, ErrNoLease or ErrOutcomeUnknown.
	Do(ctx context.Context, call Call) (Answer, error)
}

// LeaseID names a lease of the store. Zero means no lease.
type LeaseID int64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Version is the store's counter at the last write of this key; zero for
	// a key that is absent.
	Version int64
	// Lease is the lease that the key lapses with, or zero.
	Lease LeaseID
	// RemovedAt is the counter at the key's removal, where a watch tells of one
	// and the store says so; zero otherwise.
	RemovedAt int64
}

// Call is one request to the store: Get, List, Swap, Delete, GrantLease,
// RenewLease, RevokeLease or Watch.
type Call interface{ call() }

// Get reads one key. It is answered by Value.
type Get struct {
	Key string
}

// List reads all keys that begin with Prefix. It is answered by Entries.
type List struct {
	Prefix string
}

// Swap writes one key if its version is still Expected. It is answered by
// Swapped.
type Swap struct {
	Key   string
	Value []byte
	// Expected is the version that the key must have; zero if it must be
	// absent.
	Expected int64
	// Lease, if not zero, removes the key when that lease lapses.
	Lease LeaseID
}

// Delete removes one key if its version is still Expected. It is answered by
// Swapped.
type Delete struct {
	Key      string
	Expected int64
}

// GrantLease creates a lease. It is answered by Leased.
type GrantLease struct {
	// Term is how long the lease lives without renewal, at least a second.
	Term time.Duration
}

// RenewLease renews a lease for its term. It is answered by Leased, whose Term
// is zero if the lease has lapsed.
type RenewLease struct {
	Lease LeaseID
}

// RevokeLease ends a lease, with its keys. It is answered by Leased.
type RevokeLease struct {
	Lease LeaseID
}

// Watch waits until a key that begins with Prefix is written or removed after
// the counter value After. It is answered by Changes.
type Watch struct {
	Prefix string
	After  int64
}

// Answer is what the store says to a call: Value, Entries, Swapped, Leased or
// Changes.
type Answer interface{ answer() }

// Value answers a Get. An absent key has version zero.
type Value struct {
	Entry Entry
	// Counter is the store's counter at the time of the read.
	Counter int64
}

// Entries answers a List, in order of keys.
type Entries struct {
	Entries []Entry
	Counter int64
}

// Swapped answers a Swap or Delete.
type Swapped struct {
	// Done says whether the write took effect.
	Done bool
	// Current is the entry after the call: as written if Done, else as found.
	Current Entry
}

// Leased answers the lease calls.
type Leased struct {
	Lease LeaseID
	// Term is the term that the store gave; zero if the lease is no more.
	Term time.Duration
}

// Changes answers a Watch. Removed keys have version zero.
type Changes struct {
	Entries []Entry
	// Counter is the value for the next Watch's After.
	Counter int64
	// Compacted says that the store no longer has all changes since After, so that
	// the watcher must List again.
	Compacted bool
}

func (Get) call()         {}
func (List) call()        {}
func (Swap) call()        {}
func (Delete) call()      {}
func (GrantLease) call()  {}
func (RenewLease) call()  {}
func (RevokeLease) call() {}
func (Watch) call()       {}

func (Value) answer()   {}
func (Entries) answer() {}
func (Swapped) answer() {}
func (Leased) answer()  {}
func (Changes) answer() {}
