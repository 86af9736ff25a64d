package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/fleet"
	"dandelionmux/pkg/share"
)

// TestLeavingInstanceHandsOver checks that a graceful stop loses no share, even
// while the store is unreachable.
func TestLeavingInstanceHandsOver(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		c := newCluster(t, seed, 5, limits)
		c.settle()
		c.store.Unavailable = true
		c.nodes[0].handle(fleet.Leave{})
		_, left := c.timeline.RunUntil(10*time.Second, func() bool { return c.nodes[0].leaveCompleted })
		is.True(left)
		c.nodes[0].handle(fleet.Stop{})
		c.nodes[0].crash()
		c.timeline.Run(2 * time.Second)
		is.Equal(c.heldShares(), share.DefaultTotal) // no share was lost although the store is unreachable
	}
}
