package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Traffic of the case upload.
const (
	// uploadBytes is the size of each upload: just what the configuration allows.
	uploadBytes = maxBodyBytes
	// uploaders is the number of requesters that upload at the same time.
	uploaders = 3
	// users is the number of requesters that use the instance all the while, on kept
	// connections.
	users = 12
	// maxCut is how many requests of kept connections may be cut, by the rule LOST.
	maxCut = 3
)

// playUpload has many users come at once: uploaders requesters send bodies of the allowed size
// at the same time while others use the same instance. The platform kills a process that
// exceeds its memory. Without the trouble one requester uploads.
func playUpload(l *lab, trouble bool) (bool, error) {
	press := tenant{
		name: "press",
		keys: []string{"key-of-press-xxxxxxxxxxxx"},
	}
	routes := append(deskRoutes(), route{
		name:      "r-upload",
		host:      "desk.example",
		prefix:    "/upload/",
		kind:      "unsafe",
		service:   "desk",
		timeoutMs: 20000,
	})
	if err := l.configure(5, routes, []string{"desk"}, []tenant{press}); err != nil {
		return false, err
	}
	if err := l.startServers("desk", 6, 400*time.Millisecond); err != nil {
		return false, err
	}
	if err := l.startAll(1); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	p := l.instances[0]
	stop := make(chan struct{})
	killed := l.killOverMemory(p, stop)
	cut := l.useAllTheWhile(p, press.keys[0], stop)
	time.Sleep(2 * time.Second)
	number := 1
	if trouble {
		number = uploaders
	}
	l.upload(p, press.keys[0], number)
	time.Sleep(2 * time.Second)
	close(stop)
	n := <-cut
	l.notef("%d requests of kept connections reached a server and were cut; allowed %d", n, maxCut)
	l.notef("%s was killed %d times over its memory", p.name, <-killed)
	return n <= maxCut, nil
}

// upload sends uploads at the same time.
func (l *lab) upload(p *process, key string, number int) {
	body := bytes.Repeat([]byte("0123456789abcdef"), uploadBytes/16)
	var group sync.WaitGroup
	for range number {
		group.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			r := l.send(client, p, call{
				method:   http.MethodPost,
				host:     "desk.example",
				path:     "/upload/1",
				key:      key,
				deadline: 20 * time.Second,
				body:     bytes.NewReader(body),
				length:   int64(len(body)),
			})
			l.notef("upload %s: %d, error %v", r.id, r.status, r.err)
		})
	}
	group.Wait()
}

// killOverMemory kills the process each time that it exceeds its memory, as the platform does,
// and starts it again. The channel gives how often, after stop.
func (l *lab) killOverMemory(p *process, stop chan struct{}) chan int {
	killed := make(chan int, 1)
	go func() {
		n, most := 0, 0
		for {
			select {
			case <-stop:
				l.notef("%s used at most %d MB of %d MB", p.name, most, memoryMB)
				killed <- n
				return
			case <-time.After(10 * time.Millisecond):
			}
			used := p.anonymousMB()
			most = max(most, used)
			if used <= memoryMB {
				continue
			}
			l.notef("%s uses %d MB of %d MB and is killed", p.name, used, memoryMB)
			n++
			p.end(syscall.SIGKILL)
			time.Sleep(500 * time.Millisecond)
			_ = p.start()
		}
	}()
	return killed
}

// anonymousMB returns the process's own memory, without its program file.
func (p *process) anonymousMB() int {
	p.mu.Lock()
	id := p.command.Process.Pid
	p.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0
	}
	scanner := bufio.NewScanner(bytes.NewReader(content))
	for scanner.Scan() {
		if fields := strings.Fields(scanner.Text()); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// useAllTheWhile has requesters send writes and reads on kept connections until stop. The channel gives how
// many requests reached a server and got no answer, because their connection was closed.
func (l *lab) useAllTheWhile(p *process, key string, stop chan struct{}) chan int {
	cut := make(chan int, 1)
	var mu sync.Mutex
	var failed []string
	var group sync.WaitGroup
	for n := range users {
		c := call{
			method:   http.MethodPost,
			host:     "desk.example",
			path:     "/upload/2",
			key:      key,
			deadline: 6 * time.Second,
		}
		if n%2 == 0 {
			c.method, c.path = http.MethodGet, "/desk/1"
		}
		group.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			kept := false
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := l.send(client, p, c)
				if r.err != nil && kept {
					mu.Lock()
					failed = append(failed, r.id)
					mu.Unlock()
				}
				if kept = r.err == nil; !kept {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	go func() {
		group.Wait()
		reached := map[string]bool{}
		for _, r := range allRuns.all() {
			reached[r.id] = true
		}
		n := 0
		for _, id := range failed {
			if reached[id] {
				n++
			}
		}
		cut <- n
	}()
	return cut
}
