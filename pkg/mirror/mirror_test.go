package mirror_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/store"
)

func entry(key string, version int64) store.Entry {
	return store.Entry{
		Key:     key,
		Version: version,
	}
}

func removal(key string, at int64) store.Entry {
	return store.Entry{
		Key:       key,
		RemovedAt: at,
	}
}

func TestOldChangesAreIgnored(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	m.ApplyList([]store.Entry{entry("a", 5), entry("b", 6)}, 10)
	is.Equal(len(m.ApplyChanges([]store.Entry{entry("a", 4)}, 10)), 0)   // older version
	is.Equal(len(m.ApplyChanges([]store.Entry{removal("b", 5)}, 11)), 0) // written since
	is.Equal(len(m.ApplyChanges([]store.Entry{removal("a", 12)}, 12)), 1)
	is.Equal(len(m.ApplyChanges([]store.Entry{entry("a", 11)}, 12)), 0) // removed since
	is.Equal(len(m.ApplyList([]store.Entry{entry("c", 3)}, 9)), 0)      // an old list
	_, ok := m.Entry("b")
	is.True(ok)
}

// This test guards against a mirror that counts as up to date although its watch
// missed changes. Only an answered read confirms the mirror, and only once the
// mirror has reached the counter that the read returned.
func TestReadConfirmsOnceMirrorReachesItsCounter(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	m.ApplyList(nil, 10)
	_, ok := m.ConfirmedAt()
	is.True(!ok)
	m.ConfirmRead(time.Second, 10)
	m.ConfirmRead(2*time.Second, 12) // the store is ahead
	at, ok := m.ConfirmedAt()
	is.True(ok)
	is.Equal(at, time.Second)
	is.True(m.Behind())
	is.True(!m.Stalled(2*time.Second, 400*time.Millisecond))
	is.True(m.Stalled(3*time.Second, 400*time.Millisecond))
	m.ApplyChanges([]store.Entry{entry("a", 12)}, 12)
	at, _ = m.ConfirmedAt()
	is.Equal(at, 2*time.Second)
	is.True(!m.Behind())
}

// model is a store that keeps all its changes.
type model struct {
	counter int64
	entries map[string]int64
	events  []store.Entry
}

func (s *model) write(key string) {
	s.counter++
	s.entries[key] = s.counter
	s.events = append(s.events, entry(key, s.counter))
}

func (s *model) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.counter++
	delete(s.entries, key)
	s.events = append(s.events, removal(key, s.counter))
}

func (s *model) list() []store.Entry {
	var list []store.Entry
	for key, version := range s.entries {
		list = append(list, entry(key, version))
	}
	return list
}

func (s *model) since(counter int64) []store.Entry {
	var list []store.Entry
	for _, e := range s.events {
		if max(e.Version, e.RemovedAt) > counter {
			list = append(list, e)
		}
	}
	return list
}

func checkContent(s *model, m *mirror.Mirror) error {
	if got := len(m.Since(0).Entries); got != len(s.entries) {
		return fmt.Errorf("%d keys, want %d", got, len(s.entries))
	}
	for key, version := range s.entries {
		if e, ok := m.Entry(key); !ok || e.Version != version {
			return fmt.Errorf("%s: %d, want %d", key, e.Version, version)
		}
	}
	return nil
}

// Readers list or watch the store in any order, and a follower copies one or the
// other of them. This test guards against entries that are lost, or come back
// after their removal, when a follower changes from one reader to another.
func TestFollowersConvergeToStoreContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &model{
			entries: map[string]int64{},
		}
		readers := []*mirror.Mirror{mirror.New(), mirror.New()}
		follower := mirror.New()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			reader := readers[rapid.IntRange(0, 1).Draw(t, "reader")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				s.write(key)
			case 2:
				s.remove(key)
			case 3:
				reader.ApplyList(s.list(), s.counter)
			case 4:
				if reader.Counter() > 0 {
					reader.ApplyChanges(s.since(reader.Counter()), s.counter)
				}
			case 5:
				if reader.Counter() >= follower.Counter() {
					follower.ApplyDelta(reader.Since(follower.Counter()))
				}
			}
		}
		s.write("last")
		for _, r := range readers {
			r.ApplyList(s.list(), s.counter)
			if err := checkContent(s, r); err != nil {
				t.Fatal("reader: ", err)
			}
		}
		follower.ApplyDelta(readers[0].Since(follower.Counter()))
		if err := checkContent(s, follower); err != nil {
			t.Fatal("follower: ", err)
		}
	})
}

func TestFollowerAheadOfReaderIgnoresDelta(t *testing.T) {
	is := is.New(t)
	reader, follower := mirror.New(), mirror.New()
	reader.ApplyList([]store.Entry{entry("a", 1)}, 5)
	follower.ApplyList([]store.Entry{entry("b", 6)}, 6)
	is.Equal(len(follower.ApplyDelta(reader.Since(follower.Counter()))), 0)
	is.Equal(follower.Counter(), int64(6))
}

// BenchmarkSince measures what a follower that lacks one change costs its reader,
// in a mirror of 3,000 targets.
func BenchmarkSince(b *testing.B) {
	m := mirror.New()
	const targets = 3000
	entries := make([]store.Entry, targets)
	for i := range entries {
		entries[i] = store.Entry{
			Key:     fmt.Sprintf("targets/desk-%04d", i*7919%targets),
			Version: int64(i + 1),
		}
	}
	m.ApplyList(entries, targets)
	m.ApplyChanges([]store.Entry{{Key: entries[0].Key, Version: targets + 1}}, targets+1)
	b.ReportAllocs()
	for b.Loop() {
		if got := len(m.Since(targets).Entries); got != 1 {
			b.Fatalf("%d entries", got)
		}
	}
}
