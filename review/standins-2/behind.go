package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Figures of the case "behind": lookups behind a download whose answer is truncated.
const (
	vaults       = 12                    // instances that serve downloads
	faultyVaults = 5                     // share 0.42 of them truncates answers
	everyNth     = 44                    // x = 0.023 of their answers
	troubleTime  = 6 * time.Second       // for_s
	downloadSize = 6500                  // units of some 30 bytes: about 200 KB
	lookupsEach  = 3                     // lookups that a client sends behind a download
	callersEach  = 24                    // connections of clients
	pauseEach    = 50 * time.Millisecond // between two bunches of a client
	lookupWork   = 60 * time.Millisecond
	downloadWork = 96 * time.Millisecond
)

// behind runs the case. LOST is broken if a machine in touch closes connections without an
// answer to more than three requests that it passed on to sound instances.
func behind(trouble bool) int {
	s := newSite(3)
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	faulty := map[string]bool{}
	var on atomic.Bool
	for i := range vaults {
		in := newInstance(s.st, fmt.Sprintf("i-vault%02d", i), "audio-vault", s.net+".200:0", "here", false, 2, downloadWork)
		if i < faultyVaults {
			faulty[in.id] = true
			answers := 0
			in.garble = func(w http.ResponseWriter, r *http.Request, id string, status int, out []byte) bool {
				fl.mu.Lock()
				answers++
				hit := on.Load() && answers%everyNth == 0
				fl.mu.Unlock()
				if !hit {
					return false
				}
				logf("%s truncates its answer to %s", in.id, id)
				w.Header().Set("Content-Length", strconv.Itoa(len(out)))
				w.WriteHeader(status)
				_, _ = w.Write(out[:len(out)/2])
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
		in.start()
	}
	for i := range 10 {
		newInstance(s.st, fmt.Sprintf("i-order%02d", i), "order-registry", s.net+".200:0", "here", false, 2, lookupWork).start()
	}
	plain := map[string]any{"healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}
	route := func(prefix, kind, service string, timeout, aim float64) map[string]any {
		return map[string]any{"host": "a.example", names["prefix"]: prefix, "kind": kind, "service": service, "timeoutS": timeout, "targetLatencyS": aim, "priority": 2, "maxAttempts": 2}
	}
	s.st.put("config", "main", map[string]any{
		"version":  4,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"routes":   map[string]any{"stems": route("/stems/", "download", "audio-vault", 5, 1.5), "orders": route("/orders/", "idempotent", "order-registry", 2, 0.4)},
		"services": map[string]any{"audio-vault": plain, "order-registry": plain},
	})
	for _, v := range s.vms {
		v.start()
	}
	s.waitReady(15 * time.Second)
	stopAll := make(chan struct{})
	go s.balance(stopAll)
	time.Sleep(3 * time.Second)
	t := &traffic{s: s, stop: make(chan struct{})}
	for n := range callersEach {
		t.bunches(n, rng.Uint64())
	}
	time.Sleep(5 * time.Second)
	if trouble {
		say("instances truncate answers from now on")
		on.Store(true)
	}
	time.Sleep(troubleTime)
	on.Store(false)
	say("no more")
	time.Sleep(4 * time.Second)
	close(t.stop)
	t.wg.Wait()
	close(stopAll)
	return judgeLost(t, faulty)
}

// bunches is a client that sends a download and lookups behind it, before the first is answered,
// on a connection that it keeps.
func (t *traffic) bunches(n int, seed uint64) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		var c *clientConn
		for {
			select {
			case <-t.stop:
				if c != nil {
					_ = c.Close()
				}
				return
			case <-time.After(time.Duration(float64(pauseEach) * (0.5 + rng.Float64()))):
			}
			if c != nil && c.uses < 0 {
				c = nil
			}
			if c == nil {
				var err error
				if c, err = dialVM(t.s.node(n)); err != nil {
					c = nil
					continue
				}
				first := &attempt{id: newID(), method: "GET", host: "a.example", key: -1, left: 2 * time.Second}
				first.uri = "/orders/" + strconv.Itoa(rng.IntN(50)) + "?n=" + first.id[:6]
				first.send(c)
				t.add(first)
				continue
			}
			var all []*attempt
			var out strings.Builder
			for i := range 1 + lookupsEach {
				a := &attempt{id: newID(), method: "GET", host: "a.example", key: -1, left: 2 * time.Second, vm: c.vm, at: time.Now(), kept: true}
				a.uri = "/orders/" + strconv.Itoa(rng.IntN(50)) + "?n=" + a.id[:6]
				if i == 0 {
					a.left = 5 * time.Second
					a.uri = "/stems/" + strconv.Itoa(rng.IntN(50)) + "?n=" + a.id[:6] + "&s=" + strconv.Itoa(downloadSize)
				}
				a.announce()
				out.WriteString(a.head())
				all = append(all, a)
				c.uses++
			}
			_ = c.SetDeadline(time.Now().Add(6 * time.Second))
			_, _ = c.Write([]byte(out.String()))
			for _, a := range all {
				if c.uses < 0 {
					a.why, a.answer = "cut: with its connection", time.Now()
					logf("client GET %s via %s: no answer, its connection was closed", a.id, a.vm.name)
				} else {
					a.readAnswer(c)
				}
				t.add(a)
			}
		}
	}()
}

func judgeLost(t *traffic, faulty map[string]bool) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	lost := map[string]int{}
	for _, a := range t.attempts {
		sound := len(fl.ranAt[a.id]) > 0
		for _, at := range fl.ranAt[a.id] {
			sound = sound && !faulty[at]
		}
		if a.status == 0 && strings.HasPrefix(a.why, "cut") && a.kept && sound && a.answer.Sub(a.at) < a.left {
			lost[a.vm.name]++
			logf("LOST %s via %s, passed on to %v", a.id, a.vm.name, fl.ranAt[a.id])
		}
	}
	for _, b := range fl.breaks {
		say("%s", b)
	}
	for name, n := range t.tally(time.Time{}, time.Now()) {
		say("attempts that ended %s: %d", name, n)
	}
	code := 0
	for _, v := range t.s.vms {
		say("%s: %d requests passed on to sound instances, connection closed without an answer (3 are allowed)", v.name, lost[v.name])
		if lost[v.name] > 3 {
			code = 1
		}
		if v.byItself > 0 {
			fatal("%s ended by itself", v.name)
		}
	}
	return code
}

func troubleOn() bool { return os.Getenv("TROUBLE") != "0" }
