package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const keyCount = 1 << 16

// fleet is what all instances did, under one lock, so that events are in order.
type fleet struct {
	mu        sync.Mutex
	all       []*Instance
	runs      map[string]int       // begun runs by attempt id
	runAt     map[string]time.Time // the last of them
	ranAt     map[string][]string
	sent      map[string]sentReq
	breaks    []string
	perKind   map[string]int
	overlap   map[[3]int]time.Time
	thawed    time.Time // grants soon after this do not count
	refused   map[string]int
	refusedAt map[string]time.Time
}

type sentReq struct{ method, uri, sum string }

var fl = &fleet{runs: map[string]int{}, runAt: map[string]time.Time{}, ranAt: map[string][]string{}, sent: map[string]sentReq{}, perKind: map[string]int{}, overlap: map[[3]int]time.Time{}, refused: map[string]int{}}

// broken notes a broken rule. The caller holds mu.
func (f *fleet) broken(rule, format string, args ...any) {
	f.perKind[rule]++
	if f.perKind[rule] <= 30 {
		t := rule + ": " + fmt.Sprintf(format, args...)
		f.breaks = append(f.breaks, t)
		logf("BROKEN %s", t)
	}
}

// Instance is a stand-in for an instance of a service.
type Instance struct {
	id, service, addr, zone string
	born                    int64
	life                    int
	sharded                 bool
	slots                   int
	work                    time.Duration
	store                   *Store
	ln                      net.Listener
	srv                     *http.Server
	free                    chan struct{}
	queued                  int
	index                   int

	// under fleet.mu
	up        bool
	draining  bool
	held      [keyCount]int64 // until, unix nano
	granted   [keyCount]int64 // the same, regardless of releases
	fence     [keyCount]uint64
	taken     [keyCount]uint64 // fence under which it was granted
	ends      []time.Time
	excused   [keyCount]bool // by a grant that does not count
	running   map[int]int
	started   time.Time
	ended     time.Time
	loseShare func() bool // answer lost after the run
	stopBeat  chan struct{}
	workFn    func(r *http.Request) time.Duration
	hook      func(w http.ResponseWriter, r *http.Request) bool
	clockSlow float64
	garble    func(w http.ResponseWriter, r *http.Request, id string, status int, out []byte) bool
	orders    int
}

func newInstance(st *Store, id, service, addr, zone string, sharded bool, slots int, work time.Duration) *Instance {
	in := &Instance{id: id, service: service, addr: addr, zone: zone, sharded: sharded, slots: slots, work: work, store: st, index: len(fl.all)}
	fl.mu.Lock()
	in.index = len(fl.all)
	fl.all = append(fl.all, in)
	fl.mu.Unlock()
	return in
}

// start begins a life of the instance and registers it.
func (in *Instance) start() {
	var ln net.Listener
	var err error
	for range 100 {
		if ln, err = net.Listen("tcp", in.addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		fatal("instance %s: %v", in.id, err)
	}
	fl.mu.Lock()
	in.life++
	in.born = time.Now().UnixMilli()
	in.up, in.draining = true, false
	in.ln, in.addr = ln, ln.Addr().String()
	in.running = map[int]int{}
	in.held, in.granted, in.fence, in.taken, in.excused = [keyCount]int64{}, [keyCount]int64{}, [keyCount]uint64{}, [keyCount]uint64{}, [keyCount]bool{}
	in.free = make(chan struct{}, in.slots)
	in.started = time.Now()
	in.stopBeat = make(chan struct{})
	life := in.life
	fl.mu.Unlock()
	in.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { in.serve(life, w, r) }), IdleTimeout: 10 * time.Second}
	srv := in.srv
	go func() { _ = srv.Serve(ln) }()
	in.register("ready")
	go in.beat(in.stopBeat)
	logf("instance %s life %d up at %s", in.id, life, in.addr)
}

func (in *Instance) entry(state string) map[string]any {
	return map[string]any{"service": in.service, "address": in.addr, "zone": in.zone, "version": "v1", "slots": in.slots, "state": state, names["warmup"]: 0, "born": in.born}
}

func (in *Instance) register(state string) { in.store.put("servers", in.id, in.entry(state)) }

// beat renews the entry if it was removed meanwhile.
func (in *Instance) beat(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(870 * time.Millisecond):
		}
		fl.mu.Lock()
		state := "ready"
		if in.draining {
			state = "draining"
		}
		up := in.up
		fl.mu.Unlock()
		if up {
			in.register(state)
		}
	}
}

// drain announces a planned end.
func (in *Instance) drain() {
	fl.mu.Lock()
	in.draining = true
	fl.mu.Unlock()
	in.register("draining")
	logf("instance %s announces that it leaves", in.id)
}

// stop ends the life; the entry is removed if said.
func (in *Instance) stop(removeEntry bool) {
	fl.mu.Lock()
	in.up = false
	in.ended = time.Now()
	in.ends = append(in.ends, in.ended)
	close(in.stopBeat)
	fl.mu.Unlock()
	_ = in.srv.Close()
	if removeEntry {
		in.store.remove("servers", in.id)
	}
	logf("instance %s life %d ends", in.id, in.life)
}

func (in *Instance) loadHeader(w http.ResponseWriter) {
	fl.mu.Lock()
	q := in.queued
	fl.mu.Unlock()
	run := len(in.free)
	w.Header().Set(names["load"], fmt.Sprintf("%d,%d,%d", run, max(q-run, 0), in.slots))
}

func (in *Instance) reject(w http.ResponseWriter, status int) {
	w.Header().Set(names["notRun"], "1")
	w.WriteHeader(status)
}

func (in *Instance) serve(life int, w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	if want := r.Header.Get(names["expected"]); want != "" && want != in.id {
		w.Header().Set(names["instance"], in.id)
		w.WriteHeader(421)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set(names["instance"], in.id)
		w.WriteHeader(200)
		return
	case r.Method == "POST" && r.URL.Path == "/grant":
		in.grant(life, w, r)
		return
	case r.Method == "POST" && r.URL.Path == "/release":
		in.release(life, w, r)
		return
	}
	id := r.Header.Get(names["attempt"])
	if id == "" {
		in.reject(w, 400)
		return
	}
	w.Header().Set(names["attempt"], id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if in.hook != nil && in.hook(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	left := time.Duration(10) * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get(names["left"]), 64); err == nil {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	deadline := time.Now().Add(left)
	fl.mu.Lock()
	if in.queued >= in.slots+16 {
		fl.mu.Unlock()
		in.loadHeader(w)
		in.reject(w, 503)
		return
	}
	in.queued++
	fl.mu.Unlock()
	defer func() { fl.mu.Lock(); in.queued--; fl.mu.Unlock() }()
	select {
	case in.free <- struct{}{}:
	case <-time.After(left):
		in.reject(w, 503)
		return
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-in.free }()
	key := -1
	if in.sharded {
		key, err = strconv.Atoi(r.Header.Get(names["key"]))
		if err != nil {
			in.reject(w, 400)
			return
		}
	}
	if !in.begin(life, id, key, r, body) {
		in.loadHeader(w)
		in.reject(w, 421)
		return
	}
	work := in.work
	if in.workFn != nil {
		work = in.workFn(r)
	}
	t := time.NewTimer(min(work, time.Until(deadline)))
	cut := false
	select {
	case <-t.C:
	case <-r.Context().Done():
		cut = true
	}
	t.Stop()
	lateLease := in.end(key)
	if cut {
		panic(http.ErrAbortHandler)
	}
	fl.mu.Lock()
	alive := in.up && in.life == life
	lose := in.loseShare
	fl.mu.Unlock()
	if !alive || lose != nil && lose() {
		panic(http.ErrAbortHandler)
	}
	in.loadHeader(w)
	status := 200
	if lateLease {
		status = 500
	} else if work > left {
		status = 504
	}
	out := []byte(answerBody(id, in.id, r.URL.RawQuery))
	w.Header().Set(names["seal"], sealOf(id, in.id, status))
	if in.garble != nil && in.garble(w, r, id, status, out) {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	w.WriteHeader(status)
	_, _ = w.Write(out)
}

func answerBody(id, instance, query string) string {
	n := 20
	if _, size, ok := strings.Cut(query, "&s="); ok {
		n, _ = strconv.Atoi(size)
	}
	return strings.Repeat(id+"@"+instance+";", n)
}

func sealOf(id, instance string, status int) string {
	sum := sha256.Sum256([]byte(id + "|" + instance + "|" + strconv.Itoa(status)))
	return instance + "." + hex.EncodeToString(sum[:8])
}

func sumOf(b []byte) string { s := sha256.Sum256(b); return hex.EncodeToString(s[:8]) }

// begin notes that a run begins, and returns false if the key is not held.
func (in *Instance) begin(life int, id string, key int, r *http.Request, body []byte) bool {
	now := time.Now()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !in.up || in.life != life {
		return false
	}
	if key >= 0 && in.held[key] <= now.UnixNano() {
		return false
	}
	fl.runs[id]++
	fl.runAt[id] = now
	fl.ranAt[id] = append(fl.ranAt[id], in.id)
	want, ok := fl.sent[id]
	switch {
	case !ok:
		fl.broken("UNASKED", "%s ran %s, which no client sent", in.id, id)
	case want.method != r.Method || want.uri != r.RequestURI || want.sum != sumOf(body):
		fl.broken("UNASKED", "%s ran %s changed: %s %s", in.id, id, r.Method, r.RequestURI)
	}
	if r.Method == "POST" && fl.runs[id] > 1 {
		fl.broken("TWICE", "%s ran %d times, last at %s", id, fl.runs[id], in.id)
	}
	if r.Method == "POST" && fl.refused[id] != 0 {
		fl.broken("REFUSED", "%s was answered %d and ran later at %s", id, fl.refused[id], in.id)
	}
	if key >= 0 {
		in.running[key]++
	}
	logf("run %s %s at %s life %d key %d", r.Method, id, in.id, life, key)
	return true
}

func (in *Instance) end(key int) (outlasted bool) {
	if key < 0 {
		return false
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if in.running[key]--; in.running[key] <= 0 {
		delete(in.running, key)
	}
	return in.granted[key] < time.Now().UnixNano()
}

// orderBody is the body of an order for keys.
type orderBody struct {
	From, To int
	Fence    uint64
	Hold     float64
}

func readOrder(r *http.Request) (o orderBody, ok bool) {
	var fields map[string]any
	if json.NewDecoder(r.Body).Decode(&fields) != nil {
		return o, false
	}
	number := func(name string) float64 { n, _ := fields[name].(float64); return n }
	return orderBody{From: int(number("from")), To: int(number("target")), Fence: uint64(number("fence")), Hold: number(names["hold"])}, true
}

func (in *Instance) grant(life int, w http.ResponseWriter, r *http.Request) {
	if !in.sharded {
		in.reject(w, 400)
		return
	}
	o, ok := readOrder(r)
	if !ok || o.Hold <= 0 || o.Hold > 10 || o.To < o.From {
		w.WriteHeader(400)
		return
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	in.orders++
	now := time.Now()
	if !in.up || in.life != life {
		panic(http.ErrAbortHandler)
	}
	for k := o.From; k <= o.To; k++ {
		if in.fence[k] > o.Fence {
			logf("grant %d-%d fence %d refused by %s: %d", o.From, o.To, o.Fence, in.id, in.fence[k])
			w.WriteHeader(409)
			return
		}
	}
	fresh := in.taken[o.From] != o.Fence
	until := now.Add(time.Duration(o.Hold * float64(time.Second) * (1 + in.clockSlow))).UnixNano()
	counts := now.Sub(fl.thawed) > 300*time.Millisecond
	for k := o.From; k <= o.To; k++ {
		if in.taken[k] != o.Fence {
			for _, other := range fl.all {
				if other != in && other.service == in.service && other.taken[k] >= o.Fence && counts && k == o.From {
					fl.broken("OWNER", "%s takes keys from %d under fence %d; %s had them under %d", in.id, k, o.Fence, other.id, other.taken[k])
				}
				if other != in && other.service == in.service && other.up && other.running[k] > 0 && other.granted[k] > now.UnixNano() && counts {
					fl.broken("OWNER", "%s is given key %d while %s is at work on it", in.id, k, other.id)
				}
			}
		}
		in.held[k], in.granted[k] = until, until
		in.fence[k], in.taken[k] = max(in.fence[k], o.Fence), o.Fence
		if !counts && fresh {
			in.excused[k] = true
		} else if counts && fresh {
			in.excused[k] = false
		}
	}
	if fresh {
		logf("grant %d-%d fence %d hold %.1f taken by %s life %d", o.From, o.To, o.Fence, o.Hold, in.id, life)
	}
	w.WriteHeader(200)
}

func (in *Instance) release(life int, w http.ResponseWriter, r *http.Request) {
	if !in.sharded {
		in.reject(w, 400)
		return
	}
	o, ok := readOrder(r)
	if !ok {
		w.WriteHeader(400)
		return
	}
	fl.mu.Lock()
	for k := o.From; k <= o.To; k++ {
		in.held[k] = 0
		in.fence[k] = max(in.fence[k], o.Fence)
	}
	fl.mu.Unlock()
	for {
		fl.mu.Lock()
		busy := false
		for k := range in.running {
			busy = busy || k >= o.From && k <= o.To
		}
		ok := in.up && in.life == life
		fl.mu.Unlock()
		if !ok || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if !busy {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	logf("release %d-%d fence %d done by %s life %d", o.From, o.To, o.Fence, in.id, life)
	w.Header().Set(names["handover"], fmt.Sprintf("%s-%d-%d", in.id, life, time.Now().UnixNano()))
	w.WriteHeader(200)
}

// watchOwners notes keys that two instances hold for over half a second.
func watchOwners(stop chan struct{}) {
	first := map[[3]int]time.Time{}
	told := map[[2]int]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		fl.mu.Lock()
		now := time.Now()
		n := now.UnixNano()
		for k := 0; k < keyCount; k += 16 {
			holder := map[string]int{}
			for i, in := range fl.all {
				if !in.up || !in.sharded || in.held[k] <= n || in.excused[k] {
					continue
				}
				one, held := holder[in.service]
				if !held {
					holder[in.service] = i
					continue
				}
				pair := [3]int{one, i, k}
				if first[pair].IsZero() {
					first[pair] = now
				} else if now.Sub(first[pair]) > 500*time.Millisecond && !told[[2]int{one, i}] {
					told[[2]int{one, i}] = true
					a, b := fl.all[one], fl.all[i]
					fl.broken("OWNER", "key %d is held by %s (fence %d) and by %s (fence %d) for over half a second", k, a.id, a.taken[k], b.id, b.taken[k])
				}
			}
		}
		for p := range first {
			a, b := fl.all[p[0]], fl.all[p[1]]
			if !(a.up && b.up && a.held[p[2]] > n && b.held[p[2]] > n) {
				delete(first, p)
			}
		}
		fl.mu.Unlock()
	}
}
