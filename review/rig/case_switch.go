package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["switch"] = caseSwitch }

// patient is an attempt of a client that waits for its answer longer than its route's timeoutS.
type patient struct {
	*attempt
	took time.Duration
}

// caseSwitch: a faulty instance answers with the head of a change of protocols that nobody asked
// for. Clients wait 8 s; the route's timeoutS is 1.
func caseSwitch(r *rig, trouble bool) int {
	const timeout, wait = time.Second, 8 * time.Second
	b := newBook()
	var begin time.Time
	wrong := map[string]bool{}
	r.lookups(b, func(s *server, c net.Conn, q *http.Request) bool {
		if !trouble || begin.IsZero() || !window(time.Since(begin)-4*time.Second) || rand.Float64() > 0.02 {
			return false
		}
		id := q.Header.Get(nAttempt)
		b.mu.Lock()
		wrong[id] = true
		b.mu.Unlock()
		r.record("instance %s answers %s with 'HTTP/1.1 101 Switching Protocols'", s.id, id)
		fmt.Fprintf(c, "HTTP/1.1 101 Switching Protocols\r\n"+nAttempt+": %s\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", id)
		return true
	})
	r.startVMs()
	begin = time.Now()
	end := begin.Add(playTime)
	var mu sync.Mutex
	var all []*patient
	var wg sync.WaitGroup
	for _, v := range r.vms {
		for range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				k := &client{rig: r, book: b, vm: v, host: "reg.example"}
				for time.Now().Before(end) {
					if !k.connect() {
						continue
					}
					p := &patient{attempt: b.add("/orders/b/2f", k.answers > 0)}
					sent := time.Now()
					_ = k.c.SetDeadline(sent.Add(wait))
					_, err := fmt.Fprintf(k.c, "GET /orders/b/2f HTTP/1.1\r\nHost: reg.example\r\n"+nAttempt+": %s\r\n"+nLeft+": %d\r\n\r\n", p.id, wait.Milliseconds())
					if err == nil {
						err = k.read(p.attempt, http.MethodGet)
					}
					p.took = time.Since(sent)
					mu.Lock()
					all = append(all, p)
					mu.Unlock()
					if err != nil {
						k.drop()
					}
					time.Sleep(rand.N(100 * time.Millisecond))
				}
			}()
		}
	}
	wg.Wait()
	late, unanswered := 0, 0
	for _, p := range all {
		if p.took < timeout {
			continue
		}
		late++
		if p.took >= timeout+500*time.Millisecond {
			unanswered++
			r.record("request %s: no answer within %.2f s; wrong answer by its instance: %v; status in the end %d", p.id, p.took.Seconds(), wrong[p.id], p.status)
		}
	}
	r.record("sent %d, wrong answers %d, unanswered at timeoutS %d, of these half a second later %d (CONFIG: more than half break the rule)", len(all), len(wrong), late, unanswered)
	if 2*unanswered > late {
		return unanswered
	}
	return 0
}
