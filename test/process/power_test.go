package process_test

import (
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPowerCut kills all instances at once and restarts them at their
// addresses. No instance is left that knows who held which share, so the fleet
// must reclaim all quotas by itself.
func TestPowerCut(t *testing.T) {
	f := newFleet(t, 3, 2)
	old := f.instances
	for _, r := range old {
		r.signal(t, syscall.SIGKILL)
	}
	for _, r := range old {
		_ = r.wait(t)
	}
	restartTime := time.Now()
	f.instances = nil
	for _, r := range old {
		f.startInstanceAt(r.PeerAddress, r.zone)
	}
	for _, r := range f.instances {
		eventually(t, "a request is admitted after the power cut", func() bool {
			return r.call(http.MethodPost, "/bookings/7", keys["mill"], "tanker").status == http.StatusOK
		})
	}
	t.Logf("all instances admit %v after the restart", time.Since(restartTime))
	eventually(t, "the full rate is available after the power cut", func() bool {
		for _, s := range f.loadWithFault("at 90% of the rate", 18, newBalancer(f.instances...).pick, func() { sleep(3 * time.Second) }) {
			if s.err != nil || s.status != http.StatusOK {
				return false
			}
		}
		return true
	})
	t.Logf("full rate available %v after the restart", time.Since(restartTime))
}

// TestMalformedInput sends malformed data to all ports of an instance, which must
// go on serving and run none of it.
func TestMalformedInput(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 1)
	r := f.instances[0]
	malformed := []string{
		"",
		"\x00\x00\x00\x00",
		strings.Repeat("\xff", 1<<16),
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /bookings/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999999\r\n\r\nx",
		"POST /bookings/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"\x00\x01\x00\x01\x00\x00\x00\x01\xff\xff\xff\xff" + strings.Repeat("a", 1<<16),
	}
	before := f.executed()
	for _, address := range []string{r.PeerAddress, r.EntryAddress, r.AdminAddress} {
		for _, text := range malformed {
			for range 8 {
				c, err := net.Dial("tcp", address)
				is.NoErr(err)
				_, _ = c.Write([]byte(text))
				defer func() { _ = c.Close() }()
			}
		}
	}
	load := startStream(http.MethodPost, "orchard", 50, newBalancer(f.instances...).pick)
	sleep(2 * time.Second)
	all := load.end()
	for _, s := range all {
		is.NoErr(s.err)
		is.Equal(s.status, http.StatusOK)
	}
	is.Equal(f.executed()-before, len(all)) // no malformed request ran
}
