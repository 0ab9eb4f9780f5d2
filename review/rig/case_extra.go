package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["extra"] = caseExtra }

// caseExtra: instances are added to a divided service and taken away from it, and some of them
// send a second answer after some of their answers to orders, late.
func caseExtra(r *rig, trouble bool) int {
	const instances, busyKeys = 30, 30
	b := newBook()
	o := newOwners(r)
	service := plainService()
	service["sharded"], service["warmS"], service["grants"] = true, 3.0, "call"
	r.configure(m{"r-1": m{
		"host": "records.example", nPrefix: "/surveys/", "kind": "idempotent", "timeoutS": 1.5, "targetLatencyS": 0.6,
		"priority": 2, "service": "records", "maxAttempts": 2,
	}}, m{"records": service})
	n := 0
	start := func() *server {
		s := r.newServer(n%100, "records")
		s.work = func() time.Duration { return 180*time.Millisecond + rand.N(120*time.Millisecond) } // 240 ms
		s.onRun = b.ran
		if trouble && n%5 < 3 { // six in ten of them
			s.faulty, s.extra = true, 0.03
		}
		n++
		o.add(s)
		s.run()
		return s
	}
	var all []*server
	for range instances {
		all = append(all, start())
	}
	r.startVMs()
	time.Sleep(2 * time.Second)
	end := time.Now().Add(92 * time.Second)
	var wg sync.WaitGroup
	for _, v := range r.vms {
		for range 30 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				k := &client{rig: r, book: b, vm: v, host: "records.example"}
				for time.Now().Before(end) {
					k.getKey("/surveys/2f", rand.IntN(busyKeys)*(keySpace/busyKeys))
					time.Sleep(rand.N(40 * time.Millisecond))
				}
			}()
		}
	}
	for time.Now().Before(end.Add(-6 * time.Second)) { // four are added, and four drain and leave
		all = append(all, start(), start(), start(), start())
		time.Sleep(1100 * time.Millisecond)
		for _, oldest := range all[:4] {
			r.record("instance %s drains", oldest.id)
			wg.Add(1)
			go func() { defer wg.Done(); oldest.leave() }()
		}
		all = all[4:]
	}
	wg.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	statuses := map[int]int{}
	for _, a := range b.all {
		statuses[a.status]++
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r.record("requests by status %v, begun %d, grants %d, releases %d, extra answers %d, OWNER %d", statuses, o.began, o.grants, o.releases, o.extras, o.broken)
	return o.broken
}

// getKey sends a lookup for a key and reads its answer.
func (k *client) getKey(path string, key int) {
	if !k.connect() {
		return
	}
	a := k.book.add(path, k.answers > 0)
	_ = k.c.SetDeadline(time.Now().Add(3 * time.Second))
	_, err := fmt.Fprint(k.c, head(http.MethodGet, k.host, path, a.id, fmt.Sprintf(nKey+": %d\r\n", key)))
	if err == nil {
		err = k.read(a, http.MethodGet)
	}
	if err != nil {
		k.drop()
	}
}
