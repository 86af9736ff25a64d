package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of every Client. Adapters map their own errors to one of these.
var (
	// ErrUnavailable means that the call had no effect and will have none.
	ErrUnavailable = errors.New("store unavailable")
	// ErrNoLease means that the call named a lease that has ended, and had no
	// effect.
	ErrNoLease = errors.New("no such lease")
	// ErrOutcomeUnknown means that the call may have taken effect, or may still
	// do so.
	ErrOutcomeUnknown = errors.New("store answer lost")
)

// Client sends calls to the store. It is safe for concurrent use.
type Client interface {
	// Do carries out one call within the context's deadline. Errors wrap
	// ErrUnavailable, ErrNoLease or ErrOutcomeUnknown.
	Do(ctx context.Context, call Call) (Answer, error)
}

// LeaseID identifies a lease of the store. Zero means no lease.
type LeaseID int64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Version is the store's counter at the last write of this key; zero if
	// the key is absent.
	Version int64
	// Lease is the lease that the key is removed with, or zero.
	Lease LeaseID
	// RemovedAt is the store's counter at the removal of the key. It is set only
	// for removals that a watch reports, and only if the store gives the counter;
	// zero otherwise.
	RemovedAt int64
}

// Call is one request to the store: Get, List, Swap, Delete, GrantLease,
// RenewLease, RevokeLease or Watch.
type Call interface{ call() }

// Get reads one key. Its answer is a Value.
type Get struct {
	Key string
}

// List reads all keys that begin with Prefix. Its answer is an Entries.
type List struct {
	Prefix string
	// AllowStale lets the store answer with an older state, up to some seconds, which is
	// cheaper. The answer's Counter tells how old it is.
	AllowStale bool
	// PageTimeout bounds each of the store's answers, of which a large list needs several; zero
	// means that only the context's deadline counts.
	PageTimeout time.Duration
}

// Swap writes one key if its version is still Expected (compare and swap). Its
// answer is a Swapped.
type Swap struct {
	Key   string
	Value []byte
	// Expected is the version that the key must have; zero if it must be
	// absent.
	Expected int64
	// Lease, if not zero, is the lease that the key is attached to: the store
	// removes the key when the lease ends.
	Lease LeaseID
}

// Delete removes one key if its version is still Expected. Its answer is a
// Swapped.
type Delete struct {
	Key      string
	Expected int64
}

// GrantLease creates a lease. Its answer is a Leased.
type GrantLease struct {
	// Term is how long the lease lasts without renewal, at least one second.
	Term time.Duration
}

// RenewLease renews a lease for its term. Its answer is a Leased, whose Term is
// zero if the lease has ended.
type RenewLease struct {
	Lease LeaseID
}

// RevokeLease ends a lease and removes its keys. Its answer is a Leased.
type RevokeLease struct {
	Lease LeaseID
}

// Watch waits until a key that begins with Prefix is written or removed after
// the counter value After. Its answer is a Changes.
type Watch struct {
	Prefix string
	After  int64
}

// Answer is the store's answer to a call: a Value, Entries, Swapped, Leased or
// Changes.
type Answer interface{ answer() }

// Era is the number of times that the store has been set back to an earlier content. What
// was written between that content and the loss is gone, leases too, and versions and
// leases are given out again: those of different eras must not be compared. It is always
// zero if a store can't be set back.
type Era int64

// Value answers a Get. An absent key has version zero.
type Value struct {
	Entry Entry
	// Counter is the store's counter at the time of the read.
	Counter int64
	Era     Era
}

// Entries answers a List.
type Entries struct {
	// Entries are sorted by key.
	Entries []Entry
	// Counter is the store's counter at the time of the read.
	Counter int64
	Era     Era
}

// Swapped answers a Swap or Delete.
type Swapped struct {
	// Done is set if the write took effect.
	Done bool
	// Current is the entry after the call: as written if Done is set, as found
	// otherwise.
	Current Entry
	Era     Era
}

// Leased answers the lease calls.
type Leased struct {
	Lease LeaseID
	// Term is the term that the store granted; zero if the lease has ended.
	Term time.Duration
	Era  Era
}

// Changes answers a Watch. The entries of removed keys have version zero.
type Changes struct {
	Entries []Entry
	// Counter is the value of After for the next Watch.
	Counter int64
	// Compacted is set if the store no longer has all changes since After, so
	// that the watcher must List again.
	Compacted bool
	Era       Era
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
