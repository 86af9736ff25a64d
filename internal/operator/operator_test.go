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

// platform is a stand-in store with a client that tests may stand between.
type platform struct {
	*standin.Store
	client *hooked
}

// hooked calls before ahead of each call and after behind it; after may
// replace the answer.
type hooked struct {
	store.Client
	before func(store.Call)
	after  func(store.Call, store.Answer, error) (store.Answer, error)
}

func (h *hooked) Do(ctx context.Context, call store.Call) (store.Answer, error) {
	if h.before != nil {
		h.before(call)
	}
	answer, err := h.Client.Do(ctx, call)
	if h.after != nil {
		return h.after(call, answer, err)
	}
	return answer, err
}

func newPlatform(t *testing.T) *platform {
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
	return &platform{
		Store:  s,
		client: &hooked{Client: client},
	}
}

func (p *platform) editor(name string, options ...operator.Option) *operator.Editor {
	return operator.New(p.client, append(options, operator.Author(name), operator.RetryDelay(time.Millisecond))...)
}

// base is a document with two organisations and the rate of one.
func base(perSecond float64) document.Document {
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

// begin puts revision 1 in.
func (p *platform) begin(t *testing.T) {
	t.Helper()
	_, err := p.editor("begin").Set(t.Context(), change(0, base(1), document.Organisations, document.Rates))
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
	p := newPlatform(t)
	e := p.editor("a")
	empty, err := e.Read(t.Context())
	is.NoErr(err)
	is.Equal(empty.Head.Number, uint64(0))
	p.begin(t)
	got, err := e.Read(t.Context())
	is.NoErr(err)
	is.Equal(got.Document.Rates, base(1).Rates)
	is.Equal(got.Document.Revision, uint64(1))
	result, err := e.Set(t.Context(), change(1, base(2), document.Rates))
	is.NoErr(err)
	is.Equal(result.Revision, uint64(2))
	past, err := e.ReadAt(t.Context(), 1)
	is.NoErr(err)
	is.Equal(past.Document.Rates, base(1).Rates)
	_, err = e.ReadAt(t.Context(), 7)
	is.True(errors.Is(err, operator.ErrRevisionNotFound))
	list, err := e.Revisions(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 2)
	is.Equal(list[0].Author, "a")
	is.Equal(list[0].Sections, []document.Section{document.Rates})
	is.Equal(len(p.Keys("document/claim/")), 0) // given up
}

func TestSetRefuses(t *testing.T) {
	unknown := base(1)
	unknown.Rates[0].Organisation = "reva"
	tests := []struct {
		name   string
		change operator.Change
		want   error
		text   string
	}{
		{"invalid", change(1, unknown, document.Rates), operator.ErrInvalid, `Rates "reva" Organisation: no organisation is named`},
		{"breaks another section", change(1, document.Document{}, document.Organisations), operator.ErrInvalid, `Rates "rewa" Organisation: no organisation is named`},
		{"no base", change(0, base(2), document.Rates), operator.ErrBaseRequired, "section Rates, last changed in revision 1"},
		{"base ahead", change(9, base(2), document.Rates), operator.ErrRevisionNotFound, "you began from revision 9, but the newest in the store is 1"},
	}
	p := newPlatform(t)
	p.begin(t)
	before, _ := p.Get(revision.HeadKey)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := p.editor("a").Set(t.Context(), tt.change)
			is.True(errors.Is(err, tt.want))
			is.True(strings.Contains(err.Error(), tt.text))
			after, _ := p.Get(revision.HeadKey)
			is.True(bytes.Equal(before, after)) // nothing changed
		})
	}
}

// Another operator's edit goes in between this one's reading and writing.
func TestRaces(t *testing.T) {
	policy := base(1)
	policy.Policy.Floor = 55
	tests := []struct {
		name  string
		other operator.Change
		lost  bool
	}{
		{"another section", change(1, policy, document.PolicySection), false},
		{"the same section", change(1, base(7), document.Rates), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlatform(t)
			p.begin(t)
			var once sync.Once
			p.client.before = func(call store.Call) {
				if !isHeadSwap(call) {
					return
				}
				once.Do(func() {
					// The other's own calls come back here; once keeps them out.
					other := operator.New(p.client.Client, operator.Author("other"))
					_, err := other.Set(t.Context(), tt.other)
					is.NoErr(err)
				})
			}
			result, err := p.editor("a").Set(t.Context(), change(1, base(2), document.Rates))
			got, readErr := p.editor("b").Read(t.Context())
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
			is.Equal(got.Document.Policy.Floor, 55) // both are there
		})
	}
}

// A race over different sections that are each valid alone can be invalid
// together; the later one is told.
func TestRebaseValidatesTheWholeDocument(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	p.begin(t)
	without := base(1)
	without.Organisations = without.Organisations[:1]
	_, err := p.editor("other").Set(t.Context(), change(1, without, document.Organisations))
	is.NoErr(err)
	rates := base(1)
	rates.Rates[0].Organisation = "mehta"
	_, err = p.editor("a").Set(t.Context(), change(1, rates, document.Rates))
	is.True(errors.Is(err, operator.ErrInvalid))
}

func TestManyRacingOperators(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	p.begin(t)
	const each = 5
	var group sync.WaitGroup
	edit := func(name string, make func(i int) operator.Change) {
		group.Go(func() {
			e := p.editor(name)
			for i := range each {
				_, err := e.Set(t.Context(), make(i))
				if err != nil {
					t.Error(name, err)
				}
			}
		})
	}
	edit("rates", func(i int) operator.Change {
		return change(operator.Latest, base(float64(10+i)), document.Rates)
	})
	edit("policy", func(i int) operator.Change {
		d := base(1)
		d.Policy.Floor = 10 + i
		return change(operator.Latest, d, document.PolicySection)
	})
	edit("organisations", func(i int) operator.Change {
		d := base(1)
		d.Organisations = append(d.Organisations, document.Organisation{
			Name: fmt.Sprint("new-", i),
		})
		return change(operator.Latest, d, document.Organisations)
	})
	group.Wait()
	got, err := p.editor("b").Read(t.Context())
	is.NoErr(err)
	is.Equal(got.Head.Number, uint64(1+3*each)) // no edit is lost
	is.Equal(got.Document.Rates[0].PerSecond, 14.0)
	is.Equal(got.Document.Policy.Floor, 14)
	is.Equal(got.Document.Organisations[2].Name, "new-4")
}

// Each write of an edit, one after the other, takes effect but its answer is
// lost: the edit is accepted once all the same.
func TestEachAnswerLostInTurn(t *testing.T) {
	for lost := range 8 {
		t.Run(fmt.Sprint("write ", lost), func(t *testing.T) {
			is := is.New(t)
			p := newPlatform(t)
			p.begin(t)
			writes := 0
			p.client.after = func(call store.Call, answer store.Answer, err error) (store.Answer, error) {
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
			result, err := p.editor("a").Set(t.Context(), change(1, base(2), document.Rates))
			is.NoErr(err)
			is.Equal(result.Revision, uint64(2))
			is.True(!result.Unchanged) // it knows its own write
			got, err := p.editor("b").Read(t.Context())
			is.NoErr(err)
			is.Equal(got.Head.Number, uint64(2)) // not written twice
			is.Equal(got.Document.Rates[0].PerSecond, 2.0)
		})
	}
}

// The head's swap has an unknown end: it took effect and others went on from
// it, or it did not and others came first.
func TestLostAnswerSettledAgainstLaterHeads(t *testing.T) {
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
			p := newPlatform(t)
			p.begin(t)
			direct := p.client.Client
			first := true
			p.client.Client = clientFunc(func(ctx context.Context, call store.Call) (store.Answer, error) {
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
					d := base(float64(20 + i))
					d.Policy.Floor = 20 + i
					_, err := other.Set(ctx, change(operator.Latest, d, tt.section))
					is.NoErr(err)
				}
				return nil, errors.Wrap(store.ErrOutcomeUnknown, "test")
			})
			result, err := p.editor("a").Set(t.Context(), change(1, base(2), document.Rates))
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

// The store goes away at the head's swap. The operator is told what is true,
// and the same command settles it once the store is back.
func TestOutageAtTheSwap(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.StoreFaults
		want   error
		// wantUnchanged is what the same command finds later.
		wantUnchanged bool
	}{
		{"lost after the effect", standin.StoreFaults{LoseAnswers: -1}, operator.ErrUndecided, true},
		{"broken before the effect", standin.StoreFaults{Outage: true}, operator.ErrUndecided, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlatform(t)
			p.begin(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			calls := 0
			p.client.before = func(call store.Call) {
				if isHeadSwap(call) || calls > 0 {
					calls++
				}
				switch calls {
				case 1:
					p.SetFaults(tt.faults)
				case 10:
					cancel() // the operator's time is over
				}
			}
			edit := change(1, base(2), document.Rates)
			_, err := p.editor("a").Set(ctx, edit)
			is.True(errors.Is(err, tt.want))
			p.SetFaults(standin.StoreFaults{})
			p.client.before = nil
			result, err := p.editor("a").Set(t.Context(), edit)
			is.NoErr(err)
			is.Equal(result.Revision, uint64(2))
			is.Equal(result.Unchanged, tt.wantUnchanged)
		})
	}
}

func TestOutageBeforeTheSwapChangesNothing(t *testing.T) {
	for _, faults := range []standin.StoreFaults{{Outage: true}, {Refuse: true}} {
		is := is.New(t)
		p := newPlatform(t)
		p.begin(t)
		p.SetFaults(faults)
		e := p.editor("a")
		_, err := e.Set(t.Context(), change(1, base(2), document.Rates))
		is.True(errors.Is(err, operator.ErrStore))
		_, err = e.Read(t.Context())
		is.True(errors.Is(err, operator.ErrStore))
		p.SetFaults(standin.StoreFaults{})
		got, err := e.Read(t.Context())
		is.NoErr(err)
		is.Equal(got.Head.Number, uint64(1))
	}
}

func TestHistoryIsBoundedAndKeepsItsParts(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	p.begin(t)
	const kept, edits = 3, 10
	e := p.editor("a", operator.History(kept))
	for i := range edits {
		_, err := e.Set(t.Context(), change(operator.Latest, base(float64(i+2)), document.Rates))
		is.NoErr(err)
	}
	list, err := e.Revisions(t.Context())
	is.NoErr(err)
	is.Equal(len(list), kept+1)
	fresh := p.editor("b")
	for _, r := range list {
		past, err := fresh.ReadAt(t.Context(), r.Number)
		is.NoErr(err)
		is.Equal(past.Document.Rates[0].PerSecond, float64(r.Number))
	}
	// One part for Organisations, and one for the Rates of each head.
	is.Equal(len(p.Keys(revision.PartPrefix)), 1+kept+1)
}

// While one writer sweeps, another begins to rely on an old part. The part is
// there when that writer's head names it.
func TestSweepLeavesClaimedParts(t *testing.T) {
	// The other's edit begins at different steps of the sweep.
	for step := range 12 {
		t.Run(fmt.Sprint("step ", step), func(t *testing.T) {
			is := is.New(t)
			p := newPlatform(t)
			p.begin(t)
			e := p.editor("a", operator.History(1))
			_, err := e.Set(t.Context(), change(1, base(2), document.Rates))
			is.NoErr(err)
			direct := p.client.Client
			swapped, calls := false, 0
			back := make(chan error, 1)
			proceed := make(chan struct{})
			p.client.after = func(call store.Call, answer store.Answer, err error) (store.Answer, error) {
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
				// The other goes back to the Rates of revision 1, which this
				// sweep drops, and stops before it replaces the head.
				ready := make(chan struct{})
				var once sync.Once
				other := operator.New(&hooked{
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
					_, err := other.Set(t.Context(), change(operator.Latest, base(1), document.Rates))
					back <- err
				}()
				<-ready
				return answer, err
			}
			_, err = e.Set(t.Context(), change(2, base(3), document.Rates))
			is.NoErr(err)
			close(proceed)
			if calls <= step {
				t.Skip("the sweep has fewer steps")
			}
			is.NoErr(<-back)
			p.client.after = nil
			got, err := p.editor("b").Read(t.Context())
			is.NoErr(err) // no part is missing
			is.Equal(got.Document.Rates[0].PerSecond, 1.0)
		})
	}
}

func TestForget(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	e := p.editor("a")
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
		value, _ := p.Get("dead/10.0.0.1:7000")
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
