package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const keySpace = 1 << 16

// server is a stand-in for an instance.
type server struct {
	rig         *rig
	id, service string
	addr        string
	slots       int
	work        func() time.Duration
	sharded     bool
	sequence    int
	running     atomic.Int64
	faulty      bool // it may send wrong bytes
	// answer, if set, may answer a request in its own way and then returns true. It is called when
	// the request's work is done.
	answer func(s *server, c net.Conn, q *http.Request) bool
	// early, if set, takes over a request before its body is read.
	early func(s *server, c net.Conn, in *bufio.Reader, q *http.Request) (handled, keep bool)
	onRun func(s *server, q *http.Request, body []byte)

	mu    sync.Mutex
	fence [keySpace]uint64    // highest seen
	until [keySpace]time.Time // held until
}

func (r *rig) newServer(n int, service string) *server {
	s := &server{rig: r, id: fmt.Sprintf("i-%s-%08x", service, rand.Uint32()), service: service, slots: 4,
		work: func() time.Duration { return 60*time.Millisecond + rand.N(40*time.Millisecond) }}
	s.addr = fmt.Sprintf("%s%d:8080", r.net, 100+n)
	return s
}

func (s *server) entry() map[string]any {
	s.sequence++
	return map[string]any{"service": s.service, "address": s.addr, "zone": "a", "version": "v1", "slots": s.slots,
		"state": "ready", "warmupLeftS": 0, "sequence": s.sequence}
}

// run listens and renews the entry in the store.
func (s *server) run() {
	l, err := net.Listen("tcp", s.addr)
	check(err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	s.rig.store.put("servers", s.id, s.entry())
	go func() {
		for range time.Tick(870 * time.Millisecond) {
			s.rig.store.put("servers", s.id, s.entry())
		}
	}()
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !s.handle(c, in, q) || q.Close {
			return
		}
	}
}

func (s *server) load() string { return fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots) }

func (s *server) respond(c net.Conn, q *http.Request, status int, header, body string) {
	id := ""
	if v := q.Header.Get("X-Attempt-Id"); v != "" {
		id = "X-Attempt-Id: " + v + "\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%sX-Instance-Load: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, header, s.load(), len(body), body)
}

// seal is the signature of an answer.
func (s *server) seal(q *http.Request) string { return s.id + "." + q.Header.Get("X-Attempt-Id") }

func (s *server) handle(c net.Conn, in *bufio.Reader, q *http.Request) bool {
	if want := q.Header.Get("X-Expected-Instance"); want != "" && want != s.id {
		_, _ = io.Copy(io.Discard, q.Body)
		s.respond(c, q, http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\nX-Instance-Id: "+s.id+"\r\n", "")
		return true
	}
	switch {
	case q.Method == http.MethodGet && q.URL.Path == "/health":
		s.respond(c, q, http.StatusOK, "X-Instance-Id: "+s.id+"\r\n", "")
		return true
	case q.Method == http.MethodPost && (q.URL.Path == "/grant" || q.URL.Path == "/release") && q.Header.Get("X-Attempt-Id") == "":
		s.order(c, q)
		return true
	case q.Header.Get("X-Attempt-Id") == "":
		_, _ = io.Copy(io.Discard, q.Body)
		s.respond(c, q, http.StatusBadRequest, "X-Not-Executed: 1\r\n", "")
		return true
	}
	if s.early != nil {
		if handled, keep := s.early(s, c, in, q); handled {
			return keep
		}
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false
	}
	if s.sharded && !s.holds(q) {
		s.respond(c, q, http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\n", "")
		return true
	}
	if s.running.Add(1) > int64(s.slots)+16 {
		s.running.Add(-1)
		s.respond(c, q, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
		return true
	}
	if s.onRun != nil {
		s.onRun(s, q, body)
	}
	time.Sleep(s.work())
	s.running.Add(-1)
	if s.answer != nil && s.answer(s, c, q) {
		return true
	}
	s.respond(c, q, http.StatusOK, "X-Server-Seal: "+s.seal(q)+"\r\n", "answer to "+q.Header.Get("X-Attempt-Id"))
	return true
}

func (s *server) holds(q *http.Request) bool {
	key, err := strconv.ParseUint(q.Header.Get("X-Shard-Key"), 10, 16)
	s.mu.Lock()
	defer s.mu.Unlock()
	return err == nil && time.Now().Before(s.until[key])
}

// order obeys a grant or a release.
func (s *server) order(c net.Conn, q *http.Request) {
	var o struct {
		From   int     `json:"from"`
		Target int     `json:"target"`
		Fence  uint64  `json:"fence"`
		Hold   float64 `json:"holdS"`
	}
	err := json.NewDecoder(q.Body).Decode(&o)
	_, _ = io.Copy(io.Discard, q.Body)
	if err != nil || !s.sharded || o.From < 0 || o.Target >= keySpace || o.From > o.Target {
		s.respond(c, q, http.StatusBadRequest, "", "")
		return
	}
	s.mu.Lock()
	if q.URL.Path == "/grant" {
		for k := o.From; k <= o.Target; k++ {
			if s.fence[k] > o.Fence {
				s.mu.Unlock()
				s.respond(c, q, http.StatusConflict, "", "")
				return
			}
		}
	}
	for k := o.From; k <= o.Target; k++ {
		s.fence[k] = max(s.fence[k], o.Fence)
		s.until[k] = time.Time{}
		if q.URL.Path == "/grant" {
			s.until[k] = time.Now().Add(time.Duration(o.Hold * float64(time.Second)))
		}
	}
	s.mu.Unlock()
	s.respond(c, q, http.StatusOK, "X-Handover: "+fmt.Sprintf("%016x", rand.Uint64())+"\r\n", "")
}
