package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/store"
)

// plainStore is a store that keeps all its changes, and forgets the oldest when it is compacted.
type plainStore struct {
	at        mirror.Position
	entries   map[string]store.Entry
	events    []store.Entry
	compacted int64
	// earlier is a copy to which the store may be set back.
	earlier *plainStore
}

func (s *plainStore) write(key, value string) {
	s.at.Counter++
	e := store.Entry{
		Key:     key,
		Value:   []byte(value),
		Version: s.at.Counter,
	}
	s.entries[key] = e
	s.events = append(s.events, e)
}

func (s *plainStore) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.at.Counter++
	delete(s.entries, key)
	s.events = append(s.events, store.Entry{
		Key:       key,
		RemovedAt: s.at.Counter,
	})
}

func (s *plainStore) list() []store.Entry {
	var list []store.Entry
	for _, e := range s.entries {
		list = append(list, e)
	}
	return list
}

func (s *plainStore) keep() {
	c := &plainStore{
		at:      s.at,
		entries: map[string]store.Entry{},
	}
	for key, e := range s.entries {
		c.entries[key] = e
	}
	s.earlier = c
}

func (s *plainStore) setBack() {
	if s.earlier == nil {
		return
	}
	era := s.at.Era + 1
	s.at, s.entries, s.events, s.earlier = s.earlier.at, s.earlier.entries, nil, nil
	s.at.Era = era
	s.compacted = s.at.Counter
	s.keep()
}

// watch gives a mirror what changed since its position, or a list if that isn't known any more.
func (s *plainStore) watch(m *mirror.Mirror) {
	after := m.Position()
	if m.Empty() || after.Era != s.at.Era || after.Counter < s.compacted {
		m.ApplyList(0, s.list(), s.at)
		return
	}
	var news []store.Entry
	for _, e := range s.events {
		if max(e.Version, e.RemovedAt) > after.Counter {
			news = append(news, e)
		}
	}
	m.ApplyChanges(news, s.at)
}

// history holds the content of the store at each position, to compare mirrors with.
type history map[mirror.Position]map[string]int64

func (h history) record(s *plainStore) {
	content := map[string]int64{}
	for key, e := range s.entries {
		content[key] = e.Version
	}
	h[s.at] = content
}

// check returns how a mirror's content differs from the store's at its position.
func (h history) check(m *mirror.Mirror) error {
	want := h[m.Position()]
	got := m.Since(mirror.Position{}).Entries
	if len(got) != len(want) {
		return fmt.Errorf("%d entries at %+v, want %d", len(got), m.Position(), len(want))
	}
	for _, e := range got {
		if want[e.Key] != e.Version {
			return fmt.Errorf("%s has version %d at %+v, want %d", e.Key, e.Version, m.Position(), want[e.Key])
		}
	}
	return nil
}

var copySeed = flag.Uint64("copy-seed", 0, "first seed of the test of copies")

// Guards against an instance whose content differs from the store's, by whatever list, watch,
// copy, copy of all content, compressed copy with later changes, removal, new write, compaction,
// new era or restart it came there, and against one that goes back within an era. Fresh seeds:
// go test -run CopiesEqual ./internal/gateway -args -copy-seed 1000000
func TestCopiesEqualTheStore(t *testing.T) {
	const seeds = 500
	for seed := range uint64(seeds) {
		if err := playCopies(rand.New(rand.NewPCG(*copySeed+seed, 0))); err != nil {
			t.Fatalf("seed %d: %v", *copySeed+seed, err)
		}
	}
}

// playCopies plays instances that list and watch a store and copy each other, and returns how
// one of them differs from it.
func playCopies(random *rand.Rand) error {
	const (
		instances = 3
		keys      = 4
		steps     = 120
	)
	s := &plainStore{
		entries: map[string]store.Entry{},
	}
	// The content is large enough to be compressed.
	s.write("large", string(make([]byte, minCompressedBytes)))
	h := history{}
	h.record(s)
	var gateways []*Gateway
	for range instances {
		gateways = append(gateways, &Gateway{
			registry: metrics.NewRegistry(),
			state: &localState{
				mirror: mirror.New(),
			},
		})
	}
	for range steps {
		key := fmt.Sprint(random.IntN(keys))
		g := gateways[random.IntN(instances)]
		from := gateways[random.IntN(instances)]
		before := g.state.mirror.Position()
		switch random.IntN(12) {
		case 0:
			s.write(key, "a")
		case 1:
			s.remove(key)
		case 2, 3:
			s.remove(key)
			h.record(s)
			s.write(key, "b")
		case 4:
			g.state.mirror.ApplyList(0, s.list(), s.at)
		case 5, 6:
			s.watch(g.state.mirror)
		case 7, 8:
			if err := copyBetween(from, g); err != nil {
				return err
			}
		case 9:
			*g = Gateway{
				registry: metrics.NewRegistry(),
				state: &localState{
					mirror: mirror.New(),
				},
			}
			before = mirror.Position{}
			if err := copyBetween(from, g); err != nil {
				return err
			}
		case 10:
			s.compacted = s.at.Counter
			s.keep()
		default:
			if random.IntN(10) == 0 {
				s.setBack()
			}
		}
		h.record(s)
		m := g.state.mirror
		if m.Empty() {
			continue
		}
		if err := h.check(m); err != nil {
			return err
		}
		if at := m.Position(); at.Era < before.Era || at.Era == before.Era && at.Counter < before.Counter {
			return fmt.Errorf("went back from %+v to %+v", before, at)
		}
	}
	return nil
}

// copyBetween has one instance copy another, if that has anything, in the form in which copies
// are sent.
func copyBetween(from, to *Gateway) error {
	if from == to || from.state.mirror.Empty() {
		return nil
	}
	after := to.state.mirror.Position()
	mayCompress := after.Counter == 0
	e, err := from.encodeEntries(after, mayCompress)
	if err != nil {
		return err
	}
	content := e.content
	if e.compressed != nil && mayCompress {
		content = e.compressed
	}
	answer := append(encodeMirrorCopy(mirrorCopy{
		Delta: mirror.Delta{
			At:   e.at,
			Full: e.full,
		},
	}), content...)
	c, err := decodeMirrorCopy(append(answer, e.later...))
	if err != nil {
		return err
	}
	to.state.mirror.ApplyDelta(time.Second, c.Delta)
	return nil
}
