package host

import (
	"testing"
	"testing/synctest"
	"time"

	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// Indices of the dimensions of what happens to a harmless request.
const (
	dimHarm   = iota // why its attempts get no answer
	dimTimes         // how often, and whether it is sent again in between
	dimNext          // what id the next process has where one ends
	dimOthers        // whether the process answers other requests, and on which connections
)

var harms = space{
	dimHarm: {name: "attempts", values: []string{
		"reset", "timed out", "reset by a server cut off from the store", "timed out at a server cut off from the store",
		"of several callers lost with a rack", "of one caller lost with a rack", "cut off by a release",
	}},
	dimTimes:  {name: "times", values: []string{"3", "5", "5, sent each second"}},
	dimNext:   {name: "next process", values: []string{"other id", "same id"}},
	dimOthers: {name: "other requests", values: []string{"not answered", "answered on old connections", "answered on new connections"}},
	dimList:   crashes[dimList],
	dimLeader: crashes[dimLeader],
	dimBorn:   crashes[dimBorn],
	dimPace:   {name: "pace", values: []string{"3.5 s, 6 servers", "0.4 s, 6 servers"}},
}

const (
	// maxHarmRefusal is how long after the last event a harmless request may be refused, and
	// maxReleaseRefusal how long it may be in a row while a release rolls through.
	maxHarmRefusal    = 30 * time.Second
	maxReleaseRefusal = 5 * time.Second
	// newLeaderWait is how long a new leader grants no trials.
	newLeaderWait = 8 * time.Second
)

// harmless plays what happens to a harmless request.
type harmless struct {
	*lives
	last         time.Time // when the last event was that kept the request from its answer
	refusedSince time.Time // since when each attempt was refused; zero if the last one was not
	refused      time.Duration
}

// harm plays one of n events. A rack is lost once, with n servers.
func (l *harmless) harm(i, n int) {
	w := l.pace
	switch {
	case !w.has(dimHarm, "rack"):
		l.harmOne(i)
	case i == 0:
		for k := range n {
			vm := k % lifeVMs
			if w.has(dimHarm, "one caller") {
				vm = 0
			}
			l.lose(vm, k, 0, false)
		}
	}
}

func (l *harmless) harmOne(i int) {
	if l.pace.has(dimHarm, "release") {
		l.lose(i%lifeVMs, i, 2*time.Second, true)
		return
	}
	l.hurt(i%lifeVMs, i)
}

// hurt lets an attempt get no answer from a process that goes on.
func (l *harmless) hurt(vm, from int) {
	vm = l.awake(vm)
	p, listed, ok := l.pick(vm, from)
	if !ok || !l.send(vm) {
		return
	}
	l.note("%v does not answer", p.id)
	if l.pace.is(dimOthers, "answered on new connections") {
		p.opened = [lifeVMs]time.Time{}
	}
	a := poison.Attempt{Fingerprint: lifePrint(vm), Process: listed, SentAt: time.Now()}
	if l.pace.has(dimHarm, "reset") {
		l.vms[vm].crashed(a)
	} else {
		l.vms[vm].notAnswered(a)
	}
	l.last = time.Now()
	if l.pace.has(dimHarm, "cut off from the store") {
		l.at(entryExpiry, func() { l.expire(p) })
		l.at(8*time.Second, func() {
			l.last = time.Now()
			l.note("%v is listed again", p.id)
			l.heartbeat(p, l.stated(p))
		})
	}
}

// lose lets a process end under an attempt after some time.
func (l *harmless) lose(vm, from int, after time.Duration, announced bool) {
	vm = l.awake(vm)
	p, listed, ok := l.pick(vm, from)
	if !ok || !l.send(vm) {
		return
	}
	a := poison.Attempt{Fingerprint: lifePrint(vm), Process: listed, SentAt: time.Now()}
	p.onEnd = append(p.onEnd, func() { l.on(vm, func() { l.vms[vm].crashed(a) }) })
	if announced {
		l.note("%v leaves", p.id)
		l.leave(p)
	}
	l.at(after, func() {
		l.last = time.Now()
		w := way{space: &crashes}
		if l.pace.is(dimNext, "same id") {
			w.v[dimEntry] = 2
		}
		l.end(p, w)
		if announced {
			l.expire(p)
		}
	})
}

// send reports whether a VM lets the request pass, and measures for how long none did.
func (l *harmless) send(vm int) bool {
	if !l.mayPass(vm) {
		if l.refusedSince.IsZero() {
			l.refusedSince = time.Now()
			l.note("VM %d refuses the request", vm)
			l.at(time.Second, func() { l.retry(vm + 1) })
		}
		return false
	}
	if !l.refusedSince.IsZero() {
		l.refused = max(l.refused, time.Since(l.refusedSince))
		l.refusedSince = time.Time{}
		l.note("VM %d sends the request", vm)
	}
	return true
}

// retry sends a refused request each second until it is answered.
func (l *harmless) retry(vm int) {
	if !l.refusedSince.IsZero() && !l.ask(vm%lifeVMs) {
		l.at(time.Second, func() { l.retry(vm + 1) })
	}
}

// ask sends the request to a process that answers it.
func (l *harmless) ask(vm int) bool {
	if l.pace.has(dimHarm, "one caller") {
		vm = 0 // others have other addresses
	}
	vm = l.awake(vm)
	if !l.send(vm) {
		return false
	}
	l.vms[vm].requestAnswered(lifePrint(vm))
	return true
}

// playHarms plays a history, and returns for how long after the last event the request was
// refused, and for how long in a row at most.
func playHarms(t *testing.T, w way) (after, refused time.Duration, history string) {
	synctest.Test(t, func(*testing.T) {
		l := &harmless{lives: newLives(w), last: time.Now()}
		l.run(5 * time.Second)
		n, again := 3, w.is(dimTimes, "5, sent each second")
		if !w.is(dimTimes, "3") {
			n = 5
		}
		asks, loop := 0, func() {}
		loop = func() { asks++; l.ask(asks % lifeVMs); l.at(time.Second, loop) }
		if again {
			l.at(time.Second, loop)
		}
		for i := range n {
			l.leaveStore()
			l.harm(i, n)
			l.pause()
		}
		if w.has(dimHarm, "store") {
			l.run(10 * time.Second)
		}
		for (!l.refusedSince.IsZero() || !l.ask(0)) && time.Since(l.last) < 2*maxHarmRefusal {
			l.run(time.Second) // retry sends it again
		}
		after, refused, history = time.Since(l.last), l.refused, l.history.String()
		if !l.refusedSince.IsZero() {
			refused = max(refused, time.Since(l.refusedSince))
		}
	})
	return after, refused, history
}

// tellingHarms are the histories in which entries tell the processes of a server apart, if
// not at once.
var tellingHarms = harms.with(dimBorn, "stated", "unreadable", "not reported", "goes back")

func checkHarms(t *testing.T, s space) {
	var f failures
	for w := range s.sample() {
		after, refused, history := playHarms(t, w)
		if !w.has(dimHarm, "release") {
			f.add(w, after.Seconds(), maxHarmRefusal.Seconds(), history)
			continue
		}
		bound := maxReleaseRefusal
		if w.is(dimLeader, "changes") {
			bound += newLeaderWait
		}
		f.add(w, refused.Seconds(), bound.Seconds(), history)
	}
	f.check(t, "s refused")
}

// Guards against refusing a harmless request for long because servers that go on reset its connections, time out or are cut off from the store.
func TestRequestsThatServersDoNotAnswerAreServedAgain(t *testing.T) {
	checkHarms(t, tellingHarms.with(dimHarm, "reset", "timed out"))
}

// Guards against the same where entries do not state, or at times do not, when their servers started.
func TestRequestsThatUnnamedProcessesDoNotAnswerAreServedAgain(t *testing.T) {
	checkHarms(t, harms.with(dimBorn, "missing").with(dimHarm, "reset", "timed out"))
}

// Guards against refusing a popular request for long because servers that ran it were lost in one instant.
func TestPopularRequestsLostWithARackAreServedAgain(t *testing.T) {
	checkHarms(t, harms.with(dimHarm, "several callers"))
}

// Guards against the same where one caller had sent it to all of them.
func TestRequestsOfOneCallerLostWithARackAreServedAgain(t *testing.T) {
	checkHarms(t, harms.with(dimHarm, "one caller"))
}

// Guards against refusing a harmless request for more than a few seconds because servers of a release cut it off.
func TestRequestsCutOffByAReleaseAreServedAgain(t *testing.T) {
	checkHarms(t, harms.with(dimHarm, "release").with(dimLeader, "stays", "followers"))
}

// Guards against the same where the leader changes or is suspended meanwhile.
func TestRequestsCutOffByAReleaseAreServedAgainUnderNewLeaders(t *testing.T) {
	checkHarms(t, harms.with(dimHarm, "release").with(dimLeader, "changes", "suspended"))
}
