package wire_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"dandelionmux/internal/wire"
	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/share"
)

var rights = []share.Right{{Share: 3, Sequence: 9, Voting: true}, {Share: 1023, Sequence: 1}}

var shareMessages = []share.Message{
	share.LeaseRequest{Number: 1, Lender: 2, Version: 3, InContact: true, AcceptsHandover: true, Leaving: true, Rights: rights},
	share.LeaseResponse{Requester: 4, Number: 5, Version: 6, Term: time.Second, ConfirmTerm: time.Minute, Refused: []share.Number{7},
		Full: true, Rights: rights, Shards: share.SetOf(0, 1, 77, share.Shards-1)},
	share.LeaseResponse{},
	share.Offer{},
	share.Return{Number: 8, Lender: 9},
	share.FenceRequest{Number: 10, Rights: rights},
	share.FenceResponse{Requester: 1, Number: 11, Fenced: []share.Number{0, 5}, Votes: []share.Number{6}},
	share.Handover{Receiver: 2, RequestNumber: 12, Right: rights[0], Hop: 3, RecordVersion: 14, InUseFor: 15 * time.Millisecond, Fences: rights},
}

func TestShareRoundTrip(t *testing.T) {
	for _, m := range shareMessages {
		is := is.New(t)
		value, err := proto.Marshal(wire.EncodeShare(m))
		is.NoErr(err)
		var w gen.ShareMessage
		is.NoErr(proto.Unmarshal(value, &w))
		got, err := wire.DecodeShare(&w)
		is.NoErr(err)
		is.True(reflect.DeepEqual(got, m)) // all fields survive
	}
}

// TestInUseForIsRoundedUp guards against rounding InUseFor down: the receiver of
// a share would then use it before the leases of its former holder have ended.
func TestInUseForIsRoundedUp(t *testing.T) {
	is := is.New(t)
	m, err := wire.DecodeShare(wire.EncodeShare(share.Handover{InUseFor: 1500 * time.Nanosecond}))
	is.NoErr(err)
	is.Equal(m.(share.Handover).InUseFor, 2*time.Microsecond)
}

func TestMalformedShareMessagesAreRefused(t *testing.T) {
	answer := func(a *gen.ShareAnswer) *gen.ShareMessage {
		return &gen.ShareMessage{Message: &gen.ShareMessage_Answer{Answer: a}}
	}
	for _, c := range []struct {
		name    string
		message *gen.ShareMessage
	}{
		{name: "empty", message: &gen.ShareMessage{}},
		{name: "negative term", message: answer(&gen.ShareAnswer{TermMicroseconds: -1})},
		{name: "endless confirmation", message: answer(&gen.ShareAnswer{VouchMicroseconds: 1 << 62})},
		{name: "shard out of range", message: answer(&gen.ShareAnswer{ShardGaps: []uint32{4000, 96}})},
		{name: "gap that wraps", message: answer(&gen.ShareAnswer{ShardGaps: []uint32{5, 1<<32 - 1}})},
		{name: "too many shards", message: answer(&gen.ShareAnswer{ShardGaps: make([]uint32, share.Shards+1)})},
		{name: "too many refusals", message: answer(&gen.ShareAnswer{Refused: make([]uint32, share.MaxTotal+1)})},
		{name: "share out of range", message: answer(&gen.ShareAnswer{Refused: []uint32{share.MaxTotal}})},
		{name: "right out of range", message: answer(&gen.ShareAnswer{Rights: []*gen.ShareRight{{Share: share.MaxTotal}}})},
		{name: "too many rights", message: answer(&gen.ShareAnswer{Rights: make([]*gen.ShareRight, share.MaxTotal+1)})},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := wire.DecodeShare(c.message)
			is.New(t).True(errors.Is(err, wire.ErrMalformed))
		})
	}
}

func FuzzDecodeShare(f *testing.F) {
	for _, m := range shareMessages {
		value, err := proto.Marshal(wire.EncodeShare(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		var w gen.ShareMessage
		if proto.Unmarshal(value, &w) != nil {
			return
		}
		m, err := wire.DecodeShare(&w)
		if err != nil {
			return
		}
		again, err := wire.DecodeShare(wire.EncodeShare(m))
		if err != nil || !reflect.DeepEqual(again, m) {
			t.Fatalf("%#v became %#v, %v", m, again, err)
		}
	})
}
