package capacity

import (
	"net"
	"runtime"
	"sync"
	"time"

	"dandelionmux/internal/peer"
	"dandelionmux/pkg/instance"
)

// sessionTimeout is how long Sessions waits for the frames to arrive.
const sessionTimeout = 10 * time.Second

// Sessions opens sessions over loopback from one instance to count others, sends
// a frame on each, and returns the mean memory of a session, both ends together,
// in bytes. It fails if it cannot listen on loopback. It does not fail if some of
// the frames do not arrive in time.
func Sessions(count int) (float64, error) {
	hub, err := listen()
	if err != nil {
		return 0, err
	}
	defer hub.network.Close()
	peers := make([]*endpoint, count)
	for i := range peers {
		if peers[i], err = listen(); err != nil {
			return 0, err
		}
		defer peers[i].network.Close()
	}
	before := memoryInUse()
	var arrived sync.WaitGroup
	for _, p := range peers {
		arrived.Add(1)
		p.onFrame = sync.OnceFunc(arrived.Done)
		hub.network.Send(p.address, peer.Frame("hello"))
	}
	done := make(chan struct{})
	go func() {
		arrived.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(sessionTimeout):
	}
	return float64(memoryInUse()-before) / float64(count), nil
}

// endpoint is the network of one instance on loopback.
type endpoint struct {
	network *peer.Network
	address instance.Address
	// onFrame, if not nil, is called for each frame that arrives.
	onFrame func()
}

// listen starts an instance's network on a free loopback port.
func listen() (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		address: instance.Address(l.Addr().String()),
	}
	self := instance.Info{
		ID: instance.ID{
			Address:     e.address,
			Incarnation: 1,
		},
	}
	e.network = peer.New(self, func(instance.ID, peer.Frame) {
		if e.onFrame != nil {
			e.onFrame()
		}
	})
	go func() { _ = e.network.Serve(l) }()
	return e, nil
}

// memoryInUse returns the bytes of heap and stacks in use, after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
