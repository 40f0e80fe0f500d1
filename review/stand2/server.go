package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// server is a stand-in of a backend server.
type server struct {
	service, zone, address string
	slots                  int
	platform               *platform
	record                 *recorder
	// work is how long a request takes, slow how many times as long it takes now.
	work time.Duration
	slow float64
	// readDelay is how long it rests before it reads a body, unreadRuns how many requests were ended
	// before it had read them.
	readDelay  time.Duration
	unreadRuns int
	// window is the receive buffer of its connections in bytes, 0 for that of the machine.
	window int
	// answerBytes is the length of an answer, 0 for a short text.
	answerBytes int

	mu       sync.Mutex
	id       string
	lifetime int
	listener net.Listener
	conns    map[net.Conn]bool
	// runs counts the runs of each request, cuts those whose caller closed the connection while the
	// server was at work, by how much work was left.
	runs map[string]int
	cuts map[string]time.Duration
}

// addServer starts a server and adds it to the list.
func (r *rig) addServer(service, zone string, slots, window int) (*server, error) {
	s := &server{window: window, service: service, zone: zone, slots: slots, platform: r.platform, record: r.record, address: "127.0.0.1:0", runs: map[string]int{}, cuts: map[string]time.Duration{}, slow: 1}
	return s, s.start()
}

// start begins a lifetime.
func (s *server) start() error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if s.window == 0 {
			return nil
		}
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.window)
		})
		return errors.Join(controlErr, err)
	}}
	l, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifetime++
	s.id = fmt.Sprintf("%s.%d", s.service+"-"+s.zone, s.lifetime)
	s.address, s.listener, s.conns = l.Addr().String(), l, map[net.Conn]bool{}
	h := &http.Server{Handler: s, ReadHeaderTimeout: 30 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case state == http.StateNew && s.conns != nil:
			s.conns[c] = true
		case state == http.StateClosed:
			delete(s.conns, c)
		}
	}}
	go func() { _ = h.Serve(l) }() // ends when the listener is closed
	s.platform.set(s.id, s.service, s.address, s.zone, s.slots)
	s.record.add("server %s serves at %s", s.id, s.address)
	return nil
}

// crash ends the lifetime: its connections are reset, its port refuses, and the list names it for
// a second more.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.add("server %s crashes with %d connections", s.id, len(s.conns))
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.conns = nil
	id := s.id
	time.AfterFunc(time.Second, func() { s.platform.remove(id) })
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	own, lifetime := s.id, s.lifetime
	s.mu.Unlock()
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set(wire["instance"], own)
		return
	}
	id := r.Header.Get(wire["request-id"])
	h.Set(wire["request-id"], id)
	if r.Header.Get(wire["target"]) != own {
		h.Set(wire["not-run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	rest := s.readDelay
	s.mu.Unlock()
	time.Sleep(rest)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unreadRuns++
		s.record.add("server %s: %s is ended after %d bytes were read: %v", own, id, n, err)
		return // not run
	}
	s.mu.Lock()
	s.runs[id]++
	work := time.Duration(s.slow * float64(s.work))
	s.mu.Unlock()
	began := time.Now()
	select {
	case <-time.After(work):
	case <-r.Context().Done(): // it drops a request whose channel closes
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.conns != nil && s.lifetime == lifetime {
			s.cuts[id] = work - time.Since(began)
			s.record.add("server %s: %s is cut after %d ms of %d ms of work", own, id, time.Since(began).Milliseconds(), work.Milliseconds())
		}
		return
	}
	s.mu.Lock()
	ended := s.lifetime != lifetime || s.conns == nil
	s.mu.Unlock()
	if ended {
		return // it has crashed meanwhile
	}
	h.Set(wire["stamp"], "stamp-"+id)
	if s.answerBytes > 0 {
		h.Set("Content-Length", strconv.Itoa(s.answerBytes))
		_, _ = w.Write(make([]byte, s.answerBytes)) // a caller that has left is no fault
		return
	}
	_, _ = fmt.Fprintf(w, "%s read %d bytes of %s\n", own, n, id) // a caller that has left is no fault
}

// setSlow makes requests from now on take some times as long.
func (s *server) setSlow(x float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = x
	s.record.add("server %s works %.1f times as long", s.id, x)
}

// cut returns how much work was left when the request was cut.
func (s *server) cut(id string) (left time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left, ok = s.cuts[id]
	return left, ok
}

// setReadDelay lets the server rest before it reads a body.
func (s *server) setReadDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDelay = d
	s.record.add("server %s rests for %d ms before it reads a body", s.id, d.Milliseconds())
}

// unread returns how many requests were ended before the server had read them.
func (s *server) unread() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreadRuns
}
