package instance_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/instance"
)

func members(n int) []instance.Info {
	list := make([]instance.Info, n)
	for i := range list {
		list[i].Address = instance.Address(fmt.Sprintf("10.0.0.%d:7000", i+1))
	}
	return list
}

func TestRankMovesOnlyTheLostMembersKeys(t *testing.T) {
	is := is.New(t)
	all := members(40)
	for key := range uint64(500) {
		before := instance.Rank(instance.Hash("shard", key), all)
		after := instance.Rank(instance.Hash("shard", key), all[1:])
		if before[0].Address == all[0].Address {
			is.Equal(after[0].Address, before[1].Address) // the next in rank takes over
			continue
		}
		is.Equal(after[0].Address, before[0].Address) // the other members keep their keys
	}
}

func TestRankSpreadsKeysEvenly(t *testing.T) {
	is := is.New(t)
	const keys = 40_960
	firsts := map[instance.Address]int{}
	all := members(40)
	for key := range uint64(keys) {
		firsts[instance.Rank(instance.Hash("shard", key), all)[0].Address]++
	}
	for _, m := range all {
		n := firsts[m.Address]
		is.True(n > 800 && n < 1250) // 1,024 expected
	}
}
