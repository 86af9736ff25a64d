package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/standin"
	"dandelionmux/pkg/instance"
)

// Guards against requests that wait for a kept connection to a target that has gone silent: a
// read gets another attempt once its answer is overdue, on a new connection, and a write is sent
// on a new connection from the start.
func TestSilentTargetConnectionDelaysReadsOnly(t *testing.T) {
	const overdue = 200 * time.Millisecond
	is := is.New(t)
	e := newTestEnv(t, 2)
	var proxies []*standin.SeveringProxy
	for i, s := range e.targets {
		proxy, err := standin.NewSeveringProxy(s.Address())
		is.NoErr(err)
		t.Cleanup(proxy.Close)
		proxies = append(proxies, proxy)
		e.document.Services[0].Targets[i].Address = proxy.Address()
	}
	e.allowAttempts(2)
	e.overdue = &overdueSettings{
		wait:    overdue,
		granted: true,
	}
	waitUntil(t, func() bool {
		is.Equal(e.call(http.MethodGet, "/bookings", "").status, http.StatusOK)
		return proxies[0].Accepted() > 0 && proxies[1].Accepted() > 0
	})
	for _, p := range proxies {
		p.Sever()
	}
	began := time.Now()
	is.Equal(e.call(http.MethodPost, "/bookings", "").status, http.StatusOK)
	is.True(time.Since(began) < overdue)
	began = time.Now()
	is.Equal(e.call(http.MethodGet, "/bookings", "").status, http.StatusOK)
	is.True(time.Since(began) >= overdue) // the connection was used
	is.True(time.Since(began) < timeout)
}

// Guards against a relayed request whose connection to the other instance goes silent while it
// runs: a read goes through another instance once it is overdue, and a write ends at its time.
func TestSilentRelayedRequest(t *testing.T) {
	tests := []struct {
		method string
		status int
	}{
		{http.MethodGet, http.StatusOK},
		{http.MethodPost, http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.method, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := newRelayEnv(t, 2, 0)
			e.overdue = &overdueSettings{
				wait:    attemptOverdue,
				granted: true,
			}
			e.relays.overdue = relayOverdue
			var proxy *standin.SeveringProxy
			helper := e.newHelper()
			e.addHelper(func(w http.ResponseWriter, r *http.Request) {
				proxy.Sever() // its answer is lost
				helper(w, r)
			})
			proxy, err := standin.NewSeveringProxy(string(e.relays.helpers[0]))
			is.NoErr(err)
			t.Cleanup(proxy.Close)
			e.relays.helpers[0] = instance.Address(proxy.Address())
			e.addHelper(e.newHelper())
			began := time.Now()
			got := e.callRelayed(tt.method, "/bookings", "")
			is.Equal(got.status, tt.status)
			is.True(time.Since(began) < timeout+time.Second)
			is.True(proxy.Accepted() == 1)
		})
	}
}
