package revision

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// handleMessage handles one message from a peer.
func (s *State) handleMessage(now time.Duration, e Received) {
	from := e.From.Address
	switch m := e.Message.(type) {
	case Announce:
		s.handleNotice(from, m.Notice)
	case HeadRequest:
		s.serveHead(from, m)
	case HeadReply:
		s.handleHeadReply(now, from, m)
	case PartRequest:
		s.servePart(from, m)
	case PartReply:
		s.handlePartReply(now, from, m)
	case DelegateRead:
		s.readForPeer(now)
	}
}

// serveHead answers a request for a head. If this instance holds a newer revision, it
// announces that one as well.
func (s *State) serveHead(to instance.Address, m HeadRequest) {
	answer := HeadReply{
		Notice: m.Notice,
	}
	if s.held != nil && s.held.notice == m.Notice {
		answer.Content = s.held.content
	}
	s.send(to, answer)
	if s.held.number() > m.Notice.Number {
		s.send(to, Announce{
			Notice: s.held.notice,
		})
	}
}

// servePart answers a request for a chunk of a part.
func (s *State) servePart(to instance.Address, m PartRequest) {
	content := s.parts[m.Digest]
	answer := PartReply{
		Digest: m.Digest,
		Offset: m.Offset,
	}
	if m.Offset >= 0 && m.Offset < len(content) {
		answer.Size = len(content)
		answer.Content = content[m.Offset:min(m.Offset+MaximumChunkBytes, len(content))]
	}
	s.send(to, answer)
}

// handleHeadReply accepts a requested head. It accepts only content that matches the
// notice of the download, so a peer can't replace it by another head.
func (s *State) handleHeadReply(now time.Duration, from instance.Address, m HeadReply) {
	dl := s.download
	f := dl.findFetch(from, true, Digest{})
	if f == nil || m.Notice != dl.notice {
		return
	}
	if len(m.Content) == 0 {
		s.failFetch(now, dl, f)
		return
	}
	manifest, err := readManifest(m.Content)
	if err != nil || manifest.notice != dl.notice {
		s.report(Corrupt, dl.notice, from, "head doesn't match its notice")
		s.failFetch(now, dl, f)
		return
	}
	dl.removeFetch(f)
	dl.manifest = manifest
}

// handlePartReply appends a chunk to a requested part, and adds the part or requests
// its next chunk.
func (s *State) handlePartReply(now time.Duration, from instance.Address, m PartReply) {
	dl := s.download
	f := dl.findFetch(from, false, m.Digest)
	if f == nil || m.Offset != len(f.received) {
		return
	}
	if len(m.Content) == 0 || !f.matches(m) {
		s.failFetch(now, dl, f)
		return
	}
	f.size = m.Size
	f.received = append(f.received, m.Content...)
	f.attempts = 0
	if len(f.received) < f.size {
		s.sendRequest(now, dl, f)
		return
	}
	if !s.addPart(f.digest, f.received) {
		s.report(Corrupt, dl.notice, from, "part doesn't match its digest")
		s.failFetch(now, dl, f)
		return
	}
	dl.removeFetch(f)
}

// matches reports whether a chunk is within the size limits and belongs to the same
// part as the chunks before.
func (f *fetch) matches(m PartReply) bool {
	if m.Size > MaximumPartBytes || len(m.Content) > MaximumChunkBytes {
		return false
	}
	return (f.size == 0 || f.size == m.Size) && m.Offset+len(m.Content) <= m.Size
}

// addPart keeps the part, and reports false if content is too large or doesn't match
// the digest.
func (s *State) addPart(d Digest, content []byte) bool {
	if len(content) > MaximumPartBytes || DigestOf(content) != d {
		return false
	}
	s.parts[d] = slices.Clip(content)
	return true
}
