package mirror_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/store"
)

// Guards against equal content that counts as different, and different content that counts as
// equal, whatever way it came.
func TestDigestFollowsContent(t *testing.T) {
	is := is.New(t)
	listed, watched := mirror.New(), mirror.New()
	listed.ApplyList(0, []store.Entry{entry("a", 5), entry("c", 6)}, position(8))
	watched.ApplyList(0, []store.Entry{entry("a", 1), entry("b", 2)}, position(2))
	is.True(listed.Digest() != watched.Digest())
	watched.ApplyChanges([]store.Entry{removal("a", 3), entry("a", 5), entry("c", 6), removal("b", 8)}, position(8))
	is.Equal(listed.Digest(), watched.Digest())

	later := mirror.Position{
		Era:     1,
		Counter: 4,
	}
	for _, m := range []*mirror.Mirror{listed, watched} {
		m.ApplyList(0, []store.Entry{entry("c", 4)}, later)
	}
	is.Equal(listed.Digest(), watched.Digest())
	fresh := mirror.New()
	fresh.ApplyList(0, []store.Entry{entry("c", 4)}, later)
	is.Equal(fresh.Digest(), listed.Digest())
}

// Guards against a mirror that stays wrong for good, against lists of the store for a difference
// that ends by itself, and against an instance that lists again and again because another is wrong.
func TestDifferenceIsRemediedOnce(t *testing.T) {
	type step struct {
		at    time.Duration
		equal bool
		want  mirror.Remedy
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{
			name: "for a moment",
			steps: []step{
				{at: time.Second, want: mirror.Nothing{}},
				{at: 1900 * time.Millisecond, want: mirror.Nothing{}},
				{at: 2 * time.Second, equal: true, want: mirror.Nothing{}},
				{at: 3 * time.Second, want: mirror.Nothing{}},
			},
		},
		{
			name: "until listed",
			steps: []step{
				{at: time.Second, want: mirror.Nothing{}},
				{at: 2 * time.Second, want: mirror.Relist{}},
				{at: 3 * time.Second, equal: true, want: mirror.Nothing{}},
			},
		},
		{
			name: "the other is wrong",
			steps: []step{
				{at: time.Second, want: mirror.Nothing{}},
				{at: 2 * time.Second, want: mirror.Relist{}},
				{at: 3 * time.Second, want: mirror.Nothing{}},
				{at: 4 * time.Second, want: mirror.Report{}},
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c mirror.Comparison
			for _, s := range tt.steps {
				is.Equal(c.Compared(s.at, s.equal), s.want)
			}
		})
	}
}
