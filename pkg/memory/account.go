// Package memory bounds what an instance holds for others: heads and bodies of requests, also
// while they come in, and beginnings of answers.
//
// All of it is counted in one Account, whose limit follows from the memory that the instance may
// use. What is held for a head, a body or an answer is a Holding. It grows before the bytes are
// kept, so that the limit is never exceeded. If it can't grow, a request is refused, which hasn't
// run then, and less of an answer is kept.
//
// The first bytes of each request, up to SmallBytes, may use the whole limit, larger requests
// seven eighths of it, so that small requests go on while large ones fill the rest. An
// organisation that holds something large gets more only up to half of the limit, so that others
// find room.
//
// # Usage
//
//	a := memory.NewAccount(memory.LimitOf(instanceBytes))
//	h := a.Open("orchard")
//	defer h.Close()
//	if !h.Grow(contentLength) {
//		// Refuse the request.
//	}
package memory

import "sync"

const (
	// SmallBytes is the size up to which a request counts as small.
	SmallBytes = 64 << 10
	// limitPercent is the part of an instance's memory that others may use. The rest is for the
	// program itself, its connections, and what the garbage collector has not freed yet.
	limitPercent = 50
	// smallPart is the part of the limit that is kept for small requests: one in so many.
	smallPart = 8
	// organisationPart is the part of the limit beyond which an organisation that holds
	// something large gets no more: one in so many.
	organisationPart = 2
	// softLimitPercent is the part of an instance's memory from which on the garbage collector
	// works harder.
	softLimitPercent = 60
)

// LimitOf returns the limit of the account of an instance that may use so many bytes.
func LimitOf(instanceBytes int64) int64 { return instanceBytes / 100 * limitPercent }

// SoftLimitOf returns the limit for the garbage collector of such an instance, in bytes.
func SoftLimitOf(instanceBytes int64) int64 { return instanceBytes / 100 * softLimitPercent }

// Account counts the bytes that are held. It is safe for concurrent use.
type Account struct {
	limit int64

	mu   sync.Mutex
	used int64
	peak int64
	// large is what each organisation holds for requests that aren't small.
	large map[string]int64
}

// NewAccount returns an Account with a limit in bytes.
func NewAccount(limit int64) *Account {
	return &Account{
		limit: limit,
		large: map[string]int64{},
	}
}

// Used returns the number of bytes that are held, and the most that ever were.
func (a *Account) Used() (now, peak int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used, a.peak
}

// Open returns a Holding for a request of an organisation; its name is empty if the request
// belongs to none, or that isn't known yet.
func (a *Account) Open(organisation string) *Holding {
	return &Holding{
		account:      a,
		organisation: organisation,
	}
}

// Holding is what is held for one head, body or answer. It is safe for concurrent use. The
// account's mu guards bytes and closed.
type Holding struct {
	account      *Account
	organisation string
	bytes        int64
	closed       bool
}

// Grow reserves more bytes, and reports whether there is room for them. There is none once the
// Holding is closed.
func (h *Holding) Grow(bytes int64) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return false
	}
	after := h.bytes + bytes
	limit := a.limit
	if after > SmallBytes {
		limit -= a.limit / smallPart
		others := a.large[h.organisation]
		if h.bytes > SmallBytes {
			others -= h.bytes
		}
		if others > 0 && others+after > a.limit/organisationPart {
			return false
		}
	}
	if bytes > limit-a.used {
		return false
	}
	a.countLarge(h.organisation, h.bytes, after)
	h.bytes = after
	a.used += bytes
	a.peak = max(a.peak, a.used)
	return true
}

// countLarge changes what an organisation holds for large requests. The caller holds mu.
func (a *Account) countLarge(organisation string, before, after int64) {
	if before > SmallBytes {
		a.large[organisation] -= before
	}
	if after > SmallBytes {
		a.large[organisation] += after
	}
	if a.large[organisation] == 0 {
		delete(a.large, organisation)
	}
}

// Close releases all that is held. Only the first call has an effect. A nil Holding holds nothing.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	a.countLarge(h.organisation, h.bytes, 0)
	a.used -= h.bytes
	h.bytes = 0
}
