package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"
)

type lab struct {
	s       *site
	lookups []*Instance
	ledgers []*Instance
	loads   []*Instance
	t       *traffic
	rng     *rand.Rand
	version int
	stop    chan struct{}
	two     bool // tallyhouse is sharded too
	added   bool // there is a further route
}

func (l *lab) loadRoute(r map[string]any) map[string]any {
	if l.two && l.version%2 == 0 {
		delete(r, "service")
		r[names["split"]] = []any{map[string]any{"service": "tarelab", "weight": 60}, map[string]any{"service": "scaleview", "weight": 40}}
	}
	return r
}

func (l *lab) putConfig() {
	l.version += 1 + l.rng.IntN(4)
	limits := map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}
	route := func(prefix, kind, service string, timeout, aim float64, prio, most int) map[string]any {
		return map[string]any{"host": "a.example", names["prefix"]: prefix, "kind": kind, "service": service, "timeoutS": timeout, "targetLatencyS": aim, "priority": prio, "maxAttempts": most}
	}
	svc := func(sharded bool) map[string]any {
		m := map[string]any{"healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}
		if sharded {
			m["sharded"], m["warmS"], m["grants"] = true, 3.0, "call"
		}
		return m
	}
	routes := map[string]any{
		"look": route("/look/", "idempotent", "scaleview", 2, 0.5, 2, 2),
		"book": route("/book/", "non_idempotent", "tallyhouse", 2.5, 0.6, 1, 2),
		"file": route("/file/", "non_idempotent", "scaleview", 2.5, 0.6, 1, 2),
		"load": l.loadRoute(route("/load/", "upload", "tarelab", 2.5, 0.6, 1, 2)),
	}
	if l.added {
		routes["new"] = route("/new/", "idempotent", "scaleview", 2, 0.5, 2, 2)
	}
	l.s.st.put("config", "main", map[string]any{
		"version": l.version, "limits": limits, "routes": routes,
		"services": map[string]any{"scaleview": svc(true), "tallyhouse": svc(l.two), "tarelab": svc(false)},
	})
}

func newLab(vms int, seed uint64) *lab {
	l := &lab{s: newSite(vms), rng: rand.New(rand.NewPCG(seed, 11)), stop: make(chan struct{})}
	l.version = 3
	l.two = seed%2 == 0 && os.Args[1] == "explore"
	add := func(service string, n int, sharded bool, d time.Duration) (out []*Instance) {
		for i := range n {
			in := newInstance(l.s.st, fmt.Sprintf("i-%s%02d", service[:3], i), service, l.s.net+".200:0", "here", sharded, 4, d)
			in.start()
			out = append(out, in)
		}
		return
	}
	l.lookups = add("scaleview", 8, true, 80*time.Millisecond)
	l.ledgers = add("tallyhouse", 5, l.two, 100*time.Millisecond)
	l.loads = add("tarelab", 4, false, 100*time.Millisecond)
	l.putConfig()
	for _, v := range l.s.vms {
		v.start()
	}
	l.s.waitReady(15 * time.Second)
	go l.s.balance(l.stop)
	go watchOwners(l.stop)
	l.t = &traffic{s: l.s, stop: make(chan struct{})}
	time.Sleep(3 * time.Second)
	return l
}

func (l *lab) usualTraffic() {
	for i := range 16 {
		l.t.client(kindOfRequest{name: "look", method: "GET", host: "a.example", prefix: "/look/", keyed: true, deadline: 2 * time.Second, retries: 1}, i, 60*time.Millisecond)
	}
	for i := range 10 {
		l.t.client(kindOfRequest{name: "book", method: "POST", host: "a.example", prefix: "/book/", keyed: l.two, body: 4000, deadline: 2500 * time.Millisecond, retries: 1}, 100+i, 100*time.Millisecond)
	}
	for i := range 6 {
		l.t.client(kindOfRequest{name: "file", method: "POST", host: "a.example", prefix: "/file/", keyed: true, body: 1200, deadline: 2500 * time.Millisecond, retries: 1}, 200+i, 100*time.Millisecond)
	}
	for i := range 4 {
		l.t.client(kindOfRequest{name: "load", method: "POST", host: "a.example", prefix: "/load/", keyed: l.two, body: 60000, fresh: true, deadline: 2500 * time.Millisecond, retries: 1, chunked: i%2 == 0}, 300+i, 150*time.Millisecond)
	}
}

func (l *lab) finish() int {
	close(l.t.stop)
	l.t.wg.Wait()
	time.Sleep(3 * time.Second)
	close(l.stop)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	code := 0
	lost := map[string]int{}
	for _, a := range l.t.attempts {
		if a.status != 0 || a.why == "deadline" || fl.runs[a.id] == 0 || !a.vm.calm(a.at.Add(-3*time.Second), a.answer.Add(7*time.Second)) {
			continue
		}
		sound := true
		for _, at := range fl.ranAt[a.id] {
			for _, in := range fl.all {
				for _, e := range in.ends {
					sound = sound && !(in.id == at && e.After(a.at.Add(-time.Second)) && e.Before(a.answer.Add(time.Second)))
				}
			}
		}
		if sound {
			lost[a.vm.name]++
			logf("LOST? %s %s via %s at %v: %s", a.method, a.id, a.vm.name, fl.ranAt[a.id], a.why)
			if lost[a.vm.name] > 3 {
				fl.broken("LOST", "%s via %s", a.id, a.vm.name)
			}
		}
	}
	for _, b := range fl.breaks {
		say("%s", b)
		code = 1
	}
	t := l.t.tally(time.Time{}, time.Now().Add(time.Hour))
	var names []string
	for n := range t {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		say("attempts that ended %s: %d", n, t[n])
	}
	for _, v := range l.s.vms {
		if v.byItself > 0 {
			code = 1
		}
	}
	return code
}

func explore() int {
	seed, _ := strconv.ParseUint(os.Args[2], 10, 64)
	secs, _ := strconv.Atoi(os.Args[3])
	l := newLab(4, seed)
	copies := os.Getenv("COPIES") != ""
	if copies {
		go l.s.st.keepCopies(l.stop)
	}
	l.usualTraffic()
	time.Sleep(2 * time.Second)
	end := time.Now().Add(time.Duration(secs) * time.Second)
	var wg sync.WaitGroup
	do := func(f func()) { wg.Add(1); go func() { defer wg.Done(); f() }() }
	busyVM := map[*VM]bool{}
	var mu sync.Mutex
	vmDo := func(f func(*VM)) {
		v := l.s.vms[l.rng.IntN(len(l.s.vms))]
		if l.rng.IntN(2) == 0 {
			v = l.s.leader()
		}
		mu.Lock()
		if busyVM[v] || len(busyVM) >= 2 {
			mu.Unlock()
			return
		}
		busyVM[v] = true
		mu.Unlock()
		do(func() { f(v); mu.Lock(); delete(busyVM, v); mu.Unlock() })
	}
	busyIn := map[*Instance]bool{}
	inDo := func(f func(*Instance)) {
		all := append(append(append([]*Instance{}, l.lookups...), l.lookups...), l.ledgers...)
		in := all[l.rng.IntN(len(all))]
		mu.Lock()
		if busyIn[in] || len(busyIn) >= 3 {
			mu.Unlock()
			return
		}
		busyIn[in] = true
		mu.Unlock()
		do(func() { f(in); mu.Lock(); delete(busyIn, in); mu.Unlock() })
	}
	dur := func(a, b float64) time.Duration {
		return time.Duration((a + (b-a)*l.rng.Float64()) * float64(time.Second))
	}
	for time.Now().Before(end) {
		time.Sleep(dur(0.1, 1.2))
		d := dur(0.3, 5)
		d2 := dur(0.05, 3)
		mode := []string{"busy", "silent", "reset"}[l.rng.IntN(3)]
		kinds := 14
		if copies {
			kinds = 18
		}
		switch l.rng.IntN(kinds) {
		case 0:
			vmDo(func(v *VM) { v.kill(); time.Sleep(d2); v.start(); time.Sleep(time.Second) })
		case 1, 2:
			vmDo(func(v *VM) { v.freeze(d) })
		case 3:
			vmDo(func(v *VM) { v.term(); time.Sleep(300 * time.Millisecond); v.start(); time.Sleep(time.Second) })
		case 4:
			vmDo(func(v *VM) { logf("%s store %s", v.name, mode); v.link.set(mode); time.Sleep(d); v.link.set("") })
		case 5:
			do(func() {
				logf("store %s for all", mode)
				for _, v := range l.s.vms {
					v.link.set(mode)
				}
				time.Sleep(d)
				for _, v := range l.s.vms {
					v.link.set("")
				}
				logf("store back")
			})
		case 6:
			do(func() {
				late := time.Duration(0)
				if d2 > 1500*time.Millisecond {
					late = d2
				}
				for _, v := range l.s.vms {
					v.link.setLoss(0.35, late)
				}
				time.Sleep(d)
				for _, v := range l.s.vms {
					v.link.setLoss(0, 0)
				}
			})
		case 7, 8:
			inDo(func(in *Instance) { in.stop(false); time.Sleep(d2); in.start(); time.Sleep(time.Second) }) // crash, back under its id
		case 9:
			inDo(func(in *Instance) {
				in.drain()
				time.Sleep(2200 * time.Millisecond)
				in.stop(true)
				time.Sleep(d2 / 3)
				in.start()
				time.Sleep(time.Second)
			})
		case 10:
			inDo(func(in *Instance) { // crash; the entry lapses
				in.stop(false)
				time.Sleep(2600 * time.Millisecond)
				in.store.remove("servers", in.id)
				time.Sleep(d2)
				in.start()
				time.Sleep(time.Second)
			})
		case 11:
			l.putConfig()
		case 12:
			l.s.st.forget()
		case 14, 15, 16, 17:
			do(func() {
				for _, v := range l.s.vms {
					v.link.set(mode)
				}
				l.s.st.setAway(true)
				time.Sleep(d2)
				logf("store returns from a copy")
				l.s.st.returnFromCopy(d2 + d)
				l.s.st.setAway(false)
				for _, v := range l.s.vms {
					v.link.set("")
				}
				l.putConfig()
			})
		case 13:
			inDo(func(in *Instance) { // cut off from the store
				in.store.remove("servers", in.id)
				time.Sleep(d2 / 2)
				in.register("ready")
			})
		}
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	return l.finish()
}
