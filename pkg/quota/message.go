package quota

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// Message is what instances send each other: Ask, Answer, HandoverOffer,
// HandoverRequest, Handover or HandoverAck. Messages may be lost, delayed,
// duplicated or reordered.
type Message interface{ message() }

// Ask goes from a holder to a coordinator. It carries all that the holder has
// for one coordinator within the batch delay.
type Ask struct {
	// Holder is set if the message came through a relay: it is the holder that
	// asked.
	Holder instance.ID
	// Coordinator is set if the receiver is to relay to that coordinator what
	// it can't answer itself.
	Coordinator instance.Address
	Items       []Item
	Reports     []Report
}

// Item asks for units for one organisation.
type Item struct {
	// Number identifies the item among all of one run of a holder. The grant
	// that answers the item has the same number.
	Number       uint64
	Organisation string
	// Need is the number of units required. Fewer aren't granted.
	Need int
	// Prefetch is the number of units that the holder would like beyond Need.
	Prefetch int
	// Wait is how long the holder waits for an answer.
	Wait time.Duration
}

// Report says what became of a grant or an abandoned item. It may be sent more
// than once.
type Report struct {
	// Number is that of the grant, or of an item that the holder has abandoned.
	Number uint64
	// Used counts the units used so far.
	Used int
	// Closed says that no more units will be used: the rest is returned.
	Closed bool
}

// Answer goes from a coordinator to a holder.
type Answer struct {
	// Holder is set if the message goes through a relay: it is the holder that
	// the answer is for.
	Holder   instance.ID
	Grants   []Grant
	Refusals []Refusal
	// Queued lists the numbers of items that will be answered later.
	Queued []uint64
}

// Grant is a number of units that the holder may use within the term, counted
// from the time when it sent the item.
type Grant struct {
	Number uint64
	Units  int
	Term   time.Duration
	// PromptReport asks for a report as soon as units are used.
	PromptReport bool
}

// Refusal says that an item gets no units.
type Refusal struct {
	Number uint64
	Reason Reason
	// RetryAfter is the time after which units may be available if no others
	// ask.
	RetryAfter time.Duration
}

// Reason says why units are refused.
type Reason int

// Values of Reason.
const (
	// Exhausted means that the organisation has used up its rate and burst,
	// that the units won't be available within the time that the item may wait,
	// or that the coordinator's queue is full.
	Exhausted Reason = iota
	// NoRights means that the coordinator holds too few shares of the shard.
	// Another coordinator may hold them, now or soon.
	NoRights
	// NoLimit means that the organisation has no limit and so gets no units.
	NoLimit
	// TooCostly means that the request costs more than the burst.
	TooCostly
	// Unreachable means that no coordinator answered in time.
	Unreachable
	// Overloaded means that too many requests are waiting already, or that the
	// deadline had passed when the request arrived.
	Overloaded
)

// String returns the reason in lower case, for logs.
func (r Reason) String() string {
	names := [...]string{"exhausted", "no rights", "no limit", "too costly", "unreachable", "overloaded"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// HandoverOffer offers the buckets of shards to the next coordinator in rank. A
// leaving coordinator sends it.
type HandoverOffer struct {
	Shards []share.Shard
}

// HandoverRequest asks a leaving coordinator for the buckets of shards. The
// receiver of the Handover counts the inherited levels from the sending of the
// request.
type HandoverRequest struct {
	Number uint64
	Shards []share.Shard
}

// Handover hands over the buckets of shards. The sender doesn't use them any
// more.
type Handover struct {
	// Number is that of the HandoverRequest.
	Number  uint64
	Shards  []HandedShard
	Buckets []HandedBucket
}

// HandedShard describes a handed-over shard. The receiver computes from it the
// levels of organisations without a bucket.
type HandedShard struct {
	Shard share.Shard
	// Shares is the number of shares that the sender holds.
	Shares int
	// HeldFor is how long the sender has held all of them.
	HeldFor time.Duration
}

// HandedBucket is the bucket of one organisation.
type HandedBucket struct {
	Organisation string
	// Level is in units.
	Level  float64
	Grants []HandedGrant
}

// HandedGrant is a grant with outstanding units.
type HandedGrant struct {
	Holder instance.ID
	Number uint64
	// Used counts the units reported as used.
	Used int
	// Units counts the outstanding units.
	Units int
	// Term is the time until the grant expires.
	Term time.Duration
}

// HandoverAck says that the buckets of a Handover were taken over, so that the
// sender may return its shares.
type HandoverAck struct {
	// Number is that of the HandoverRequest.
	Number uint64
}

func (Ask) message()             {}
func (Answer) message()          {}
func (HandoverOffer) message()   {}
func (HandoverRequest) message() {}
func (Handover) message()        {}
func (HandoverAck) message()     {}
