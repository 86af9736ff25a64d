package roster_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/roster"
)

// Guards against a choice of a keeper that looks at all members of a large zone in detail: it is
// made several times for each request.
func TestCapableKeeperLooksAtFewMembers(t *testing.T) {
	is := is.New(t)
	all := members(270)
	r := roster.New(all[0], all)
	calls := 0
	const names = 50
	for i := range names {
		r.CapableKeeper("a", "slots", fmt.Sprint(i), func(instance.Address) bool {
			calls++
			return true
		})
	}
	is.True(calls < 10*names) // of 90 members each
}
