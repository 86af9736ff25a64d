package gateway

import (
	"fmt"

	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/mirror"
	"dandelionmux/pkg/store"
)

// Forget lets the instance's mirror lose a key, which nobody else learns.
func (g *Gateway) Forget(key string) {
	g.state.update(origin{}, func(m *mirror.Mirror) []store.Entry {
		m.ApplyChanges([]store.Entry{{Key: key, RemovedAt: m.Position().Counter}}, m.Position())
		return nil
	})
}

// Holds reports whether the instance's mirror holds a key.
func (g *Gateway) Holds(key string) bool {
	ok := false
	g.state.withLock(func() { _, ok = g.state.mirror.Entry(key) })
	return ok
}

// Counter returns the store's counter up to which the instance has all changes.
func (g *Gateway) Counter() int64 {
	counter := int64(0)
	g.state.withLock(func() { counter = g.state.mirror.Position().Counter })
	return counter
}

// Reading reports whether the instance reads the store for its zone.
func (g *Gateway) Reading() bool { return g.readingStore.Load() }

// WithAllocation has slots allocated in zones with at least so many members, for targets with at
// most so many slots.
func WithAllocation(minMembers, maxSlots int) Option {
	return func(g *Gateway) {
		g.allocation = allocationBounds{
			minMembers: minMembers,
			maxSlots:   maxSlots,
		}
	}
}

// WithoutAllocating has the instance grant no slots, like an older build.
func WithoutAllocating() Option {
	return func(g *Gateway) { g.allocates = false }
}

// WithLostMessages drops the datagrams whose kind and receiver f selects.
func WithLostMessages(f func(kind, to string) bool) Option {
	return func(g *Gateway) {
		g.loses = func(to instance.Address, m message) bool {
			return f(fmt.Sprintf("%T", m), string(to))
		}
	}
}

// Allocator returns the address of the instance that grants slots of a service in the instance's
// zone.
func (g *Gateway) Allocator(service string) string {
	var a instance.Address
	g.state.withLock(func() { a = g.state.allocatorIn(g.self.Zone, service) })
	return string(a)
}
