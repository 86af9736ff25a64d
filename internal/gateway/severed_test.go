package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a change that comes too late because the reader's watch has gone silent without
// a reset, while its other calls are answered.
func TestChangeIsInForceAfterTheWatchGoesSilent(t *testing.T) {
	const changeTime = 2 * time.Second
	is := is.New(t)
	f := newTestFleet(t, 3, 1)
	for i, path := range []string{"/two", "/three", "/four"} {
		time.Sleep(400 * time.Millisecond) // the next watch has begun
		for _, c := range f.clients {
			c.severWatches()
		}
		f.configure(configuration{
			Revision: uint64(i + 2),
			Keys:     []string{"key-1"},
			Path:     path,
		})
		changedAt := time.Now()
		for _, g := range f.instances {
			f.await(func() bool { return f.send(g, http.MethodGet, path+"/1", "key-1") == http.StatusOK })
		}
		is.True(time.Since(changedAt) < changeTime)
	}
	noticed := 0
	for _, g := range f.instances {
		if strings.Contains(f.metrics(g), "Store.Deaf") {
			noticed++
		}
	}
	is.True(noticed > 0)
}
