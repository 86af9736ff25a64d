package share

import "time"

// Message is what instances send to each other: LeaseRequest, LeaseResponse, Offer, Return,
// FenceRequest, FenceResponse or Handover. Any of them may be lost, late, doubled
// or reordered.
type Message interface{ message() }

// LeaseRequest asks an instance that lends for the asker's shards, for its vouches, and
// for a sign of life. All that the answer gives counts from the ask's sending.
type LeaseRequest struct {
	// Number is echoed by the answer; it grows with each ask to one lender.
	Number uint64
	// Lender is the incarnation that Version and Heard speak of.
	Lender uint64
	// Version is that of the newest answer taken in. The asker never goes back
	// to an earlier one.
	Version uint64
	// InContact says that an answer came within the last term.
	InContact bool
	// AcceptsHandover says that a Handover would be taken.
	AcceptsHandover bool
	// Leaving says that nothing should be lent any more.
	Leaving bool
	// Rights are the shares that the asker wants vouched for.
	Rights []Right
}

// LeaseResponse answers a LeaseRequest.
type LeaseResponse struct {
	// Requester is the incarnation that asked, so that a successor doesn't take
	// the answer for one of its own.
	Requester uint64
	Number    uint64
	// Version changes with Rights and Shards.
	Version uint64
	// Term is for how long the shards are lent.
	Term time.Duration
	// ConfirmTerm is for how long the asker's rights are vouched for.
	ConfirmTerm time.Duration
	// Refused are the asker's shares that aren't vouched for.
	Refused []Number
	// Full says that Rights and Shards are given. If not, they are those of
	// the Version that the asker has.
	Full bool
	// Rights are the shares that the lender may use, and lends from.
	Rights []Right
	// Shards are lent from each of these shares.
	Shards ShardSet
}

// Offer tells an instance that the sender has something to lend.
type Offer struct{}

// Return gives back all that was lent in answer to asks up to Number.
type Return struct {
	Number uint64
	// Lender is the incarnation that lent.
	Lender uint64
}

// FenceRequest asks an instance to promise that it neither uses nor vouches for
// the rights, nor for earlier Sequences of the same shares, ever again.
type FenceRequest struct {
	Number uint64
	Rights []Right
}

// FenceResponse answers a FenceRequest.
type FenceResponse struct {
	// Requester is the incarnation that asked.
	Requester uint64
	Number    uint64
	// Fenced are the shares for which the promise is given.
	Fenced []Number
	// Votes are the sender's own shares that count towards a majority.
	Votes []Number
}

// Handover passes a share on under the same Sequence. The sender has given it
// up before it sends.
type Handover struct {
	// Receiver is the incarnation that the share is passed on to.
	Receiver uint64
	// RequestNumber is the number of the receiver's newest ask; the handover is void a
	// term after that was sent.
	RequestNumber uint64
	// Right is what is passed on.
	Right Right
	// Hop grows with each handover under one Sequence.
	Hop uint64
	// RecordVersion is the version of the share's record in the store.
	RecordVersion int64
	// InUseFor is for how long the share may still be in use by borrowers.
	InUseFor time.Duration
	// Fences are the highest rights that the sender has promised not to vouch
	// for.
	Fences []Right
}

func (LeaseRequest) message()  {}
func (LeaseResponse) message() {}
func (Offer) message()         {}
func (Return) message()        {}
func (FenceRequest) message()  {}
func (FenceResponse) message() {}
func (Handover) message()      {}
