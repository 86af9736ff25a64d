package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a target that had left, or a key that had been withdrawn, in use again after
// a restart: the instance copies what others have, and some of these get nothing from the
// store any more.
func TestRestartedInstanceUsesNothingThatWasWithdrawn(t *testing.T) {
	for restarted := range 3 {
		is := is.New(t)
		f := newTestFleet(t, 3, 2)
		for _, g := range f.instances {
			f.await(func() bool { return f.send(g, http.MethodGet, "/one/1", "key-1") == http.StatusOK })
		}
		for i, d := range f.clients {
			d.setBlocked(i != restarted)
		}
		f.configure(configuration{
			Revision: 2,
			Keys:     []string{"key-2"},
			Path:     "/one",
		})
		f.memory.put(targetPrefix+"desk-a", nil, 0)
		time.Sleep(maxConfigurationAge)
		f.replaceInstance(restarted, "a")
		g := f.instances[restarted]
		before := f.targets[0].Counts().Arrived
		served := 0
		for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
			is.True(f.send(g, http.MethodGet, "/one/1", "key-1") != http.StatusOK)
			if f.send(g, http.MethodGet, "/one/1", "key-2") == http.StatusOK {
				served++
			}
		}
		is.True(served > 0)
		is.Equal(f.targets[0].Counts().Arrived, before)
	}
}
