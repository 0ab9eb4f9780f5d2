package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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

	extra  float64 // share of its answers to orders that it sends once more where the next one is due
	owners *owners
	state  string

	mu       sync.Mutex
	fence    [keySpace]uint64    // highest seen
	until    [keySpace]time.Time // held until
	extras   map[net.Conn]string // second answers that are still to be sent
	open     map[net.Conn]bool
	listener net.Listener
	ended    chan struct{}
}

func (r *rig) newServer(n int, service string) *server {
	s := &server{
		rig: r, id: fmt.Sprintf("i-%s-%08x", service, rand.Uint32()), service: service, slots: 4,
		state: "ready", ended: make(chan struct{}), extras: map[net.Conn]string{}, open: map[net.Conn]bool{},
		work: func() time.Duration { return 60*time.Millisecond + rand.N(40*time.Millisecond) },
	}
	s.addr = fmt.Sprintf("%s%d:8080", r.net, 100+n)
	return s
}

func (s *server) entry() map[string]any {
	s.sequence++
	return map[string]any{
		"service": s.service, "address": s.addr, "zone": "a", "version": "v1", "slots": s.slots,
		"state": s.state, nWarmup: 0, "sequence": s.sequence,
	}
}

// run listens and renews the entry in the store.
func (s *server) run() {
	l, err := net.Listen("tcp", s.addr)
	check(err)
	s.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	s.beat()
	go func() {
		for range time.Tick(870 * time.Millisecond) {
			select {
			case <-s.ended:
				_ = l.Close()
				return
			default:
				s.beat()
			}
		}
	}()
}

// beat renews the entry.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rig.store.put("servers", s.id, s.entry())
}

// leave drains and ends the instance.
func (s *server) leave() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
	time.Sleep(5 * time.Second)
	close(s.ended)
	time.Sleep(time.Second)
	s.rig.store.drop("servers", s.id)
}

// crash ends the instance at once. Its entry lapses after three heartbeats.
func (s *server) crash() {
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.open {
		_ = c.Close()
	}
	s.mu.Unlock()
	select {
	case <-s.ended:
		return
	default:
		close(s.ended)
	}
	time.AfterFunc(2610*time.Millisecond, func() { s.rig.store.drop("servers", s.id) })
}

func (s *server) serve(c net.Conn) {
	s.mu.Lock()
	s.open[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
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
	if v := q.Header.Get(nAttempt); v != "" {
		id = nAttempt + ": " + v + "\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%s"+nLoad+": %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, header, s.load(), len(body), body)
}

// seal is the signature of an answer.
func (s *server) seal(q *http.Request) string { return s.id + "." + q.Header.Get(nAttempt) }

func (s *server) handle(c net.Conn, in *bufio.Reader, q *http.Request) bool {
	if want := q.Header.Get(nExpected); want != "" && want != s.id {
		_, _ = io.Copy(io.Discard, q.Body)
		s.respond(c, q, http.StatusMisdirectedRequest, nNotRun+": 1\r\n"+nInstance+": "+s.id+"\r\n", "")
		return true
	}
	switch {
	case q.Method == http.MethodGet && q.URL.Path == "/health":
		s.respond(c, q, http.StatusOK, nInstance+": "+s.id+"\r\n", "")
		return true
	case q.Method == http.MethodPost && (q.URL.Path == "/grant" || q.URL.Path == "/release") && q.Header.Get(nAttempt) == "":
		s.order(c, q)
		return true
	case q.Header.Get(nAttempt) == "":
		_, _ = io.Copy(io.Discard, q.Body)
		s.respond(c, q, http.StatusBadRequest, nNotRun+": 1\r\n", "")
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
	if s.sharded {
		end, ok := s.owners.begin(s, q)
		if !ok {
			s.respond(c, q, http.StatusMisdirectedRequest, nNotRun+": 1\r\n", "")
			return true
		}
		defer end()
	}
	if s.running.Add(1) > int64(s.slots)+16 {
		s.running.Add(-1)
		s.respond(c, q, http.StatusServiceUnavailable, nNotRun+": 1\r\n", "")
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
	s.respond(c, q, http.StatusOK, nSeal+": "+s.seal(q)+"\r\n", "answer to "+q.Header.Get(nAttempt))
	return true
}

// order obeys a grant or a release.
func (s *server) order(c net.Conn, q *http.Request) {
	var o struct {
		From   int    `json:"from"`
		Target int    `json:"target"`
		Fence  uint64 `json:"fence"`
	}
	var times map[string]any
	text, err := io.ReadAll(q.Body)
	err = errors.Join(err, json.Unmarshal(text, &o), json.Unmarshal(text, &times))
	hold, _ := times[nHold].(float64)
	_, _ = io.Copy(io.Discard, q.Body)
	s.mu.Lock()
	late := s.extras[c]
	delete(s.extras, c)
	s.mu.Unlock()
	if late != "" {
		if q.URL.Path == "/release" && s.owners.busy(s, o.From, o.Target) {
			s.rig.record("instance %s sends its late answer where the answer to the release of keys %d to %d is due, on which it is at work", s.id, o.From, o.Target)
		}
		_, _ = io.WriteString(c, late)
	}
	status, header := http.StatusOK, ""
	switch {
	case err != nil || !s.sharded || o.From < 0 || o.Target >= keySpace || o.From > o.Target:
		status = http.StatusBadRequest
	case q.URL.Path == "/grant":
		if !s.owners.grant(s, o.From, o.Target, o.Fence, time.Duration(hold*float64(time.Second))) {
			status = http.StatusConflict
		}
	default:
		s.owners.release(s, o.From, o.Target, o.Fence)
		header = nHandover + ": " + fmt.Sprintf("%016x", rand.Uint64()) + "\r\n"
	}
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), header)
	_, _ = io.WriteString(c, answer)
	if s.extra > 0 && window(time.Since(s.rig.start)) && rand.Float64() < s.extra {
		s.mu.Lock()
		s.extras[c] = answer
		s.mu.Unlock()
		s.owners.noteExtra(s, q.URL.Path)
	}
}
