package gateway

import (
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
