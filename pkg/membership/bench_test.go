package membership_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionmux/internal/wire"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/membership"
)

// BenchmarkProbe measures receiving and answering one probe. An instance
// receives about 7.5 probes a second and sends about as many.
func BenchmarkProbe(b *testing.B) {
	for _, size := range []int{3, 40, 540} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(1)
			f.startAll(size)
			f.run(20 * time.Second)
			n, peer := f.node(0), f.node(1)
			probe := membership.Received{
				From: peer.id,
				Message: membership.Probe{
					Header: membership.Header{
						Sender: membership.Record{
							Info: instance.Info{
								ID: peer.id,
							},
						},
					},
				},
			}
			b.ReportAllocs()
			for b.Loop() {
				n.state.Handle(f.now, probe)
			}
		})
	}
}

// BenchmarkSecond measures the control work of one instance in one second, in a
// fleet without faults. It includes the simulated network's work for that
// instance.
func BenchmarkSecond(b *testing.B) {
	for _, size := range []int{3, 40, 540} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(1)
			f.startAll(size)
			f.run(time.Minute)
			b.ReportAllocs()
			seconds := 0
			for b.Loop() {
				f.run(time.Second)
				seconds++
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(seconds*size), "ns/instance")
		})
	}
}

// BenchmarkEncode measures encoding one probe.
func BenchmarkEncode(b *testing.B) {
	f := newFleet(1)
	f.startAll(3)
	f.run(time.Second)
	m := membership.Probe{
		Header: membership.Header{
			Sender: membership.Record{
				Info: f.node(0).view[0],
			},
		},
	}
	b.ReportAllocs()
	for b.Loop() {
		content, err := proto.Marshal(wire.EncodeMembership(m))
		if err != nil || len(content) == 0 {
			b.Fatal(err)
		}
	}
}
