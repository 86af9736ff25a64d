package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	// revokeTime is revoke_ms.
	revokeTime = 5000 * time.Millisecond
	// awayTime is how long the store is away.
	awayTime = 500 * time.Millisecond
	// restartDelay is how long after the store's return the instance is started again, and
	// writtenAgain how long after it the operator and the servers have written again.
	restartDelay = 600 * time.Millisecond
	writtenAgain = 1900 * time.Millisecond
)

// playDrill takes a key away, has the store come back from an older copy more than revoke_ms
// later, and restarts an instance at that moment. The operator writes its last configuration
// again within two seconds.
func playDrill(l *lab, trouble bool) (bool, error) {
	kept, taken := "key-that-stays-xxxxxxxxxx", "key-that-goes-xxxxxxxxxxx"
	users := func(keys ...string) []tenant {
		return []tenant{{
			name: "press",
			keys: keys,
		}}
	}
	if err := l.configure(5, deskRoutes(), []string{"desk"}, users(kept, taken)); err != nil {
		return false, err
	}
	if err := l.startServers("desk", 6, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := l.startAll(2); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	old := l.store.copyContent()
	time.Sleep(500 * time.Millisecond)
	if err := l.configure(8, deskRoutes(), []string{"desk"}, users(kept)); err != nil {
		return false, err
	}
	confirmedAt := time.Since(l.began)
	time.Sleep(revokeTime + 500*time.Millisecond)
	l.notef("the store goes away")
	l.store.setDown(true)
	p := l.instances[0]
	p.end(syscall.SIGKILL)
	time.Sleep(awayTime)
	if trouble {
		l.store.setBack(old)
		l.notef("the store is back from a copy from before the key was taken away")
	} else {
		l.store.setDown(false)
		l.notef("the store is back, with all that it had")
	}
	go func() {
		time.Sleep(writtenAgain)
		_ = l.configure(8, deskRoutes(), []string{"desk"}, users(kept))
		for _, s := range l.servers {
			s.register()
		}
	}()
	time.Sleep(restartDelay)
	if err := p.start(); err != nil {
		return false, err
	}
	late := l.sendTaken(p, taken, confirmedAt)
	l.notef("%d requests with the key ran that were sent more than %s after it was taken away", late, revokeTime)
	return late == 0, nil
}

// sendTaken sends requests with a key that was taken away, and returns how many ran that were
// sent later than revokeTime after that.
func (l *lab) sendTaken(p *process, key string, confirmedAt time.Duration) int {
	client := newClient()
	defer client.CloseIdleConnections()
	sentAt := map[string]time.Duration{}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		at := time.Since(l.began)
		r := l.send(client, p, call{
			method:   http.MethodGet,
			host:     "desk.example",
			path:     "/desk/1",
			key:      key,
			deadline: time.Second,
		})
		sentAt[r.id] = at
	}
	late := 0
	for _, r := range allRuns.all() {
		if at, ok := sentAt[r.id]; ok && at > confirmedAt+revokeTime {
			late++
		}
	}
	return late
}
