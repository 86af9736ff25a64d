package revision_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionmux/pkg/revision"
)

// BenchmarkNoticeReceived measures a notice of the revision that the instance holds already,
// as messages from peers carry it.
func BenchmarkNoticeReceived(b *testing.B) {
	for _, size := range []int{40, 540} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			sim := newSimulation(size, 1)
			sim.edit(part)
			sim.run(10 * time.Second)
			n := sim.nodes[0]
			e := revision.NoticeReceived{
				From:   sim.nodes[1].id.Address,
				Notice: n.notice,
			}
			b.ReportAllocs()
			for b.Loop() {
				n.state.Handle(sim.now, e)
			}
		})
	}
}

// BenchmarkEdit measures what an edit of one part of 64 KB costs the whole fleet,
// including the digest of the part on each instance.
func BenchmarkEdit(b *testing.B) {
	for _, size := range []int{3, 40, 540} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			sim := newSimulation(size, 1)
			sim.edit(part)
			sim.run(10 * time.Second)
			b.ReportAllocs()
			edits := 0
			for b.Loop() {
				number := sim.edit(part)
				if _, ok := sim.runUntil(maxDelay, sim.isInForce(number)); !ok {
					b.Fatalf("revision %d isn't in force on all instances after %v", number, maxDelay)
				}
				edits++
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(edits*size), "ns/instance")
		})
	}
}

func BenchmarkDecodeHead(b *testing.B) {
	h := revision.Head{
		Number: 1,
		Sections: []revision.SectionHead{
			{
				Section: "Organisations",
			},
		},
	}
	for i := range 80 {
		h.Sections[0].Parts = append(h.Sections[0].Parts, revision.DigestOf([]byte{byte(i)}))
	}
	content, err := revision.EncodeHead(h)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := revision.DecodeHead(content); err != nil {
			b.Fatal(err)
		}
	}
}
