package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term"] = caseTerm }

// balancer is a stand-in for the platform's ingress: it asks each VM once a second whether it is
// ready and gives it no new connections after two misses.
type balancer struct {
	rig    *rig
	mu     sync.Mutex
	misses map[*vm]int
}

func (b *balancer) run() {
	for _, v := range b.rig.vms {
		go func() {
			for range time.Tick(time.Second) {
				ok := v.isReady()
				b.mu.Lock()
				b.misses[v]++
				if ok {
					b.misses[v] = 0
				}
				b.mu.Unlock()
			}
		}()
	}
}

func (b *balancer) pick() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*vm
	for _, v := range b.rig.vms {
		if b.misses[v] < 2 {
			all = append(all, v)
		}
	}
	if len(all) == 0 {
		all = b.rig.vms
	}
	return all[rand.IntN(len(all))]
}

// Uploads as on the sheet of the grown deployment: deadline 5 s, 360,000 bytes at most.
const (
	slowSize     = 360_000
	slowDeadline = 5 * time.Second
	slowTime     = 3600 * time.Millisecond // over a client's link of 800 kbit/s
	slowSteps    = 64
	grace        = 6 * time.Second
)

// upload is an attempt with its times.
type slowUpload struct {
	*attempt
	vm                  *vm
	begun, sent, ended  time.Time
	runFrom, runTo      time.Time
	answered, connected bool
}

// caseTerm: VMs get SIGTERM in turn while clients with slow links upload.
func caseTerm(r *rig, trouble bool) int {
	b := newBook()
	var mu sync.Mutex
	uploads := map[string]*slowUpload{}
	r.configure(m{"r-1": m{
		"host": "lab.example", nPrefix: "/samples/", "kind": "upload", "targetLatencyS": 1.2,
		"priority": 1, "service": "lab", "maxAttempts": 2,
	}}, m{"lab": plainService()})
	for i := range 6 {
		s := r.newServer(i, "lab")
		s.work = func() time.Duration { return 200*time.Millisecond + rand.N(150*time.Millisecond) }
		s.onRun = func(s *server, q *http.Request, body []byte) {
			b.ran(s, q, body)
			mu.Lock()
			defer mu.Unlock()
			if u := uploads[q.Header.Get(nAttempt)]; u != nil {
				u.runFrom = time.Now()
			}
		}
		s.answer = func(s *server, c net.Conn, q *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			if u := uploads[q.Header.Get(nAttempt)]; u != nil {
				u.runTo = time.Now()
			}
			return false
		}
		s.run()
	}
	r.startVMs()
	bal := &balancer{rig: r, misses: map[*vm]int{}}
	bal.run()
	end := time.Now().Add(34 * time.Second)
	terms := map[*vm]time.Time{}
	var wg sync.WaitGroup
	for range 90 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(rand.N(3 * time.Second))
			for time.Now().Before(end) {
				v := bal.pick()
				u := &slowUpload{attempt: b.add("/samples/2f", false), vm: v, begun: time.Now()}
				mu.Lock()
				uploads[u.id] = u
				mu.Unlock()
				r.slowUpload(b, u)
				time.Sleep(rand.N(300 * time.Millisecond))
			}
		}()
	}
	if trouble {
		for i, v := range r.vms {
			time.Sleep(time.Until(end.Add(time.Duration(i*10-30) * time.Second)))
			mu.Lock()
			terms[v] = time.Now()
			mu.Unlock()
			r.record("SIGTERM to %s", v.name)
			v.mu.Lock()
			p, done := v.cmd.Process, v.done
			v.mu.Unlock()
			_ = p.Signal(syscall.SIGTERM)
			kill := time.AfterFunc(grace, func() { _ = p.Kill() })
			go func() { <-done; kill.Stop() }()
		}
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	lost, excused, answered := 0, 0, 0
	for _, u := range uploads {
		if u.status == http.StatusOK && u.seal != "" {
			answered++
			continue
		}
		at, stopped := terms[u.vm]
		if !stopped || u.runFrom.IsZero() || u.sent.IsZero() || u.ended.Sub(u.begun) >= slowDeadline-100*time.Millisecond {
			continue
		}
		after := u.sent.Sub(at)
		if after < 0 || u.sent.After(at.Add(grace+time.Second)) {
			continue
		}
		if after <= 3*time.Second && u.runTo.Sub(at) >= grace*5/6 {
			excused++ // its instance was still at work in the last sixth of graceS
			continue
		}
		lost++
		r.record("upload %s: sent whole %.2f s after the SIGTERM of %s, run by %v from %.2f s on; at %.2f s its client gets %d without a seal", u.id, after.Seconds(), u.vm.name, u.ranAt, u.runFrom.Sub(at).Seconds(), u.ended.Sub(at).Seconds(), u.status)
	}
	r.record("uploads sent %d, answered by their instances %d, excused %d, LOST %d", len(uploads), answered, excused, lost)
	return lost
}

// slowUpload sends an upload over a slow link, on a connection of its own, and reads the answer.
func (r *rig) slowUpload(b *book, u *slowUpload) {
	c, err := net.DialTimeout("tcp", u.vm.front(), time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(u.begun.Add(slowDeadline))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := fmt.Fprintf(c, "POST /samples/2f HTTP/1.1\r\nHost: lab.example\r\n"+nAttempt+": %s\r\n"+nLeft+": %d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", u.id, slowDeadline.Milliseconds(), slowSize)
		piece := make([]byte, slowSize/slowSteps)
		for range slowSteps {
			if err != nil {
				return
			}
			time.Sleep(slowTime / slowSteps)
			_, err = c.Write(piece)
		}
		b.mu.Lock()
		u.sent = time.Now()
		b.mu.Unlock()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	status, seal := 0, ""
	if err == nil {
		if _, err = io.Copy(io.Discard, resp.Body); err == nil {
			status, seal = resp.StatusCode, resp.Header.Get(nSeal)
		}
	}
	ended := time.Now()
	_ = c.Close()
	<-done
	b.mu.Lock()
	u.status, u.seal, u.ended = status, seal, ended
	b.mu.Unlock()
}
