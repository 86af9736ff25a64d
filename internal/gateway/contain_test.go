package gateway_test

import (
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
)

// Guards against an entry of the store that ends the processes of all instances that read it,
// again after each start.
func TestEntriesOnWhichTheProgramFailsAreIgnored(t *testing.T) {
	tests := []struct {
		name string
		key  string
	}{
		{
			name: "target",
			key:  targetPrefix + "desk-z",
		},
		{
			name: "configuration",
			key:  configurationKey,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(t, 2, 2)
			f.memory.put(tt.key, []byte(failingValue), 0)
			for _, g := range f.instances {
				f.await(func() bool { return strings.Contains(f.metrics(g), "\nPanics 1\n") })
			}
			if tt.key != configurationKey {
				f.startInstance("b")
				f.awaitMembers()
			}
			for _, g := range f.instances {
				is.Equal(f.send(g, http.MethodGet, "/one/1", "key-1"), http.StatusOK)
			}
			f.memory.put(tt.key, nil, 0)
			f.configure(configuration{
				Revision: 2,
				Keys:     []string{"key-2"},
				Path:     "/one",
			})
			for _, g := range f.instances {
				f.await(func() bool { return f.send(g, http.MethodGet, "/one/1", "key-2") == http.StatusOK })
			}
		})
	}
}

// randomDatagram returns a datagram whose fields have the right form and any values.
func randomDatagram(r *rand.Rand, depth int) []byte {
	numbers := []uint64{0, 1, 2, 3, 5, 10, 1000, math.MaxInt32, math.MaxInt64, math.MaxInt64 + 1, math.MaxUint64}
	texts := []string{"", "desk", "mill", "desk-a", "mill-b", "orchard", "127.0.0.1:1", "b", strings.Repeat("x", 16), strings.Repeat("y", 32)}
	var b []byte
	if depth == 0 {
		b = protowire.AppendTag(b, 1, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(1+r.IntN(11)))
	}
	for range 1 + r.IntN(10) {
		number := protowire.Number(2 + r.IntN(13))
		isText := number == 4 || number == 8 || number == 10 || number == 12
		switch {
		case number == 12 && depth < 2:
			b = protowire.AppendTag(b, number, protowire.BytesType)
			b = protowire.AppendBytes(b, randomDatagram(r, depth+1))
		case isText:
			b = protowire.AppendTag(b, number, protowire.BytesType)
			b = protowire.AppendString(b, texts[r.IntN(len(texts))])
		default:
			b = protowire.AppendTag(b, number, protowire.VarintType)
			b = protowire.AppendVarint(b, numbers[r.IntN(len(numbers))])
		}
	}
	return b
}

// Guards against a malformed datagram that ends a process, or an instance that serves no
// request after it.
func TestDatagramsOfAnyContentEndNoInstance(t *testing.T) {
	const datagrams = 20_000
	is := is.New(t)
	f := newTestFleet(t, 2, 3)
	f.startTargets("mill", 2)
	f.configure(configuration{
		Revision: 2,
		Keys:     []string{"key-1"},
		Path:     "/one",
		Rate:     1000,
	})
	for _, g := range f.instances {
		f.await(func() bool { return f.send(g, http.MethodGet, "/mill/1", "key-1") == http.StatusOK })
	}
	random := rand.New(rand.NewPCG(1, 1))
	entries, _ := f.memory.content()
	for key := range entries {
		address, isMember := strings.CutPrefix(key, "dandelionmux/members/")
		if !isMember {
			continue
		}
		c, err := net.Dial("udp4", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		for n := range datagrams {
			_, _ = c.Write(randomDatagram(random, 0))
			if n%500 == 0 {
				f.send(f.instances[0], http.MethodGet, "/one/"+strconv.Itoa(n), "key-1")
			}
		}
	}
	for _, g := range f.instances {
		for line := range strings.Lines(f.log.String()) {
			if strings.Contains(line, "unexpected failure") {
				t.Log(line)
			}
		}
		is.True(!strings.Contains(f.metrics(g), "\nPanics "))
		f.await(func() bool { return f.send(g, http.MethodGet, "/one/1", "key-1") == http.StatusOK })
	}
}
