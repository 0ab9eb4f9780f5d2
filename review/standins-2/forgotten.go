package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Figures of the case "forgotten": the store is down while entries lapse, one VM is cut off from
// it somewhat longer, and later the leader is killed.
const (
	outage    = 4500 * time.Millisecond // of the store
	lapseTime = 2610 * time.Millisecond // three heartbeats
	cutBegins = 3 * time.Second         // after the outage began
	cutTime   = 5500 * time.Millisecond // of one VM from the store
	killAfter = 15 * time.Second        // after the outage began
	downTime  = 3500 * time.Millisecond // of the killed VM
	routeAt   = 25 * time.Second        // after the outage began: a route is added
	watchTime = 40 * time.Second        // for which requests are counted after that
)

// forgotten runs the case. CONFIG is broken if in steady state the VMs serve requests on a route
// that was added later less than a quarter as often as those on the first routes.
func forgotten(trouble bool) int {
	l := newLab(4, rand.Uint64())
	l.usualTraffic()
	time.Sleep(8 * time.Second)
	began := time.Now()
	if trouble {
		l.loseStore()
	}
	sleepUntil(began.Add(killAfter))
	if trouble {
		v := l.s.leader()
		say("%s, which last wrote to the store under a condition, is killed", v.name)
		v.kill()
		time.Sleep(downTime)
		v.start()
	}
	sleepUntil(began.Add(routeAt))
	say("a route is added")
	l.added = true
	l.putConfig()
	time.Sleep(3 * time.Second) // longer than configApplyS
	from := time.Now()
	for i := range 6 {
		l.t.client(kindOfRequest{name: "new", method: "GET", host: "a.example", prefix: "/new/", keyed: true, deadline: 2 * time.Second, retries: 1}, 800+i, 100*time.Millisecond)
	}
	time.Sleep(watchTime)
	for _, v := range l.s.vms {
		say("%s is ready: %v", v.name, v.ready())
	}
	l.finish()
	return l.judgeRoutes(began, from)
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// loseStore takes the store down for all, and leaves one VM cut off from it for longer.
func (l *lab) loseStore() {
	leader := l.s.leader()
	var late *VM
	for _, v := range l.s.vms {
		if v != leader {
			late = v
			break
		}
	}
	say("the store is down, %s leads", leader.name)
	began := time.Now()
	l.s.st.setAway(true)
	for _, v := range l.s.vms {
		v.link.set("reset")
	}
	sleepUntil(began.Add(lapseTime))
	l.s.st.lapse()
	say("the entries of the instances have lapsed")
	sleepUntil(began.Add(cutBegins))
	say("%s is cut off from the store", late.name)
	sleepUntil(began.Add(outage))
	l.s.st.setAway(false)
	for _, v := range l.s.vms {
		if v != late {
			v.link.set("")
		}
	}
	say("the store is back")
	sleepUntil(began.Add(cutBegins + cutTime))
	late.link.set("")
	say("%s reaches the store again", late.name)
}

// judgeRoutes compares how often the first routes and the added one were served in steady state:
// before the outage, and from the added route's tests on.
func (l *lab) judgeRoutes(began, from time.Time) int {
	count := func(ok func(*attempt) bool) (n, served int) {
		for _, a := range l.t.attempts {
			if ok(a) {
				n++
				if a.status == 200 {
					served++
				}
			}
		}
		return
	}
	isNew := func(a *attempt) bool { return len(a.uri) > 5 && a.uri[:5] == "/new/" }
	first, firstServed := count(func(a *attempt) bool { return !isNew(a) && (a.at.Before(began) || a.at.After(from)) })
	later, laterServed := count(isNew)
	say("of %d attempts on the first routes %d were served, of %d on the added route %d", first, firstServed, later, laterServed)
	for _, v := range l.s.vms {
		n, served := count(func(a *attempt) bool { return a.vm == v && a.at.After(from) })
		say("%s: of %d attempts from then on %d were served", v.name, n, served)
	}
	up := 0
	fl.mu.Lock()
	for _, in := range fl.all {
		if in.up {
			up++
		}
	}
	fl.mu.Unlock()
	say("%s", fmt.Sprintf("%d of %d instances are up, and have been all the time", up, len(fl.all)))
	if later >= 20 && float64(laterServed)/float64(later) < 0.25*float64(firstServed)/float64(first) {
		return 1
	}
	return 0
}
