package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// server is a sound server of a service. It answers each request after the same work.
type server struct {
	run      *run
	id       string
	service  string
	work     time.Duration
	listener net.Listener
}

// startServer starts a server and registers it in the store.
func startServer(r *run, s *kvStore, id, service, zone string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.20:0")
	if err != nil {
		return nil, err
	}
	v := &server{
		run:      r,
		id:       id,
		service:  service,
		work:     work,
		listener: l,
	}
	go v.accept()
	s.put("servers/"+id, registration(service, l.Addr().String(), zone, "ready", 6, 1, time.Now().UnixMilli()))
	return v, nil
}

func (v *server) accept() {
	for {
		c, err := v.listener.Accept()
		if err != nil {
			return
		}
		go v.serve(c)
	}
}

// serve answers the requests of a connection until that has been idle for 10 s.
func (v *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Dandelionmux-Request-Id")
		if r.Header.Get("Dandelionmux-Expect-Instance") != v.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nDandelionmux-Request-Id: %s\r\nDandelionmux-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, v.id)
			continue
		}
		v.run.note("server %s of %s runs request %s", v.id, v.service, id)
		time.Sleep(v.work)
		body := "done " + id
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nDandelionmux-Request-Id: %s\r\nDandelionmux-Upstream-Signature: %s.%d\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), len(body), body)
		if err != nil {
			return
		}
	}
}
