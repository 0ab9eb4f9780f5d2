package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["poison"] = casePoison }

// The upload that crashes each instance that begins to run it. Its body is sent in chunks.
const (
	poisonSize  = 1_200_000
	poisonPath  = "/samples/poison"
	poisonEvery = 1500 * time.Millisecond
	touch       = 3 * time.Second // stableWindowS
)

// casePoison: an upload crashes each instance that begins to run it, and comes again with the same
// path, caller and body, at any VM. The instances are back after some seconds.
func casePoison(r *rig, trouble bool) int {
	b := newBook()
	r.configure(m{"r-1": m{
		"host": "lab.example", nPrefix: "/samples/", "kind": "upload", "targetLatencyS": 0.6,
		"priority": 1, "service": "lab", "maxAttempts": 2,
	}}, m{"lab": plainService()})
	var mu sync.Mutex
	var crashes []time.Time
	sent := map[string]time.Time{}
	late, n := 0, 0
	var start func()
	start = func() {
		mu.Lock()
		s := r.newServer(n%100, "lab")
		n++
		mu.Unlock()
		s.onRun = func(s *server, q *http.Request, body []byte) {
			b.ran(s, q, body)
			if !trouble || q.URL.Path != poisonPath {
				return
			}
			mu.Lock()
			at := sent[q.Header.Get(nAttempt)]
			crashes = append(crashes, time.Now())
			k := len(crashes)
			if k > 3 && at.Sub(crashes[2]) > touch {
				late++
			}
			mu.Unlock()
			r.record("instance %s begins to run the upload %s and crashes, as number %d", s.id, q.Header.Get(nAttempt), k)
			s.crash()
			time.AfterFunc(4*time.Second, start)
		}
		s.run()
	}
	for range 10 {
		start()
	}
	r.startVMs()
	end := time.Now().Add(45 * time.Second)
	var wg sync.WaitGroup
	for _, v := range r.vms {
		for range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				k := &client{rig: r, book: b, vm: v, host: "lab.example"}
				for time.Now().Before(end) {
					k.post(fmt.Sprintf("/samples/%d", rand.IntN(1000)), "a sample")
					time.Sleep(rand.N(100 * time.Millisecond))
				}
			}()
		}
	}
	body := bytes.Repeat([]byte("sample. "), poisonSize/8)
	for time.Now().Before(end) {
		v := r.vms[rand.IntN(len(r.vms))]
		a := b.add(poisonPath, false)
		mu.Lock()
		sent[a.id] = time.Now()
		mu.Unlock()
		status := r.sendPoison(v, a.id, body)
		r.record("the upload is sent to %s as %s: %s", v.name, a.id, status)
		time.Sleep(poisonEvery)
	}
	wg.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	answered := 0
	for _, a := range b.all {
		if a.status == http.StatusOK {
			answered++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	r.record("requests %d, answered 200 %d, times that the upload was sent %d, instances that crashed %d, of these by a retry sent later than 3 s after the third crash (BUDGET, more than 3 break the rule) %d", len(b.all), answered, len(sent), len(crashes), late)
	if late > 3 {
		return late
	}
	return 0
}

// sendPoison sends the upload in chunks, always from the same address, and returns how it ended.
func (r *rig) sendPoison(v *vm, id string, body []byte) string {
	from := &net.TCPAddr{IP: net.ParseIP(r.net + "250")}
	d := net.Dialer{Timeout: time.Second, LocalAddr: from}
	c, err := d.Dial("tcp", v.front())
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	go func() {
		_, err := io.WriteString(c, head(http.MethodPost, "lab.example", poisonPath, id, "Transfer-Encoding: chunked\r\n"))
		const piece = 60_000
		for at := 0; at < len(body) && err == nil; at += piece {
			p := body[at:min(at+piece, len(body))]
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(p), p)
		}
		if err == nil {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	}()
	buf := make([]byte, 64)
	k, err := io.ReadAtLeast(c, buf, 12)
	if err != nil {
		return err.Error()
	}
	line, _, _ := bytes.Cut(buf[:k], []byte("\r\n"))
	return string(line)
}
