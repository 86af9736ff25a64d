package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"dandelionmux/internal/standin"
)

// Guards against copies of the mirror that wait for a silent connection of one instance after the
// other, each for the whole patience, while new connections work.
func TestSilentPeerConnectionsCostOneCopy(t *testing.T) {
	const patience = 300 * time.Millisecond
	is := is.New(t)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "copy")
	}))
	t.Cleanup(peer.Close)
	g := &Gateway{peerClient: newPeerClient()}
	t.Cleanup(g.peerClient.CloseIdleConnections)
	copyFrom := func(p *standin.SeveringProxy) error {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.Address(), nil)
		is.NoErr(err)
		response, err := g.fetch(request, patience, stallTime)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	var proxies []*standin.SeveringProxy
	for range 3 {
		proxy, err := standin.NewSeveringProxy(peer.Listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(proxy.Close)
		proxies = append(proxies, proxy)
		is.NoErr(copyFrom(proxy))
	}
	for _, p := range proxies {
		p.Sever()
	}
	began := time.Now()
	is.True(errors.Is(copyFrom(proxies[0]), os.ErrDeadlineExceeded))
	is.True(time.Since(began) < 2*patience)
	for _, p := range proxies {
		is.NoErr(copyFrom(p))
	}
}
