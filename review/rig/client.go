package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is one client attempt: what was sent, what ran and what was answered.
type attempt struct {
	id, path string
	ranAt    []string // instances that ran it
	status   int      // 0: no answer
	seal     string
	body     string
	closed   bool // the connection was closed without an answer
	kept     bool // sent on a connection on which a request had been answered before
}

// book holds all attempts of a case.
type book struct {
	mu  sync.Mutex
	all map[string]*attempt
}

func newBook() *book { return &book{all: map[string]*attempt{}} }

func (b *book) add(path string, kept bool) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, kept: kept}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all[a.id] = a
	return a
}

func (b *book) ran(s *server, q *http.Request, _ []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.all[q.Header.Get(nAttempt)]; a != nil {
		a.ranAt = append(a.ranAt, s.id)
		return
	}
	s.rig.record("instance %s runs an id that no client sent: %s", s.id, q.Header.Get(nAttempt))
}

// client keeps one connection to a VM and sends requests on it.
type client struct {
	rig     *rig
	book    *book
	vm      *vm
	host    string
	c       net.Conn
	in      *bufio.Reader
	answers int // on this connection
}

func (k *client) connect() bool {
	if k.c != nil {
		return true
	}
	c, err := net.DialTimeout("tcp", k.vm.front(), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return false
	}
	k.c, k.in, k.answers = c, bufio.NewReader(c), 0
	return true
}

func (k *client) drop() {
	if k.c != nil {
		_ = k.c.Close()
		k.c = nil
	}
	time.Sleep(100 * time.Millisecond)
}

func head(method, host, path, id string, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n"+nAttempt+": %s\r\n"+nLeft+": 2000\r\n%s\r\n", method, path, host, id, more)
}

// get sends n lookups at once on the connection and reads their answers.
func (k *client) get(n int, path string) {
	if !k.connect() {
		return
	}
	var all []*attempt
	text := ""
	for range n {
		a := k.book.add(path, k.answers > 0)
		all = append(all, a)
		text += head(http.MethodGet, k.host, path, a.id, "")
	}
	_ = k.c.SetDeadline(time.Now().Add(3 * time.Second))
	_, err := io.WriteString(k.c, text)
	for _, a := range all {
		if err == nil {
			err = k.read(a, http.MethodGet)
		}
		if err != nil {
			k.book.mu.Lock()
			a.closed = true
			k.book.mu.Unlock()
		}
	}
	if err != nil {
		k.drop()
	}
}

// read reads the answer to an attempt.
func (k *client) read(a *attempt, method string) error {
	resp, err := http.ReadResponse(k.in, &http.Request{Method: method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	k.answers++
	k.book.mu.Lock()
	a.status, a.seal, a.body = resp.StatusCode, resp.Header.Get(nSeal), string(body)
	k.book.mu.Unlock()
	if resp.Close {
		k.drop()
	}
	return nil
}

// post sends one request with a body and reads its answer.
func (k *client) post(path, body string) {
	if !k.connect() {
		return
	}
	a := k.book.add(path, k.answers > 0)
	_ = k.c.SetDeadline(time.Now().Add(3 * time.Second))
	_, err := io.WriteString(k.c, head(http.MethodPost, k.host, path, a.id, fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
	if err == nil {
		err = k.read(a, http.MethodPost)
	}
	if err != nil {
		k.book.mu.Lock()
		a.closed = true
		k.book.mu.Unlock()
		k.drop()
	}
}
