package quota

import (
	"time"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/share"
)

// Message is what instances send each other: Ask, Answer, HandoverOffer,
// HandoverRequest, Handover or HandoverAck. Messages may be lost, late, doubled or reordered.
type Message interface{ message() }

// Ask goes from a holder to a coordinator. All that a holder has for one
// coordinator within a fraction of a millisecond shares one Ask.
type Ask struct {
	// Origin is the holder, if the message comes through a relay.
	Origin instance.ID
	// Coordinator is the coordinator that is meant, if a relay is asked: what the
	// receiver can't answer itself it passes on.
	Coordinator instance.Address
	Items       []Item
	Reports     []Report
}

// Item asks for tokens of one organisation.
type Item struct {
	// Number tells the item from all others of the same run of a holder, and
	// is also the name of the grant that answers it.
	Number       uint64
	Organisation string
	// Need is in units; less is of no use.
	Need int
	// Prefetch is how many units more are welcome.
	Prefetch int
	// Wait is how long the asker waits for an answer.
	Wait time.Duration
}

// Report says what became of a grant. It may be sent more than once.
type Report struct {
	// Number is the grant's.
	Number uint64
	// Used counts the units used so far.
	Used int
	// Closed says that no more will be used: the rest is returned.
	Closed bool
}

// Answer goes from a coordinator to a holder.
type Answer struct {
	// Origin is the holder, if the message goes through a relay.
	Origin   instance.ID
	Grants   []Grant
	Refusals []Refusal
	// Queued are the numbers of items that will be answered later.
	Queued []uint64
}

// Grant is a number of units that the holder may use within the term. The
// holder counts it from the moment when it sent the item.
type Grant struct {
	Number uint64
	Units  int
	Term   time.Duration
	// PromptReport asks for a report as soon as units are used.
	PromptReport bool
}

// Refusal says that an item gets nothing.
type Refusal struct {
	Number uint64
	Reason Reason
	// RetryAfter is when there may be units again, if nobody else asks.
	RetryAfter time.Duration
}

// Reason says why units are refused.
type Reason int

// Values of Reason.
const (
	// Exhausted means that the organisation has used up its rate and burst.
	Exhausted Reason = iota
	// NoRights means that the coordinator holds too little of the shard; another
	// may hold it, or will soon.
	NoRights
	// NoLimit means that the organisation has no limit, so no units.
	NoLimit
	// TooCostly means that the request costs more than the burst.
	TooCostly
	// Unreachable means that no coordinator answered in time.
	Unreachable
	// Overloaded means that too many requests wait already.
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

// HandoverOffer goes from a stopping coordinator to the one that is to have its
// shards.
type HandoverOffer struct {
	Shards []share.Shard
}

// HandoverRequest asks for the buckets of shards. What comes of it counts from its
// sending.
type HandoverRequest struct {
	Number uint64
	Shards []share.Shard
}

// Handover passes on the buckets of shards. The sender uses them no more.
type Handover struct {
	// Number is that of the HandoverRequest.
	Number  uint64
	Shards  []HandedShard
	Buckets []HandedBucket
}

// HandedShard tells what is known of organisations without a bucket.
type HandedShard struct {
	Shard share.Shard
	// Shares is how many the sender holds.
	Shares int
	// HeldFor is for how long nobody else can have had them.
	HeldFor time.Duration
}

// HandedBucket is one organisation's bucket.
type HandedBucket struct {
	Organisation string
	// Level is in units.
	Level  float64
	Grants []HandedGrant
}

// HandedGrant is what a holder still has of a grant.
type HandedGrant struct {
	Holder instance.ID
	Number uint64
	// Used counts the units reported used.
	Used int
	// Units counts those that are still out.
	Units int
	// Term is what is left of its life.
	Term time.Duration
}

// HandoverAck says that a Handover has been taken in, so that the sender may
// return its rights.
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
