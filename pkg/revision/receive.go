package revision

import (
	"slices"
	"time"

	"dandelionmux/pkg/instance"
)

// receive takes one message from a peer.
func (s *State) receive(now time.Duration, e Received) {
	from := e.From.Address
	switch m := e.Message.(type) {
	case Announce:
		s.noticed(from, m.Notice)
	case HeadRequest:
		s.serveHead(from, m)
	case HeadReply:
		s.takeHead(now, from, m)
	case PartRequest:
		s.servePart(from, m)
	case PartReply:
		s.takeChunk(now, from, m)
	case DelegateRead:
		s.readInstead(now)
	}
}

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

// takeHead checks a head that was asked for. Only the notice's own content is
// taken, so a peer can't put another head in its place.
func (s *State) takeHead(now time.Duration, from instance.Address, m HeadReply) {
	g := s.goal
	f := g.find(from, true, Digest{})
	if f == nil || m.Notice != g.notice {
		return
	}
	if len(m.Content) == 0 {
		s.fail(now, g, f)
		return
	}
	got, err := readManifest(m.Content)
	if err != nil || got.notice != g.notice {
		s.decide(Corrupt, g.notice, from, "head differs from its notice")
		s.fail(now, g, f)
		return
	}
	g.drop(f)
	g.manifest = got
}

// takeChunk adds a chunk to a part that was asked for.
func (s *State) takeChunk(now time.Duration, from instance.Address, m PartReply) {
	g := s.goal
	f := g.find(from, false, m.Digest)
	if f == nil || m.Offset != len(f.got) {
		return
	}
	if len(m.Content) == 0 || !f.fits(m) {
		s.fail(now, g, f)
		return
	}
	f.size = m.Size
	f.got = append(f.got, m.Content...)
	f.tries = 0
	if len(f.got) < f.size {
		s.ask(now, g, f)
		return
	}
	if !s.takePart(f.digest, f.got) {
		s.decide(Corrupt, g.notice, from, "part differs from its digest")
		s.fail(now, g, f)
		return
	}
	g.drop(f)
}

// fits tells whether a chunk belongs to the same part as those before.
func (f *fetch) fits(m PartReply) bool {
	if m.Size > MaximumPartBytes || len(m.Content) > MaximumChunkBytes {
		return false
	}
	return (f.size == 0 || f.size == m.Size) && m.Offset+len(m.Content) <= m.Size
}

// takePart keeps content that matches its digest.
func (s *State) takePart(d Digest, content []byte) bool {
	if len(content) > MaximumPartBytes || DigestOf(content) != d {
		return false
	}
	s.parts[d] = slices.Clip(content)
	return true
}
