package wire

import (
	"github.com/go-faster/errors"

	"dandelionmux/internal/wire/gen"
	"dandelionmux/pkg/revision"
)

// EncodeRevision converts a message of package revision to its wire form.
func EncodeRevision(m revision.Message) *gen.RevisionMessage {
	out := &gen.RevisionMessage{}
	switch m := m.(type) {
	case revision.Announce:
		out.Body = &gen.RevisionMessage_Announce{
			Announce: &gen.RevisionAnnounce{
				Notice: encodeNotice(m.Notice),
			},
		}
	case revision.HeadRequest:
		out.Body = &gen.RevisionMessage_AskHead{
			AskHead: &gen.RevisionAskHead{
				Notice: encodeNotice(m.Notice),
			},
		}
	case revision.HeadReply:
		out.Body = &gen.RevisionMessage_HeadAnswer{
			HeadAnswer: &gen.RevisionHeadAnswer{
				Notice:  encodeNotice(m.Notice),
				Content: m.Content,
			},
		}
	case revision.PartRequest:
		out.Body = &gen.RevisionMessage_AskPart{
			AskPart: &gen.RevisionAskPart{
				Digest: m.Digest[:],
				Offset: uint32(m.Offset),
			},
		}
	case revision.PartReply:
		out.Body = &gen.RevisionMessage_PartAnswer{
			PartAnswer: &gen.RevisionPartAnswer{
				Digest:  m.Digest[:],
				Offset:  uint32(m.Offset),
				Size:    uint32(m.Size),
				Content: m.Content,
			},
		}
	case revision.DelegateRead:
		out.Body = &gen.RevisionMessage_ReadInstead{
			ReadInstead: &gen.RevisionReadInstead{},
		}
	}
	return out
}

// DecodeRevision converts a message from its wire form. Its errors wrap
// ErrMalformed.
func DecodeRevision(m *gen.RevisionMessage) (revision.Message, error) {
	switch b := m.GetBody().(type) {
	case *gen.RevisionMessage_Announce:
		return revision.Announce{
			Notice: decodeNotice(b.Announce.GetNotice()),
		}, nil
	case *gen.RevisionMessage_AskHead:
		return revision.HeadRequest{
			Notice: decodeNotice(b.AskHead.GetNotice()),
		}, nil
	case *gen.RevisionMessage_HeadAnswer:
		return decodeHeadReply(b.HeadAnswer)
	case *gen.RevisionMessage_AskPart:
		return decodePartRequest(b.AskPart)
	case *gen.RevisionMessage_PartAnswer:
		return decodePartReply(b.PartAnswer)
	case *gen.RevisionMessage_ReadInstead:
		return revision.DelegateRead{}, nil
	}
	return nil, errors.Wrap(ErrMalformed, "revision message without a known body")
}

func encodeNotice(n revision.Notice) *gen.RevisionNotice {
	return &gen.RevisionNotice{
		Number: n.Number,
		Check:  n.Check,
	}
}

func decodeNotice(n *gen.RevisionNotice) revision.Notice {
	return revision.Notice{
		Number: n.GetNumber(),
		Check:  n.GetCheck(),
	}
}

func decodeHeadReply(a *gen.RevisionHeadAnswer) (revision.Message, error) {
	if len(a.GetContent()) > revision.MaximumHeadBytes {
		return nil, errors.Wrapf(ErrMalformed, "head of %d bytes", len(a.GetContent()))
	}
	return revision.HeadReply{
		Notice:  decodeNotice(a.GetNotice()),
		Content: a.GetContent(),
	}, nil
}

func decodePartRequest(a *gen.RevisionAskPart) (revision.Message, error) {
	d, err := decodeDigest(a.GetDigest())
	if err != nil {
		return nil, err
	}
	if a.GetOffset() > revision.MaximumPartBytes {
		return nil, errors.Wrapf(ErrMalformed, "offset %d", a.GetOffset())
	}
	return revision.PartRequest{
		Digest: d,
		Offset: int(a.GetOffset()),
	}, nil
}

func decodePartReply(a *gen.RevisionPartAnswer) (revision.Message, error) {
	d, err := decodeDigest(a.GetDigest())
	if err != nil {
		return nil, err
	}
	if a.GetSize() > revision.MaximumPartBytes || a.GetOffset() > revision.MaximumPartBytes {
		return nil, errors.Wrapf(ErrMalformed, "part of %d bytes at %d", a.GetSize(), a.GetOffset())
	}
	if len(a.GetContent()) > revision.MaximumChunkBytes {
		return nil, errors.Wrapf(ErrMalformed, "chunk of %d bytes", len(a.GetContent()))
	}
	return revision.PartReply{
		Digest:  d,
		Offset:  int(a.GetOffset()),
		Size:    int(a.GetSize()),
		Content: a.GetContent(),
	}, nil
}

func decodeDigest(content []byte) (revision.Digest, error) {
	var d revision.Digest
	if len(content) != len(d) {
		return d, errors.Wrapf(ErrMalformed, "digest of %d bytes", len(content))
	}
	copy(d[:], content)
	return d, nil
}
