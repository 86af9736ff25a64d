package wire

import (
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/share"
)

// maxTerm is the longest duration that a message about shares may contain.
const maxTerm = time.Hour

// EncodeShare converts a message to its wire form.
func EncodeShare(m share.Message) *gen.ShareMessage {
	switch m := m.(type) {
	case share.LeaseRequest:
		return &gen.ShareMessage{
			Message: &gen.ShareMessage_Ask{
				Ask: encodeLeaseRequest(m),
			},
		}
	case share.LeaseResponse:
		return &gen.ShareMessage{
			Message: &gen.ShareMessage_Answer{
				Answer: encodeLeaseResponse(m),
			},
		}
	case share.Offer:
		return &gen.ShareMessage{
			Message: &gen.ShareMessage_Offer{
				Offer: &gen.ShareOffer{},
			},
		}
	case share.Return:
		return &gen.ShareMessage{
			Message: &gen.ShareMessage_Return{
				Return: &gen.ShareReturn{
					Number: m.Number,
					Lender: m.Lender,
				},
			},
		}
	case share.FenceRequest:
		return &gen.ShareMessage{
			Message: &gen.ShareMessage_PromiseAsk{
				PromiseAsk: &gen.SharePromiseAsk{
					Number: m.Number,
					Rights: encodeRights(m.Rights),
				},
			},
		}
	case share.FenceResponse:
		return &gen.ShareMessage{
			Message: &gen.ShareMessage_PromiseAnswer{
				PromiseAnswer: &gen.SharePromiseAnswer{
					Asker:    m.Requester,
					Number:   m.Number,
					Promised: encodeNumbers(m.Fenced),
					Votes:    encodeNumbers(m.Votes),
				},
			},
		}
	case share.Handover:
		return &gen.ShareMessage{
			Message: &gen.ShareMessage_Handover{
				Handover: encodeHandover(m),
			},
		}
	}
	return &gen.ShareMessage{}
}

// DecodeShare converts a message from its wire form. Its errors wrap
// ErrMalformed.
func DecodeShare(w *gen.ShareMessage) (share.Message, error) {
	switch m := w.GetMessage().(type) {
	case *gen.ShareMessage_Ask:
		return decodeLeaseRequest(m.Ask)
	case *gen.ShareMessage_Answer:
		return decodeLeaseResponse(m.Answer)
	case *gen.ShareMessage_Offer:
		return share.Offer{}, nil
	case *gen.ShareMessage_Return:
		return share.Return{
			Number: m.Return.GetNumber(),
			Lender: m.Return.GetLender(),
		}, nil
	case *gen.ShareMessage_PromiseAsk:
		rights, err := decodeRights(m.PromiseAsk.GetRights())
		return share.FenceRequest{
			Number: m.PromiseAsk.GetNumber(),
			Rights: rights,
		}, err
	case *gen.ShareMessage_PromiseAnswer:
		return decodeFenceResponse(m.PromiseAnswer)
	case *gen.ShareMessage_Handover:
		return decodeHandover(m.Handover)
	}
	return nil, errors.Wrap(ErrMalformed, "share message without a known kind")
}

func encodeLeaseRequest(m share.LeaseRequest) *gen.ShareAsk {
	return &gen.ShareAsk{
		Number:  m.Number,
		Lender:  m.Lender,
		Version: m.Version,
		Heard:   m.InContact,
		Accepts: m.AcceptsHandover,
		Leaving: m.Leaving,
		Rights:  encodeRights(m.Rights),
	}
}

func decodeLeaseRequest(w *gen.ShareAsk) (share.Message, error) {
	rights, err := decodeRights(w.GetRights())
	return share.LeaseRequest{
		Number:          w.GetNumber(),
		Lender:          w.GetLender(),
		Version:         w.GetVersion(),
		InContact:       w.GetHeard(),
		AcceptsHandover: w.GetAccepts(),
		Leaving:         w.GetLeaving(),
		Rights:          rights,
	}, err
}

func encodeLeaseResponse(m share.LeaseResponse) *gen.ShareAnswer {
	return &gen.ShareAnswer{
		Asker:             m.Requester,
		Number:            m.Number,
		Version:           m.Version,
		TermMicroseconds:  m.Term.Microseconds(),
		VouchMicroseconds: m.ConfirmTerm.Microseconds(),
		Refused:           encodeNumbers(m.Refused),
		Full:              m.Full,
		Rights:            encodeRights(m.Rights),
		ShardGaps:         encodeShardSet(m.Shards),
	}
}

func decodeLeaseResponse(w *gen.ShareAnswer) (share.Message, error) {
	term, err := decodeTerm(w.GetTermMicroseconds())
	if err != nil {
		return nil, err
	}
	confirmTerm, err := decodeTerm(w.GetVouchMicroseconds())
	if err != nil {
		return nil, err
	}
	refused, err := decodeNumbers(w.GetRefused())
	if err != nil {
		return nil, err
	}
	rights, err := decodeRights(w.GetRights())
	if err != nil {
		return nil, err
	}
	shards, err := decodeShardSet(w.GetShardGaps())
	return share.LeaseResponse{
		Requester:   w.GetAsker(),
		Number:      w.GetNumber(),
		Version:     w.GetVersion(),
		Term:        term,
		ConfirmTerm: confirmTerm,
		Refused:     refused,
		Full:        w.GetFull(),
		Rights:      rights,
		Shards:      shards,
	}, err
}

func decodeFenceResponse(w *gen.SharePromiseAnswer) (share.Message, error) {
	fenced, err := decodeNumbers(w.GetPromised())
	if err != nil {
		return nil, err
	}
	votes, err := decodeNumbers(w.GetVotes())
	return share.FenceResponse{
		Requester: w.GetAsker(),
		Number:    w.GetNumber(),
		Fenced:    fenced,
		Votes:     votes,
	}, err
}

func encodeHandover(m share.Handover) *gen.ShareHandover {
	return &gen.ShareHandover{
		Asker:            m.Receiver,
		Ask:              m.RequestNumber,
		Right:            encodeRight(m.Right),
		Hop:              m.Hop,
		Record:           m.RecordVersion,
		BusyMicroseconds: roundUp(m.InUseFor),
		Floors:           encodeRights(m.Fences),
	}
}

// roundUp returns a duration in microseconds, rounded up, so that the receiver
// never waits too briefly.
func roundUp(d time.Duration) int64 {
	return (d + time.Microsecond - 1).Microseconds()
}

func decodeHandover(w *gen.ShareHandover) (share.Message, error) {
	right, err := decodeRight(w.GetRight())
	if err != nil {
		return nil, err
	}
	inUseFor, err := decodeTerm(w.GetBusyMicroseconds())
	if err != nil {
		return nil, err
	}
	fences, err := decodeRights(w.GetFloors())
	return share.Handover{
		Receiver:      w.GetAsker(),
		RequestNumber: w.GetAsk(),
		Right:         right,
		Hop:           w.GetHop(),
		RecordVersion: w.GetRecord(),
		InUseFor:      inUseFor,
		Fences:        fences,
	}, err
}

func encodeRight(r share.Right) *gen.ShareRight {
	return &gen.ShareRight{
		Share:    uint32(r.Share),
		Sequence: r.Sequence,
		Votes:    r.Voting,
	}
}

func decodeRight(w *gen.ShareRight) (share.Right, error) {
	if w.GetShare() >= share.MaxTotal {
		return share.Right{}, errors.Wrapf(ErrMalformed, "share %d", w.GetShare())
	}
	return share.Right{
		Share:    share.Number(w.GetShare()),
		Sequence: w.GetSequence(),
		Voting:   w.GetVotes(),
	}, nil
}

func encodeRights(rights []share.Right) []*gen.ShareRight {
	w := make([]*gen.ShareRight, len(rights))
	for i, r := range rights {
		w[i] = encodeRight(r)
	}
	return w
}

func decodeRights(w []*gen.ShareRight) ([]share.Right, error) {
	if len(w) > share.MaxTotal {
		return nil, errors.Wrapf(ErrMalformed, "%d rights", len(w))
	}
	var rights []share.Right
	for _, x := range w {
		r, err := decodeRight(x)
		if err != nil {
			return nil, err
		}
		rights = append(rights, r)
	}
	return rights, nil
}

func encodeNumbers(numbers []share.Number) []uint32 {
	w := make([]uint32, len(numbers))
	for i, n := range numbers {
		w[i] = uint32(n)
	}
	return w
}

func decodeNumbers(w []uint32) ([]share.Number, error) {
	if len(w) > share.MaxTotal {
		return nil, errors.Wrapf(ErrMalformed, "%d shares", len(w))
	}
	var numbers []share.Number
	for _, n := range w {
		if n >= share.MaxTotal {
			return nil, errors.Wrapf(ErrMalformed, "share %d", n)
		}
		numbers = append(numbers, share.Number(n))
	}
	return numbers, nil
}

// encodeShardSet returns for each shard, in ascending order, how many shards that
// aren't in the set come between it and the one before.
func encodeShardSet(set share.ShardSet) []uint32 {
	var gaps []uint32
	next := uint32(0)
	for h := range set.All() {
		gaps = append(gaps, uint32(h)-next)
		next = uint32(h) + 1
	}
	return gaps
}

// decodeShardSet reverses encodeShardSet.
func decodeShardSet(gaps []uint32) (share.ShardSet, error) {
	if len(gaps) == 0 {
		return share.ShardSet{}, nil
	}
	if len(gaps) > share.Shards {
		return share.ShardSet{}, errors.Wrapf(ErrMalformed, "%d shards", len(gaps))
	}
	shards := make([]share.Shard, 0, len(gaps))
	next := uint32(0)
	for _, g := range gaps {
		if g >= share.Shards || next+g >= share.Shards {
			return share.ShardSet{}, errors.Wrap(ErrMalformed, "shard out of range")
		}
		shards = append(shards, share.Shard(next+g))
		next += g + 1
	}
	return share.SetOf(shards...), nil
}

func decodeTerm(microseconds int64) (time.Duration, error) {
	if microseconds < 0 || microseconds > maxTerm.Microseconds() {
		return 0, errors.Wrapf(ErrMalformed, "term of %d microseconds", microseconds)
	}
	return time.Duration(microseconds) * time.Microsecond, nil
}
