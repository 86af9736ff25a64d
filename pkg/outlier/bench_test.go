package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionmux/pkg/target"
)

// The cost of one reported error in a service of the size that the design is for: a third
// of 5,700 targets, 700 errors a second.
func BenchmarkReceiveError(b *testing.B) {
	const (
		targets   = 1900
		perSecond = 700
	)
	table := newTable(targets)
	names := make([]string, targets)
	for i := range names {
		names[i] = fmt.Sprintf("desk-%02d", i)
	}
	at := now
	b.ResetTimer()
	for i := range b.N {
		at += time.Second / perSecond
		table.ReceiveOutcome(at, names[i*7%targets], target.Failed)
	}
}
