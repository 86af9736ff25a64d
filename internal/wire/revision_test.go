package wire_test

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"dandelionmux/internal/wire"
	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/revision"
)

func revisionMessages() []revision.Message {
	n := revision.Notice{
		Number: 3,
		Check:  4,
	}
	d := revision.DigestOf([]byte("part"))
	return []revision.Message{
		revision.Announce{
			Notice: n,
		},
		revision.HeadRequest{
			Notice: n,
		},
		revision.HeadReply{
			Notice:  n,
			Content: []byte("head"),
		},
		revision.PartRequest{
			Digest: d,
			Offset: 5,
		},
		revision.PartReply{
			Digest:  d,
			Offset:  1,
			Size:    4,
			Content: []byte("art"),
		},
		revision.DelegateRead{},
	}
}

func TestRevisionRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, want := range revisionMessages() {
		content, err := proto.Marshal(wire.EncodeRevision(want))
		is.NoErr(err)
		var decoded gen.RevisionMessage
		is.NoErr(proto.Unmarshal(content, &decoded))
		got, err := wire.DecodeRevision(&decoded)
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func TestDecodeRevisionRefusesMalformed(t *testing.T) {
	digest := make([]byte, 32)
	tests := []struct {
		name    string
		message *gen.RevisionMessage
	}{
		{
			name:    "no kind",
			message: &gen.RevisionMessage{},
		},
		{
			name: "large head",
			message: &gen.RevisionMessage{
				Body: &gen.RevisionMessage_HeadAnswer{
					HeadAnswer: &gen.RevisionHeadAnswer{
						Content: make([]byte, revision.MaximumHeadBytes+1),
					},
				},
			},
		},
		{
			name: "short digest in an ask",
			message: &gen.RevisionMessage{
				Body: &gen.RevisionMessage_AskPart{
					AskPart: &gen.RevisionAskPart{
						Digest: digest[1:],
					},
				},
			},
		},
		{
			name: "offset",
			message: &gen.RevisionMessage{
				Body: &gen.RevisionMessage_AskPart{
					AskPart: &gen.RevisionAskPart{
						Digest: digest,
						Offset: revision.MaximumPartBytes + 1,
					},
				},
			},
		},
		{
			name: "short digest in an answer",
			message: &gen.RevisionMessage{
				Body: &gen.RevisionMessage_PartAnswer{},
			},
		},
		{
			name: "large part",
			message: &gen.RevisionMessage{
				Body: &gen.RevisionMessage_PartAnswer{
					PartAnswer: &gen.RevisionPartAnswer{
						Digest: digest,
						Size:   revision.MaximumPartBytes + 1,
					},
				},
			},
		},
		{
			name: "large chunk",
			message: &gen.RevisionMessage{
				Body: &gen.RevisionMessage_PartAnswer{
					PartAnswer: &gen.RevisionPartAnswer{
						Digest:  digest,
						Content: make([]byte, revision.MaximumChunkBytes+1),
					},
				},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := wire.DecodeRevision(tt.message)
			is.New(t).True(errors.Is(err, wire.ErrMalformed))
		})
	}
}

func FuzzDecodeRevision(f *testing.F) {
	for _, m := range revisionMessages() {
		content, err := proto.Marshal(wire.EncodeRevision(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var decoded gen.RevisionMessage
		if proto.Unmarshal(content, &decoded) != nil {
			return
		}
		m, err := wire.DecodeRevision(&decoded)
		if err != nil {
			return
		}
		again, err := wire.DecodeRevision(wire.EncodeRevision(m))
		if err != nil {
			t.Fatal(err)
		}
		is.New(t).Equal(again, m)
	})
}
