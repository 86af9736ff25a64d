package revision

import "encoding/binary"

// MaximumChunkBytes is the largest piece of a part that one message carries.
const MaximumChunkBytes = 64 << 10

// Notice identifies a revision that an instance holds completely and can serve.
type Notice struct {
	// Number is the head's number; zero means that there is no revision.
	Number uint64
	// Check is the first eight bytes of the digest of the encoded head. It tells apart
	// different contents under the same number.
	Check uint64
}

// NoticeOf returns the notice of the revision whose encoded head is content.
func NoticeOf(number uint64, content []byte) Notice {
	d := DigestOf(content)
	return Notice{
		Number: number,
		Check:  binary.BigEndian.Uint64(d[:8]),
	}
}

// Message is sent from one instance to another: Announce, HeadRequest, HeadReply,
// PartRequest, PartReply or DelegateRead.
type Message interface{ message() }

// Announce says that the sender can serve a revision.
type Announce struct {
	Notice Notice
}

// HeadRequest asks for the head that the notice identifies.
type HeadRequest struct {
	Notice Notice
}

// HeadReply answers a HeadRequest.
type HeadReply struct {
	Notice Notice
	// Content is the encoded head as it is in the store; empty if the sender doesn't
	// have it.
	Content []byte
}

// PartRequest asks for the chunk of a part that begins at Offset, in bytes.
type PartRequest struct {
	Digest Digest
	Offset int
}

// PartReply answers a PartRequest.
type PartReply struct {
	Digest Digest
	Offset int
	// Size is the size of the whole part in bytes; zero if the sender doesn't have it
	// or the offset is beyond its end.
	Size    int
	Content []byte
}

// DelegateRead asks the receiver to read the head from the store. A watcher sends
// it while it can't reach the store itself.
type DelegateRead struct{}

func (Announce) message()     {}
func (HeadRequest) message()  {}
func (HeadReply) message()    {}
func (PartRequest) message()  {}
func (PartReply) message()    {}
func (DelegateRead) message() {}
