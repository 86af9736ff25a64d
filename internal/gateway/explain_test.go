package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/internal/gateway"
	"dandelionmux/internal/standin"
)

// Guards against an explanation that differs from what requests meet, or that counts as a request.
func TestExplainTellsOutcomeAndChangesNothing(t *testing.T) {
	is := is.New(t)
	f := newSlotFleet(t, 1, 2, 0)
	g := f.instances[0]
	f.areServed(1)
	f.awaitIdle()
	before := f.counters(g)
	explain := func(g *gateway.Gateway, path, organisation string) string {
		answer, err := http.Get("http://" + g.MetricsAddress() + "/explain?Path=" + url.QueryEscape(path) + "&Organisation=" + organisation)
		is.NoErr(err)
		defer func() { _ = answer.Body.Close() }()
		text, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		return string(text)
	}
	for _, tt := range []struct{ path, organisation, want string }{
		{"/one", "orchard", "msg=outcome Service=desk Outcome=granted Targets=\"[desk-a desk-b]\" Allocator=" + g.PeerAddress()},
		{"/one", "", "msg=outcome Service=desk Outcome=undecided"},
		{"/one", "meadow", "msg=outcome Service=desk Outcome=refused Reason=no-key"},
		{"/none", "orchard", "msg=outcome Service=\"\" Outcome=refused Reason=no-route"},
		{"/one/..%2fnone", "orchard", "msg=route Reason=ambiguous-path Refused=route"},
		{"/mill", "orchard", "msg=outcome Service=mill Outcome=refused Reason=no-target"},
		{"/later", "orchard", "Exists=true Rank=2"},
	} {
		text := explain(g, tt.path, tt.organisation)
		t.Log(text)
		is.True(strings.Contains(text, tt.want))
	}
	is.Equal(f.counters(g), before)
	is.Equal(f.total("Allocation.desk.InUse"), 0)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, target := range f.targets {
		target.SetFaults(standin.TargetFaults{SlowFactor: 30})
		go f.post(ctx, g, "/one")
	}
	f.await(func() bool {
		text := explain(g, "/one", "orchard")
		return strings.Count(text, "State=full") == 2 && strings.Contains(text, "Outcome=waits Ahead=0")
	})
	cancel()
	f.startInstance("b", gateway.WithAllocation(1, 1))
	f.await(func() bool {
		return strings.Contains(explain(f.instances[1], "/one", "orchard"), "Outcome=leaves Zone=a Reason=no-targets")
	})
}

// counters returns the counters and gauges of an instance that change with requests, sorted.
func (f *testFleet) counters(g *gateway.Gateway) []string {
	return slices.DeleteFunc(slices.Sorted(strings.Lines(f.metrics(g))), func(line string) bool {
		return !strings.HasPrefix(line, "Entry.") && !strings.HasPrefix(line, "Allocation.") && !strings.HasPrefix(line, "Targets.")
	})
}
