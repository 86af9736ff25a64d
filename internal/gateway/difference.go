package gateway

import (
	"context"
	"log/slog"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/instance"
	"dandelionmux/pkg/mirror"
)

// compare compares the mirror with what another instance says of its own, and does what package
// mirror decides if they differ.
func (g *Gateway) compare(ctx context.Context, from instance.Address, c mirrorCopy, last *copiedFrom) {
	remedy := mirror.Remedy(mirror.Nothing{})
	g.state.withLock(func() {
		if m := g.state.mirror; c.Digest != 0 && m.Position() == c.At {
			remedy = g.state.comparison.Compared(boot.Now(), m.Digest() == c.Digest)
		}
	})
	switch remedy.(type) {
	case mirror.Nothing:
		return
	case mirror.Relist:
		g.count("Mirror.Differs")
		g.listOnce(ctx)
	case mirror.Report:
		last.differs = true
	}
	g.logger.Error("content differs at the same position",
		slog.String("Peer", string(from)),
		slog.Int64("Era", int64(c.At.Era)),
		slog.Int64("Counter", c.At.Counter),
		slog.Bool("Listed", !last.differs))
}

// relistIfDue has the store listed anew because another instance found that this one's content
// differs from it.
func (g *Gateway) relistIfDue() {
	due := false
	g.state.withLock(func() { due = g.state.comparison.MayList(boot.Now()) })
	if due {
		g.count("Mirror.Reported")
		g.relist.Store(true)
	}
}

// relistReported lists the store anew if relistIfDue has asked for it.
func (g *Gateway) relistReported(ctx context.Context) {
	if g.relist.Swap(false) {
		g.listOnce(ctx)
	}
}
