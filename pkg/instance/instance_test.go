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

// Guards against entries of other writers that are taken for the address of an instance or
// target.
func TestAddressIsValid(t *testing.T) {
	tests := []struct {
		address instance.Address
		want    bool
	}{
		{"10.0.0.1:1", true},
		{"127.0.0.1:65535", true},
		{"[2001:db8::1]:7000", true},
		{"10.0.0.1:0", false},
		{"10.0.0.1:-1", false},
		{"10.0.0.1:+1", false},
		{"10.0.0.1:65536", false},
		{"10.0.0.1:99999999999999999999", false},
		{"10.0.0.1", false},
		{":7000", false},
		{"0.0.0.0:7000", false},
		{"[::]:7000", false},
		{"224.0.0.1:7000", false},
		{"localhost:7000", false},
		{"", false},
	}
	for _, tt := range tests {
		if got := tt.address.IsValid(); got != tt.want {
			t.Errorf("%q: %v, want %v", tt.address, got, tt.want)
		}
	}
}
