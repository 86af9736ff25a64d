package revision

import "encoding/binary"

// MaximumChunkBytes is how much of a part one message carries, in bytes.
const MaximumChunkBytes = 64 << 10

// Notice names a revision that an instance can serve wholly.
type Notice struct {
	// Number is the head's number; zero means none.
	Number uint64
	// Check is the beginning of the digest of the encoded head.
	Check uint64
}

// NoticeOf names the revision of an encoded head.
func NoticeOf(number uint64, content []byte) Notice {
	d := DigestOf(content)
	return Notice{
		Number: number,
		Check:  binary.BigEndian.Uint64(d[:8]),
	}
}

// Message goes from one instance to another: Announce, HeadRequest, HeadReply,
// PartRequest, PartReply or DelegateRead.
type Message interface{ message() }

// Announce says that the sender can serve a revision.
type Announce struct {
	Notice Notice
}

// HeadRequest asks for the head that a notice names.
type HeadRequest struct {
	Notice Notice
}

// HeadReply answers a HeadRequest.
type HeadReply struct {
	Notice Notice
	// Content is the encoded head as it is in the store; empty if the sender
	// hasn't got it.
	Content []byte
}

// PartRequest asks for a chunk of a part.
type PartRequest struct {
	Digest Digest
	Offset int
}

// PartReply answers a PartRequest.
type PartReply struct {
	Digest Digest
	Offset int
	// Size is that of the whole part; zero if the sender hasn't got it.
	Size    int
	Content []byte
}

// DelegateRead asks the receiver to read the head from the store, since the
// sender should but can't.
type DelegateRead struct{}

func (Announce) message()     {}
func (HeadRequest) message()  {}
func (HeadReply) message()    {}
func (PartRequest) message()  {}
func (PartReply) message()    {}
func (DelegateRead) message() {}
