package share

import "time"

// Message is a message between instances: LeaseRequest, LeaseResponse, Offer,
// Return, FenceRequest, FenceResponse or Handover. Any of them may be lost,
// delayed, duplicated or reordered.
type Message interface{ message() }

// LeaseRequest asks a lender to lend shards to the sender, to confirm the
// sender's rights, and to show that it is alive. Everything that the response
// grants counts from the time at which the request was sent.
type LeaseRequest struct {
	// Number is repeated by the response. It grows with each request to a
	// lender.
	Number uint64
	// Lender is the lender's incarnation that Version and InContact refer to.
	Lender uint64
	// Version is that of the newest response that the sender applied. The
	// sender never goes back to an earlier one.
	Version uint64
	// InContact says that the lender answered a request that was sent within
	// the last lending term.
	InContact bool
	// AcceptsHandover says that the sender would accept a Handover.
	AcceptsHandover bool
	// Leaving says that nothing should be lent to the sender any more.
	Leaving bool
	// Rights are the sender's rights to be confirmed.
	Rights []Right
}

// LeaseResponse answers a LeaseRequest.
type LeaseResponse struct {
	// Requester is the incarnation that sent the request, so that a later run
	// at the same address ignores the response. Number is the request's.
	Requester uint64
	Number    uint64
	// Version identifies Rights and Shards, and changes with them.
	Version uint64
	// Term is how long the shards are lent.
	Term time.Duration
	// ConfirmTerm is how long the requester's rights are confirmed.
	ConfirmTerm time.Duration
	// Refused are the requester's shares that aren't confirmed.
	Refused []Number
	// Full says that Rights and Shards are included. If not, they are those of
	// the Version that the requester has applied.
	Full bool
	// Rights are the lender's usable rights, which it lends from.
	Rights []Right
	// Shards are the shards lent from each of Rights.
	Shards ShardSet
}

// Offer tells an instance that the sender has shards to lend.
type Offer struct{}

// Return gives back everything that was lent in response to requests up to
// Number.
type Return struct {
	Number uint64
	// Lender is the incarnation of the lender.
	Lender uint64
}

// FenceRequest asks an instance to fence the rights: the instance must never
// again use or confirm them or an earlier Sequence of the same shares.
type FenceRequest struct {
	Number uint64
	Rights []Right
}

// FenceResponse answers a FenceRequest.
type FenceResponse struct {
	// Requester is the incarnation that sent the request. Number is the
	// request's.
	Requester uint64
	Number    uint64
	// Fenced are the shares whose rights the sender fenced.
	Fenced []Number
	// Votes are those of the sender's own shares whose votes count towards a
	// majority.
	Votes []Number
}

// Handover passes a share to another instance under the same Sequence. The
// sender gives up the share before it sends the message.
type Handover struct {
	// Receiver is the incarnation that gets the share.
	Receiver uint64
	// RequestNumber is the number of the receiver's newest LeaseRequest. The
	// handover is void a term after that was sent.
	RequestNumber uint64
	// Right is the right that is passed on.
	Right Right
	// Hop counts the handovers under one Sequence.
	Hop uint64
	// RecordVersion is the version of the share's record in the store.
	RecordVersion int64
	// InUseFor is how long borrowers may still use the share.
	InUseFor time.Duration
	// Fences are the highest rights that the sender has fenced, one for each
	// share with a fence.
	Fences []Right
}

func (LeaseRequest) message()  {}
func (LeaseResponse) message() {}
func (Offer) message()         {}
func (Return) message()        {}
func (FenceRequest) message()  {}
func (FenceResponse) message() {}
func (Handover) message()      {}
