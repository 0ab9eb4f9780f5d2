package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one attempt of a client and its end.
type attempt struct {
	id      string
	method  string
	uri     string
	host    string
	body    string
	key     int
	left    time.Duration
	vm      *VM
	at      time.Time
	status  int    // zero: no complete answer
	why     string // of an attempt without an answer
	answer  time.Time
	chunked bool
	kept    bool // it was sent on a kept connection
	retry   time.Duration
}

var attemptCount atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", attemptCount.Add(1), rand.Uint32()) }

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	r    *bufio.Reader
	vm   *VM
	uses int
	idle time.Time
}

func dialVM(v *VM) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", v.ip, v.site.front), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, r: bufio.NewReader(c), vm: v}, nil
}

func (a *attempt) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", a.method, a.uri, a.host, names["attempt"], a.id, names["left"], a.left.Milliseconds())
	if a.key >= 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", names["key"], a.key)
	}
	switch {
	case a.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case a.method != "GET":
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

func (a *attempt) announce() {
	fl.mu.Lock()
	fl.sent[a.id] = sentReq{a.method, a.uri, sumOf([]byte(a.body))}
	fl.mu.Unlock()
}

func (a *attempt) payload() string {
	if !a.chunked {
		return a.body
	}
	var b strings.Builder
	for rest := a.body; rest != ""; {
		n := min(len(rest), 1000)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// send makes the attempt on a connection.
func (a *attempt) send(c *clientConn) {
	a.vm, a.at, a.kept = c.vm, time.Now(), c.uses > 0
	a.announce()
	c.uses++
	_ = c.SetDeadline(a.at.Add(a.left + 50*time.Millisecond))
	if _, err := io.WriteString(c, a.head()+a.payload()); err != nil {
		// an answer may have come all the same
		a.why = "write: " + err.Error()
	}
	a.readAnswer(c)
}

func (a *attempt) readAnswer(c *clientConn) {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: a.method})
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(resp.Body); err == nil {
			a.status, a.answer = resp.StatusCode, time.Now()
			a.check(resp, body)
			if resp.Close {
				_ = c.Close()
				c.uses = -1
			}
		}
	}
	if err != nil {
		a.answer = time.Now()
		var ne net.Error
		switch {
		case errors.As(err, &ne) && ne.Timeout():
			a.why = "deadline"
		default:
			a.why = "cut: " + err.Error()
		}
		_ = c.Close()
		c.uses = -1
	}
	logf("client %s %s via %s: %d %s after %d ms", a.method, a.id, a.vm.name, a.status, a.why, a.answer.Sub(a.at).Milliseconds())
}

func (a *attempt) query() string { _, q, _ := strings.Cut(a.uri, "?"); return q }

// check judges an answer.
func (a *attempt) check(resp *http.Response, body []byte) {
	if ra := resp.Header.Get("Retry-After"); ra != "" {
		s, _ := strconv.ParseFloat(ra, 64)
		a.retry = time.Duration(s * float64(time.Second))
	}
	seal := resp.Header.Get(names["seal"])
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if resp.StatusCode < 300 {
		instance, _, _ := strings.Cut(seal, ".")
		if seal != sealOf(a.id, instance, resp.StatusCode) || string(body) != answerBody(a.id, instance, a.query()) {
			fl.broken("MIXED", "%s got a success that is not an instance's whole answer to it", a.id)
		}
	} else if seal != "" {
		instance, _, _ := strings.Cut(seal, ".")
		if seal != sealOf(a.id, instance, resp.StatusCode) {
			fl.broken("MIXED", "%s got %d with a seal of another status", a.id, resp.StatusCode)
		}
	}
	switch resp.StatusCode {
	case 408, 421, 429, 503:
		if a.method == "POST" {
			if fl.refused == nil {
				fl.refused = map[string]int{}
			}
			fl.refused[a.id] = resp.StatusCode
			if fl.runs[a.id] > 0 {
				fl.broken("REFUSED", "%s was answered %d via %s and has run", a.id, resp.StatusCode, a.vm.name)
			}
		}
	}
}

// kindOfRequest describes what clients send.
type kindOfRequest struct {
	name, method, host, prefix string
	keyed                      bool
	body                       int
	deadline                   time.Duration
	pipeline                   int
	fresh                      bool
	retries                    int
	chunked                    bool
	size                       int
}

// traffic sends requests until it is stopped.
type traffic struct {
	s        *site
	mu       sync.Mutex
	attempts []*attempt
	wg       sync.WaitGroup
	stop     chan struct{}
}

func (t *traffic) add(a *attempt) { t.mu.Lock(); t.attempts = append(t.attempts, a); t.mu.Unlock() }

func (t *traffic) client(k kindOfRequest, n int, pause time.Duration) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		rng := rand.New(rand.NewPCG(uint64(n), 99))
		var c *clientConn
		for i := 0; ; i++ {
			select {
			case <-t.stop:
				if c != nil {
					_ = c.Close()
				}
				return
			case <-time.After(time.Duration(float64(pause) * (0.5 + rng.Float64()))):
			}
			began := time.Now()
			for try := 0; try <= k.retries; try++ {
				left := k.deadline - time.Since(began)
				if left < 50*time.Millisecond {
					break
				}
				if c != nil && (c.uses < 0 || k.fresh || try > 0 || time.Since(c.idle) > 8*time.Second || !c.vm.isIn()) {
					_ = c.Close()
					c = nil
				}
				if c == nil {
					var err error
					if c, err = dialVM(t.s.node(rng.IntN(1000))); err != nil {
						c = nil
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				a := &attempt{id: newID(), method: k.method, host: k.host, key: -1, left: left, chunked: k.chunked}
				a.uri = k.prefix + strconv.Itoa(rng.IntN(50)) + "?n=" + a.id[:6]
				if k.size > 0 {
					a.uri += "&s=" + strconv.Itoa(1+rng.IntN(k.size))
				}
				if k.keyed {
					a.key = rng.IntN(keyCount)
				}
				if k.body > 0 {
					a.body = strings.Repeat(a.id, k.body/16+1)[:k.body]
				}
				a.send(c)
				c.idle = time.Now()
				t.add(a)
				if a.status > 0 && a.status < 300 || a.status == 400 || a.status == 404 || a.status == 413 {
					break
				}
				promise := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421
				if k.method == "POST" && !promise {
					break
				}
				time.Sleep(min(a.retry, (k.deadline-time.Since(began))/3))
			}
		}
	}()
}

func (v *VM) isIn() bool { v.mu.Lock(); defer v.mu.Unlock(); return v.inPlace }

// tally says how attempts ended.
func (t *traffic) tally(since, until time.Time) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for _, a := range t.attempts {
		if a.at.Before(since) || !a.at.Before(until) {
			continue
		}
		name := a.method + " " + strconv.Itoa(a.status)
		if a.status == 0 {
			name = a.method + " " + strings.SplitN(a.why, ":", 2)[0]
		}
		out[name]++
	}
	return out
}

// pipeliner sends several lookups before the first is answered.
func (t *traffic) pipeliner(k kindOfRequest, n int, pause time.Duration) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		rng := rand.New(rand.NewPCG(uint64(n), 77))
		var c *clientConn
		for {
			select {
			case <-t.stop:
				if c != nil {
					_ = c.Close()
				}
				return
			case <-time.After(time.Duration(float64(pause) * (0.5 + rng.Float64()))):
			}
			if c == nil || c.uses < 0 || !c.vm.isIn() {
				if c != nil {
					_ = c.Close()
				}
				var err error
				if c, err = dialVM(t.s.node(rng.IntN(1000))); err != nil {
					c = nil
					continue
				}
			}
			var all []*attempt
			var out strings.Builder
			for range 1 + rng.IntN(k.pipeline) {
				a := &attempt{id: newID(), method: "GET", host: k.host, key: -1, left: k.deadline, vm: c.vm, at: time.Now(), kept: c.uses > 0}
				a.uri = k.prefix + strconv.Itoa(rng.IntN(50)) + "?n=" + a.id[:6]
				if k.size > 0 {
					a.uri += "&s=" + strconv.Itoa(1+rng.IntN(k.size))
				}
				if k.keyed {
					a.key = rng.IntN(keyCount)
				}
				a.announce()
				out.WriteString(a.head())
				all = append(all, a)
				c.uses++
			}
			_ = c.SetDeadline(time.Now().Add(k.deadline * 2))
			text := out.String()
			for text != "" {
				cut := len(text)
				if rng.IntN(2) == 0 {
					cut = 1 + rng.IntN(len(text))
				}
				if _, err := io.WriteString(c, text[:cut]); err != nil {
					break
				}
				text = text[cut:]
				time.Sleep(time.Duration(rng.IntN(3)) * time.Millisecond)
			}
			for _, a := range all {
				a.readAnswer(c)
				t.add(a)
				if c.uses < 0 {
					break
				}
			}
		}
	}()
}
