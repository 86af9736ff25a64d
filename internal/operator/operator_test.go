package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"dandelionmux/internal/etcd"
	"dandelionmux/internal/operator"
	"dandelionmux/internal/standin"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/revision"
	"dandelionmux/pkg/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// storeFixture is a stand-in store, with a client whose calls tests can intercept.
type storeFixture struct {
	*standin.Store
	client *hookedClient
}

// hookedClient is a client that runs before ahead of each call and after behind it.
// After may replace the answer.
type hookedClient struct {
	store.Client
	before func(store.Call)
	after  func(store.Call, store.Answer, error) (store.Answer, error)
}

func (h *hookedClient) Do(ctx context.Context, call store.Call) (store.Answer, error) {
	if h.before != nil {
		h.before(call)
	}
	answer, err := h.Client.Do(ctx, call)
	if h.after != nil {
		return h.after(call, answer, err)
	}
	return answer, err
}

func newStoreFixture(t *testing.T) *storeFixture {
	t.Helper()
	s := standin.NewStore()
	server := httptest.NewServer(s)
	client, err := etcd.New([]string{server.URL})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.SetFaults(standin.StoreFaults{})
		client.Close()
		server.Close()
	})
	return &storeFixture{
		Store:  s,
		client: &hookedClient{Client: client},
	}
}

func (f *storeFixture) editor(name string, options ...operator.Option) *operator.Editor {
	return operator.New(f.client, append(options, operator.Author(name), operator.RetryDelay(time.Millisecond))...)
}

// testDocument returns a document with two organisations and a rate for one of them.
func testDocument(perSecond float64) document.Document {
	return document.Document{
		Organisations: []document.Organisation{
			{Name: "rewa"},
			{Name: "mehta"},
		},
		Rates: []document.Rate{{
			Organisation: "rewa",
			PerSecond:    perSecond,
			Burst:        1,
		}},
		Policy: document.DefaultPolicy(),
	}
}

func change(revision uint64, d document.Document, sections ...document.Section) operator.Change {
	return operator.Change{
		Sections: sections,
		Document: d,
		Base:     revision,
	}
}

// writeFirstRevision writes revision 1.
func (f *storeFixture) writeFirstRevision(t *testing.T) {
	t.Helper()
	_, err := f.editor("begin").Set(t.Context(), change(0, testDocument(1), document.Organisations, document.Rates))
	if err != nil {
		t.Fatal(err)
	}
}

func isHeadSwap(call store.Call) bool {
	swap, ok := call.(store.Swap)
	return ok && swap.Key == revision.HeadKey
}

func TestSetAndReadBack(t *testing.T) {
	is := is.New(t)
	f := newStoreFixture(t)
	e := f.editor("a")
	empty, err := e.Read(t.Context())
	is.NoErr(err)
	is.Equal(empty.Head.Number, uint64(0))
	f.writeFirstRevision(t)
	got, err := e.Read(t.Context())
	is.NoErr(err)
	is.Equal(got.Document.Rates, testDocument(1).Rates)
	is.Equal(got.Document.Revision, uint64(1))
	result, err := e.Set(t.Context(), change(1, testDocument(2), document.Rates))
	is.NoErr(err)
	is.Equal(result.Revision, uint64(2))
	past, err := e.ReadAt(t.Context(), 1)
	is.NoErr(err)
	is.Equal(past.Document.Rates, testDocument(1).Rates)
	_, err = e.ReadAt(t.Context(), 7)
	is.True(errors.Is(err, operator.ErrRevisionNotFound))
	revisions, err := e.Revisions(t.Context())
	is.NoErr(err)
	is.Equal(len(revisions), 2)
	is.Equal(revisions[0].Author, "a")
	is.Equal(revisions[0].Sections, []document.Section{document.Rates})
	is.Equal(len(f.Keys("document/claim/")), 0) // all claims are released
}

func TestSetRefusesInvalidEdits(t *testing.T) {
	unknown := testDocument(1)
	unknown.Rates[0].Organisation = "reva"
	tests := []struct {
		name   string
		change operator.Change
		want   error
		text   string
	}{
		{"invalid", change(1, unknown, document.Rates), operator.ErrInvalid, `Rates "reva" Organisation: no organisation is named`},
		{"breaks another section", change(1, document.Document{}, document.Organisations), operator.ErrInvalid, `Rates "rewa" Organisation: no organisation is named`},
		{"no base", change(0, testDocument(2), document.Rates), operator.ErrBaseRequired, "section Rates, last changed in revision 1"},
		{"base ahead", change(9, testDocument(2), document.Rates), operator.ErrRevisionNotFound, "you began from revision 9, but the newest in the store is 1"},
	}
	f := newStoreFixture(t)
	f.writeFirstRevision(t)
	before, _ := f.Get(revision.HeadKey)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := f.editor("a").Set(t.Context(), tt.change)
			is.True(errors.Is(err, tt.want))
			is.True(strings.Contains(err.Error(), tt.text))
			after, _ := f.Get(revision.HeadKey)
			is.True(bytes.Equal(before, after)) // nothing changed
		})
	}
}

// Another operator replaces the head between this edit's read and its swap. The
// edit is rebased if other sections changed, and fails if the same one changed.
func TestConcurrentEdits(t *testing.T) {
	policy := testDocument(1)
	policy.Policy.Floor = 55
	tests := []struct {
		name  string
		other operator.Change
		lost  bool
	}{
		{"another section", change(1, policy, document.PolicySection), false},
		{"the same section", change(1, testDocument(7), document.Rates), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newStoreFixture(t)
			f.writeFirstRevision(t)
			var once sync.Once
			f.client.before = func(call store.Call) {
				if !isHeadSwap(call) {
					return
				}
				once.Do(func() {
					// The other editor uses the client without the hook.
					other := operator.New(f.client.Client, operator.Author("other"))
					_, err := other.Set(t.Context(), tt.other)
					is.NoErr(err)
				})
			}
			result, err := f.editor("a").Set(t.Context(), change(1, testDocument(2), document.Rates))
			got, readErr := f.editor("b").Read(t.Context())
			is.NoErr(readErr)
			if tt.lost {
				var lost *operator.LostRace
				is.True(errors.As(err, &lost))
				is.Equal(lost.Winner.Number, uint64(2))
				is.Equal(lost.Winner.Author, "other")
				is.Equal(got.Document.Rates[0].PerSecond, 7.0) // the winner's
				return
			}
			is.NoErr(err)
			is.Equal(result.Revision, uint64(3))
			is.Equal(result.Rebased, 1)
			is.Equal(got.Document.Rates[0].PerSecond, 2.0)
			is.Equal(got.Document.Policy.Floor, 55) // both edits are in the document
		})
	}
}

// Two edits of different sections that are each valid alone can be invalid
// together. The later one is refused.
func TestRebaseValidatesTheWholeDocument(t *testing.T) {
	is := is.New(t)
	f := newStoreFixture(t)
	f.writeFirstRevision(t)
	without := testDocument(1)
	without.Organisations = without.Organisations[:1]
	_, err := f.editor("other").Set(t.Context(), change(1, without, document.Organisations))
	is.NoErr(err)
	rates := testDocument(1)
	rates.Rates[0].Organisation = "mehta"
	_, err = f.editor("a").Set(t.Context(), change(1, rates, document.Rates))
	is.True(errors.Is(err, operator.ErrInvalid))
}

func TestManyConcurrentEditors(t *testing.T) {
	is := is.New(t)
	f := newStoreFixture(t)
	f.writeFirstRevision(t)
	const each = 5
	var group sync.WaitGroup
	startEditor := func(name string, makeChange func(i int) operator.Change) {
		group.Go(func() {
			e := f.editor(name)
			for i := range each {
				_, err := e.Set(t.Context(), makeChange(i))
				if err != nil {
					t.Error(name, err)
				}
			}
		})
	}
	startEditor("rates", func(i int) operator.Change {
		return change(operator.Latest, testDocument(float64(10+i)), document.Rates)
	})
	startEditor("policy", func(i int) operator.Change {
		d := testDocument(1)
		d.Policy.Floor = 10 + i
		return change(operator.Latest, d, document.PolicySection)
	})
	startEditor("organisations", func(i int) operator.Change {
		d := testDocument(1)
		d.Organisations = append(d.Organisations, document.Organisation{
			Name: fmt.Sprint("new-", i),
		})
		return change(operator.Latest, d, document.Organisations)
	})
	group.Wait()
	got, err := f.editor("b").Read(t.Context())
	is.NoErr(err)
	is.Equal(got.Head.Number, uint64(1+3*each)) // no edit is lost
	is.Equal(got.Document.Rates[0].PerSecond, 14.0)
	is.Equal(got.Document.Policy.Floor, 14)
	is.Equal(got.Document.Organisations[2].Name, "new-4")
}

// One write of the edit takes effect but its answer is lost; each write of the
// edit is tried in turn. The edit has to be applied exactly once.
func TestLostAnswerOfEachWrite(t *testing.T) {
	for lost := range 8 {
		t.Run(fmt.Sprint("write ", lost), func(t *testing.T) {
			is := is.New(t)
			f := newStoreFixture(t)
			f.writeFirstRevision(t)
			writes := 0
			f.client.after = func(call store.Call, answer store.Answer, err error) (store.Answer, error) {
				switch call.(type) {
				case store.Get, store.List:
					return answer, err
				}
				writes++
				if writes-1 == lost {
					return nil, errors.Wrap(store.ErrOutcomeUnknown, "test")
				}
				return answer, err
			}
			result, err := f.editor("a").Set(t.Context(), change(1, testDocument(2), document.Rates))
			is.NoErr(err)
			is.Equal(result.Revision, uint64(2))
			is.True(!result.Unchanged) // the editor recognises its own write
			got, err := f.editor("b").Read(t.Context())
			is.NoErr(err)
			is.Equal(got.Head.Number, uint64(2)) // not written twice
			is.Equal(got.Document.Rates[0].PerSecond, 2.0)
		})
	}
}

// The answer to the head's swap is lost, and other operators write heads before
// the editor reads again. The editor has to find out whether its swap took
// effect before those heads.
func TestLostAnswerResolvedFromLaterHeads(t *testing.T) {
	tests := []struct {
		name     string
		effect   bool
		others   int
		section  document.Section
		want     uint64
		wantLost bool
	}{
		{"took effect, then others", true, 3, document.PolicySection, 2, false},
		{"took effect, then others on the same section", true, 2, document.Rates, 2, false},
		{"no effect, others first", false, 2, document.PolicySection, 4, false},
		{"no effect, others first on the same section", false, 2, document.Rates, 0, true},
		{"no effect, nobody else", false, 0, document.Rates, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newStoreFixture(t)
			f.writeFirstRevision(t)
			direct := f.client.Client
			first := true
			f.client.Client = clientFunc(func(ctx context.Context, call store.Call) (store.Answer, error) {
				if !isHeadSwap(call) || !first {
					return direct.Do(ctx, call)
				}
				first = false
				if tt.effect {
					_, err := direct.Do(ctx, call)
					is.NoErr(err)
				}
				other := operator.New(direct, operator.Author("other"))
				for i := range tt.others {
					d := testDocument(float64(20 + i))
					d.Policy.Floor = 20 + i
					_, err := other.Set(ctx, change(operator.Latest, d, tt.section))
					is.NoErr(err)
				}
				return nil, errors.Wrap(store.ErrOutcomeUnknown, "test")
			})
			result, err := f.editor("a").Set(t.Context(), change(1, testDocument(2), document.Rates))
			var lost *operator.LostRace
			is.Equal(errors.As(err, &lost), tt.wantLost)
			if !tt.wantLost {
				is.NoErr(err)
				is.Equal(result.Revision, tt.want)
				is.True(!result.Unchanged)
			}
		})
	}
}

type clientFunc func(context.Context, store.Call) (store.Answer, error)

func (f clientFunc) Do(ctx context.Context, call store.Call) (store.Answer, error) {
	return f(ctx, call)
}

// The store becomes unreachable during the head's swap. The edit fails with
// ErrUndecided, and the same edit finds out or succeeds once the store is back.
func TestOutageAtTheSwap(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.StoreFaults
		want   error
		// wantUnchanged is the result's Unchanged when the edit is repeated.
		wantUnchanged bool
	}{
		{"lost after the effect", standin.StoreFaults{LoseAnswers: -1}, operator.ErrUndecided, true},
		{"broken before the effect", standin.StoreFaults{Outage: true}, operator.ErrUndecided, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newStoreFixture(t)
			f.writeFirstRevision(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			calls := 0
			f.client.before = func(call store.Call) {
				if isHeadSwap(call) || calls > 0 {
					calls++
				}
				switch calls {
				case 1:
					f.SetFaults(tt.faults)
				case 10:
					cancel() // the operator gives up
				}
			}
			edit := change(1, testDocument(2), document.Rates)
			_, err := f.editor("a").Set(ctx, edit)
			is.True(errors.Is(err, tt.want))
			f.SetFaults(standin.StoreFaults{})
			f.client.before = nil
			result, err := f.editor("a").Set(t.Context(), edit)
			is.NoErr(err)
			is.Equal(result.Revision, uint64(2))
			is.Equal(result.Unchanged, tt.wantUnchanged)
		})
	}
}

func TestOutageBeforeTheSwapChangesNothing(t *testing.T) {
	for _, faults := range []standin.StoreFaults{{Outage: true}, {Refuse: true}} {
		is := is.New(t)
		f := newStoreFixture(t)
		f.writeFirstRevision(t)
		f.SetFaults(faults)
		e := f.editor("a")
		_, err := e.Set(t.Context(), change(1, testDocument(2), document.Rates))
		is.True(errors.Is(err, operator.ErrStore))
		_, err = e.Read(t.Context())
		is.True(errors.Is(err, operator.ErrStore))
		f.SetFaults(standin.StoreFaults{})
		got, err := e.Read(t.Context())
		is.NoErr(err)
		is.Equal(got.Head.Number, uint64(1))
	}
}

func TestHistoryIsBoundedAndKeepsItsParts(t *testing.T) {
	is := is.New(t)
	f := newStoreFixture(t)
	f.writeFirstRevision(t)
	const kept, edits = 3, 10
	e := f.editor("a", operator.History(kept))
	for i := range edits {
		_, err := e.Set(t.Context(), change(operator.Latest, testDocument(float64(i+2)), document.Rates))
		is.NoErr(err)
	}
	revisions, err := e.Revisions(t.Context())
	is.NoErr(err)
	is.Equal(len(revisions), kept+1)
	fresh := f.editor("b")
	for _, r := range revisions {
		past, err := fresh.ReadAt(t.Context(), r.Number)
		is.NoErr(err)
		is.Equal(past.Document.Rates[0].PerSecond, float64(r.Number))
	}
	// One part for Organisations, and one for the Rates of each head.
	is.Equal(len(f.Keys(revision.PartPrefix)), 1+kept+1)
}

// While one writer trims the history, another starts an edit that references a
// part which the first is about to remove. The part has to exist when the second
// writer's head references it.
func TestTrimmingKeepsClaimedParts(t *testing.T) {
	// The second writer's edit starts at each call of the trimming in turn.
	for step := range 12 {
		t.Run(fmt.Sprint("step ", step), func(t *testing.T) {
			is := is.New(t)
			f := newStoreFixture(t)
			f.writeFirstRevision(t)
			e := f.editor("a", operator.History(1))
			_, err := e.Set(t.Context(), change(1, testDocument(2), document.Rates))
			is.NoErr(err)
			direct := f.client.Client
			swapped, calls := false, 0
			otherResult := make(chan error, 1)
			proceed := make(chan struct{})
			f.client.after = func(call store.Call, answer store.Answer, err error) (store.Answer, error) {
				if isHeadSwap(call) {
					swapped = true
				}
				if !swapped {
					return answer, err
				}
				calls++
				if calls != step+1 {
					return answer, err
				}
				// The other editor restores the Rates of revision 1, which are
				// being removed, and stops before it replaces the head.
				ready := make(chan struct{})
				var once sync.Once
				other := operator.New(&hookedClient{
					Client: direct,
					before: func(call store.Call) {
						if isHeadSwap(call) {
							once.Do(func() {
								close(ready)
								<-proceed
							})
						}
					},
				}, operator.Author("other"))
				go func() {
					_, err := other.Set(t.Context(), change(operator.Latest, testDocument(1), document.Rates))
					otherResult <- err
				}()
				<-ready
				return answer, err
			}
			_, err = e.Set(t.Context(), change(2, testDocument(3), document.Rates))
			is.NoErr(err)
			close(proceed)
			if calls <= step {
				t.Skip("trimming the history takes fewer calls")
			}
			is.NoErr(<-otherResult)
			f.client.after = nil
			got, err := f.editor("b").Read(t.Context())
			is.NoErr(err) // no part is missing
			is.Equal(got.Document.Rates[0].PerSecond, 1.0)
		})
	}
}

func TestDeclareDead(t *testing.T) {
	is := is.New(t)
	f := newStoreFixture(t)
	e := f.editor("a")
	tests := []struct {
		incarnation uint64
		want        string
	}{
		{5, "5"},
		{3, "5"}, // never lowered
		{9, "9"},
	}
	for _, tt := range tests {
		is.NoErr(e.DeclareDead(t.Context(), instance.ID{
			Address:     "10.0.0.1:7000",
			Incarnation: tt.incarnation,
		}))
		value, _ := f.Get("dead/10.0.0.1:7000")
		is.Equal(string(value), tt.want)
	}
	id, err := operator.DecodeDead(store.Entry{
		Key:   "dead/10.0.0.1:7000",
		Value: []byte("9"),
	})
	is.NoErr(err)
	is.Equal(id, instance.ID{
		Address:     "10.0.0.1:7000",
		Incarnation: 9,
	})
	for _, bad := range []store.Entry{{Key: "dead/"}, {Key: "dead/a", Value: []byte("x")}, {Key: "a", Value: []byte("1")}} {
		_, err := operator.DecodeDead(bad)
		is.True(errors.Is(err, operator.ErrDocument))
	}
}
