package outlier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/outlier"
	"dandelionmux/pkg/target"
)

// Guards against a target that fails its requests at once and, always the least loaded, gets most
// of them, while so many fail elsewhere that none is ejected for it.
func TestTargetThatFailsAtOnceDoesNotAttractGrants(t *testing.T) {
	is := is.New(t)
	table := newTable(12) // four targets of the own zone, with six slots each
	for range 2 {
		for _, name := range []string{"desk-01", "desk-02", "desk-04", "desk-05", "desk-07", "desk-08"} {
			table.ReceiveOutcome(now, name, target.Failed)
		}
	}
	for _, name := range []string{"desk-03", "desk-06", "desk-09"} {
		table.ReceiveLoad(now, peer.Instance, outlier.Load{
			Target:  name,
			Running: 2,
		}, time.Minute)
	}
	failed := 0
	for n := range 20 {
		at := now + time.Duration(n)*20*time.Millisecond
		chosen, ok := table.Grant(at, outlier.Grantee{}, outlier.Request{})
		is.True(ok)
		if chosen.Name != "desk-00" {
			table.Done(at, chosen.Name, target.Succeeded)
			continue
		}
		failed++
		table.Done(at, chosen.Name, target.Failed)
	}
	is.True(failed <= 3)
	chosen, ok := table.Grant(now+3*time.Second, outlier.Grantee{}, outlier.Request{})
	is.True(ok)
	is.Equal(chosen.Name, "desk-00") // its errors no longer count
}

// Guards against as many grants of a target that warms up, which needs permits, as of others, and
// against a sound target that gets none while it is taken for cold.
func TestTargetThatWarmsUpIsGrantedLess(t *testing.T) {
	is := is.New(t)
	table := newTable(6) // two targets of the own zone, with six slots each
	table.SetCold(func(_ time.Duration, name string) bool { return name == "desk-00" })
	granted := map[string]int{}
	for range 6 {
		chosen, ok := table.Grant(now, peer, outlier.Request{})
		is.True(ok)
		granted[chosen.Name]++
	}
	is.Equal(granted["desk-00"], 2)
	is.Equal(granted["desk-03"], 4)
}
