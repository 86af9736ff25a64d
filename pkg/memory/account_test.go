package memory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dandelionmux/pkg/memory"
)

const megabyte = 1 << 20

// Load: many large uploads at once. Guards against one that fills the memory of all, against an
// organisation that takes the room of the others, and against small requests that are refused
// meanwhile.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	is := is.New(t)
	a := memory.NewAccount(memory.LimitOf(284 * megabyte))
	var held []*memory.Holding
	granted := map[string]int{}
	for i := range 40 {
		organisation := fmt.Sprint(i % 2)
		h := a.Open(organisation)
		if h.Grow(61 * megabyte) {
			granted[organisation]++
			held = append(held, h)
		}
	}
	is.Equal(granted, map[string]int{"0": 1, "1": 1})
	small := 0
	for range 200 {
		h := a.Open("0")
		if h.Grow(memory.SmallBytes) {
			small++
			held = append(held, h)
		}
	}
	is.Equal(small, 200)
	for _, h := range held {
		h.Close()
		h.Close()
	}
	now, peak := a.Used()
	is.Equal(now, int64(0))
	is.True(peak <= memory.LimitOf(284*megabyte))
	is.True(a.Open("2").Grow(61 * megabyte))
}

// Guards against an account that exceeds its limit, or doesn't come back to zero, whatever is held
// and released in whatever order.
func TestAccountKeepsItsLimit(t *testing.T) {
	const limit = 10 * megabyte
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		a := memory.NewAccount(limit)
		open := map[int]*memory.Holding{}
		held := map[int]int64{}
		for i := range 500 {
			k := random.IntN(20)
			switch {
			case open[k] == nil:
				open[k] = a.Open(fmt.Sprint(i % 3))
			case random.IntN(4) == 0:
				open[k].Close()
				delete(open, k)
				delete(held, k)
			default:
				if n := random.Int64N(2 * megabyte); open[k].Grow(n) {
					held[k] += n
				}
			}
			sum := int64(0)
			for _, n := range held {
				sum += n
			}
			if now, _ := a.Used(); now != sum || now > limit {
				t.Fatalf("seed %d: %d bytes counted, %d held, limit %d", seed, now, sum, limit)
			}
		}
		for _, h := range open {
			h.Close()
		}
		if now, _ := a.Used(); now != 0 {
			t.Fatalf("seed %d: %d bytes left", seed, now)
		}
	}
}
