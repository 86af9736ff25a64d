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

// position returns a position in the first era.
func position(counter int64) mirror.Position {
	return mirror.Position{
		Counter: counter,
	}
}

func TestOldChangesAreIgnored(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	m.ApplyList(0, []store.Entry{entry("a", 5), entry("b", 6)}, position(10))
	is.Equal(len(m.ApplyChanges([]store.Entry{entry("a", 4)}, position(10))), 0)   // older version
	is.Equal(len(m.ApplyChanges([]store.Entry{removal("b", 5)}, position(11))), 0) // written since
	is.Equal(len(m.ApplyChanges([]store.Entry{removal("a", 12)}, position(12))), 1)
	is.Equal(len(m.ApplyChanges([]store.Entry{entry("a", 11)}, position(12))), 0) // removed since
	is.Equal(len(m.ApplyList(0, []store.Entry{entry("c", 3)}, position(9))), 0)   // an old list
	_, ok := m.Entry("b")
	is.True(ok)
}

// This test guards against a mirror that counts as up to date although its watch
// missed changes. Only an answered read confirms the mirror, and only once the
// mirror has reached the counter that the read returned.
func TestReadConfirmsOnceMirrorReachesItsCounter(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	m.ApplyList(0, nil, position(10))
	_, ok := m.ConfirmedAt()
	is.True(!ok)
	m.ConfirmRead(time.Second, position(10))
	m.ConfirmRead(2*time.Second, position(12)) // the store is ahead
	at, ok := m.ConfirmedAt()
	is.True(ok)
	is.Equal(at, time.Second)
	is.True(m.Behind())
	is.True(!m.Stalled(2*time.Second, 400*time.Millisecond))
	is.True(m.Stalled(3*time.Second, 400*time.Millisecond))
	m.ApplyChanges([]store.Entry{entry("a", 12)}, position(12))
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
	if got := len(m.Since(position(0)).Entries); got != len(s.entries) {
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
				reader.ApplyList(0, s.list(), position(s.counter))
			case 4:
				if !reader.Empty() {
					reader.ApplyChanges(s.since(reader.Position().Counter), position(s.counter))
				}
			case 5:
				if !follower.IsAfter(reader.Position()) {
					follower.ApplyDelta(0, reader.Since(follower.Position()))
				}
			}
		}
		s.write("last")
		for _, r := range readers {
			r.ApplyList(0, s.list(), position(s.counter))
			if err := checkContent(s, r); err != nil {
				t.Fatal("reader: ", err)
			}
		}
		follower.ApplyDelta(0, readers[0].Since(follower.Position()))
		if err := checkContent(s, follower); err != nil {
			t.Fatal("follower: ", err)
		}
	})
}

func TestFollowerAheadOfReaderIgnoresDelta(t *testing.T) {
	is := is.New(t)
	reader, follower := mirror.New(), mirror.New()
	reader.ApplyList(0, []store.Entry{entry("a", 1)}, position(5))
	follower.ApplyList(0, []store.Entry{entry("b", 6)}, position(6))
	is.Equal(len(follower.ApplyDelta(0, reader.Since(follower.Position()))), 0)
	is.Equal(follower.Position(), position(6))
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
	m.ApplyList(0, entries, position(targets))
	m.ApplyChanges([]store.Entry{{Key: entries[0].Key, Version: targets + 1}}, position(targets+1))
	b.ReportAllocs()
	for b.Loop() {
		if got := len(m.Since(position(targets)).Entries); got != 1 {
			b.Fatalf("%d entries", got)
		}
	}
}

// storedAs returns an entry with a value.
func storedAs(key, value string, version int64) store.Entry {
	return store.Entry{
		Key:     key,
		Value:   []byte(value),
		Version: version,
	}
}

// Guards against a mirror that keeps what a store which was set back has lost, or that takes
// a counter which is given out twice for one that it has reached.
func TestMirrorFollowsAStoreThatWasSetBack(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	m.ApplyList(0, []store.Entry{storedAs("a", "old", 3), storedAs("b", "x", 4), storedAs("c", "x", 5)}, position(5))
	m.ApplyChanges([]store.Entry{storedAs("a", "new", 9), storedAs("d", "x", 10)}, position(10))
	m.ConfirmRead(time.Second, position(10))
	setBack := mirror.Position{
		Era:     1,
		Counter: 7,
	}
	is.Equal(len(m.ApplyChanges([]store.Entry{storedAs("e", "x", 7)}, setBack)), 0) // needs a list
	m.ConfirmRead(2*time.Second, setBack)
	is.True(m.Behind()) // although the counter is lower
	confirmed, _ := m.ConfirmedAt()
	is.Equal(confirmed, time.Second)

	changed := m.ApplyList(2*time.Second, []store.Entry{storedAs("a", "old", 3), storedAs("b", "x", 4), storedAs("e", "x", 7)}, setBack)
	keys := map[string]bool{}
	for _, e := range changed {
		keys[e.Key] = true
	}
	is.Equal(keys, map[string]bool{"a": true, "c": true, "d": true, "e": true}) // b is as it was
	is.Equal(m.Position(), setBack)
	is.Equal(len(m.ApplyList(2*time.Second, nil, position(99))), 0) // a late answer of the old era
	is.Equal(len(m.ApplyChanges([]store.Entry{storedAs("a", "newer", 8)}, mirror.Position{
		Era:     1,
		Counter: 8,
	})), 1) // counter 8 has been given out before
}

// Guards against a configuration that counts as the newest although the store may have lost
// a newer one that hasn't been written again.
func TestTrustStandsStillUntilLostEntriesAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	m.ApplyList(0, nil, position(5))
	m.ConfirmRead(time.Second, position(5))
	setBack := mirror.Position{
		Era:     1,
		Counter: 4,
	}
	m.ApplyList(3*time.Second, nil, setBack)
	for _, sentAt := range []time.Duration{3 * time.Second, 4 * time.Second} {
		m.ConfirmRead(sentAt, setBack)
		confirmed, _ := m.ConfirmedAt()
		is.Equal(confirmed, sentAt)
		trusted, ok := m.TrustedAt()
		is.True(ok)
		is.Equal(trusted, time.Second)
	}
	m.ConfirmRead(5*time.Second, setBack)
	trusted, _ := m.TrustedAt()
	is.Equal(trusted, 5*time.Second)
}

// Guards against followers that copy a reader of another era by counters.
func TestFollowersOfAnotherEraGetAllOrNothing(t *testing.T) {
	is := is.New(t)
	setBack := mirror.Position{
		Era:     1,
		Counter: 4,
	}
	reader, follower := mirror.New(), mirror.New()
	reader.ApplyList(0, []store.Entry{storedAs("a", "x", 3)}, setBack)
	follower.ApplyList(0, []store.Entry{storedAs("a", "y", 8), storedAs("b", "y", 9)}, position(9))
	is.True(reader.IsAfter(follower.Position()))
	is.Equal(len(reader.ApplyDelta(0, follower.Since(reader.Position()))), 0) // an old era
	is.Equal(len(follower.ApplyDelta(0, reader.Since(follower.Position()))), 2)
	is.Equal(follower.Position(), setBack)
}

// Guards against an instance that starts while the store is set back and takes the first content
// that it sees for all that was ever written.
func TestFirstContentOfALaterEraIsTrustedLater(t *testing.T) {
	const eraKey = "era"
	laterEra := mirror.Position{
		Era:     2,
		Counter: 9,
	}
	tests := []struct {
		name     string
		content  []store.Entry
		at       mirror.Position
		trusted  bool
		recorded bool
	}{
		{
			name:    "never set back",
			at:      position(9),
			trusted: true,
		},
		{
			name: "no record",
			at:   laterEra,
		},
		{
			name:    "record of an earlier era",
			content: []store.Entry{storedAs(eraKey, "1", 4)},
			at:      laterEra,
		},
		{
			name:     "record of this era",
			content:  []store.Entry{storedAs(eraKey, "2", 8)},
			at:       laterEra,
			trusted:  true,
			recorded: true,
		},
		{
			name:    "record that can't be read",
			content: []store.Entry{storedAs(eraKey, "x", 8)},
			at:      laterEra,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := mirror.New(mirror.WithEraKey(eraKey))
			m.ApplyDelta(time.Second, mirror.Delta{
				Full:    true,
				Entries: tt.content,
				At:      tt.at,
			})
			m.ConfirmRead(2*time.Second, tt.at)
			_, trusted := m.TrustedAt()
			is.Equal(trusted, tt.trusted)
			_, unrecorded := m.UnrecordedEra()
			is.True(!unrecorded)
			m.ConfirmRead(3*time.Second, tt.at)
			at, trusted := m.TrustedAt()
			is.True(trusted)
			is.Equal(at, 3*time.Second)
			record, unrecorded := m.UnrecordedEra()
			is.Equal(unrecorded, tt.at.Era > 0 && !tt.recorded)
			if unrecorded {
				is.Equal(string(record.Value), "2")
				old, _ := m.Entry(eraKey)
				is.Equal(record.Version, old.Version)
			}
		})
	}
}

// Guards against a follower that keeps a key which was removed, because its reader got no changes
// while the key was written and removed, and so took the removal for nothing new.
func TestRemovalOfAKeyThatTheReaderNeverHadReachesFollowers(t *testing.T) {
	is := is.New(t)
	reader, follower := mirror.New(), mirror.New()
	reader.ApplyList(0, nil, position(2))
	follower.ApplyList(0, []store.Entry{entry("a", 4)}, position(4))
	is.Equal(len(reader.ApplyChanges([]store.Entry{removal("a", 7)}, position(7))), 0)
	is.Equal(len(follower.ApplyDelta(0, reader.Since(follower.Position()))), 1)
	_, ok := follower.Entry("a")
	is.True(!ok)
}

// Guards against a copy without a key that was removed and written again.
func TestLatestKeepsWhatWasWrittenAgain(t *testing.T) {
	tests := []struct {
		name    string
		entries []store.Entry
		want    []store.Entry
	}{
		{
			name:    "written again, the removal listed last",
			entries: []store.Entry{entry("a", 3), entry("a", 9), removal("a", 8)},
			want:    []store.Entry{entry("a", 9)},
		},
		{
			name:    "written again, the removal listed first",
			entries: []store.Entry{removal("a", 8), entry("a", 9)},
			want:    []store.Entry{entry("a", 9)},
		},
		{
			name:    "removed",
			entries: []store.Entry{entry("a", 3), entry("b", 4), removal("a", 8)},
			want:    []store.Entry{entry("b", 4)},
		},
		{
			name:    "twice the same",
			entries: []store.Entry{entry("a", 3), entry("a", 3)},
			want:    []store.Entry{entry("a", 3)},
		},
		{
			name:    "removed twice",
			entries: []store.Entry{entry("a", 3), removal("a", 5), entry("a", 6), removal("a", 7)},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(append([]store.Entry(nil), mirror.Latest(tt.entries)...), tt.want)
		})
	}
}

// Guards against instances of earlier builds that lose a key which was removed and written again:
// of two entries of a key they take the last.
func TestDeltaNamesRemovalsFirst(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	m.ApplyList(0, []store.Entry{entry("a", 1), entry("b", 2)}, position(2))
	m.ApplyChanges([]store.Entry{removal("a", 3), removal("b", 4), entry("a", 5)}, position(5))
	is.Equal(m.Since(position(2)).Entries, []store.Entry{removal("a", 3), removal("b", 4), entry("a", 5)})
}
