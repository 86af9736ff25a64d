package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/standin"
	"dandelionmux/pkg/instance"
)

// newSeveringProxy returns a proxy to an address that is closed with the test.
func newSeveringProxy(t *testing.T, to string) *standin.SeveringProxy {
	proxy, err := standin.NewSeveringProxy(to)
	is.New(t).NoErr(err)
	t.Cleanup(proxy.Close)
	return proxy
}

// Guards against requests that wait for a kept connection to a target that has gone silent: a
// read gets another attempt once its answer is overdue, on a new connection, and a write is sent
// on a new connection from the start.
func TestSilentTargetConnectionDelaysReadsOnly(t *testing.T) {
	const overdue = 200 * time.Millisecond
	is := is.New(t)
	e := newOverdueEnv(t, 2, overdue)
	var proxies []*standin.SeveringProxy
	for i, s := range e.targets {
		proxies = append(proxies, newSeveringProxy(t, s.Address()))
		e.document.Services[0].Targets[i].Address = proxies[i].Address()
	}
	e.allowAttempts(2)
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
		{method: http.MethodGet, status: http.StatusOK},
		{method: http.MethodPost, status: http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.method, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := newRelayEnv(t, 2, 0)
			e.overdue = &overdueSettings{wait: attemptOverdue, granted: true}
			e.relays.overdue = relayOverdue
			var proxy *standin.SeveringProxy
			helper := e.newHelper()
			e.addHelper(func(w http.ResponseWriter, r *http.Request) {
				proxy.Sever() // its answer is lost
				helper(w, r)
			})
			proxy = newSeveringProxy(t, string(e.relays.helpers[0]))
			e.relays.helpers[0] = instance.Address(proxy.Address())
			e.addHelper(e.newHelper())
			began := time.Now()
			is.Equal(e.callRelayed(tt.method, "/bookings", "").status, tt.status)
			is.True(time.Since(began) < timeout+time.Second)
			is.True(proxy.Accepted() == 1)
		})
	}
}
