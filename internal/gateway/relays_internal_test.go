package gateway

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"dandelionmux/internal/entry"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
)

// Guards against a read whose attempt through an instance is overdue, and whose next attempts go
// through the same one.
func TestFurtherAttemptsGoThroughOtherInstances(t *testing.T) {
	is := is.New(t)
	g := &Gateway{
		registry: metrics.NewRegistry(),
		logger:   slog.New(slog.DiscardHandler),
		self: instance.Info{
			ID: instance.ID{
				Address: "10.0.0.1:7000",
			},
			Zone: "a",
		},
	}
	g.state = newLocalState(g)
	for _, a := range []instance.Address{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000", "10.0.1.1:7000"} {
		g.state.members[a] = member{
			Info: instance.Info{
				ID: instance.ID{
					Address: a,
				},
				Zone: "a",
			},
		}
	}
	g.state.rebuildRoster()
	request := entry.RelayRequest{
		Service: "desk",
		Route:   &document.Route{},
	}
	for range 3 {
		var chosen relay
		is.True(g.state.chooseHelper(&chosen, request, "request-1"))
		for _, tried := range request.Tried {
			is.True(chosen.instance.Address != tried)
		}
		request.Tried = append(request.Tried, chosen.instance.Address)
	}
	var again relay
	is.True(g.state.chooseHelper(&again, request, "request-1")) // better than none
}
