package main

import (
	"os"
	"strconv"
	"time"
)

// exploreTerm stops the VMs in turn and looks for requests that were passed on and cut.
func exploreTerm() int {
	seed, _ := strconv.ParseUint(os.Args[2], 10, 64)
	secs, _ := strconv.Atoi(os.Args[3])
	l := newLab(4, seed)
	l.usualTraffic()
	for i := range 8 {
		l.t.pipeliner(kindOfRequest{name: "pipe", host: "a.example", prefix: "/look/", keyed: true, deadline: 2 * time.Second, pipeline: 12, size: 300}, 400+i, 100*time.Millisecond)
	}
	for i := range 4 {
		l.t.client(kindOfRequest{name: "load", method: "POST", host: "a.example", prefix: "/load/", body: 300000, deadline: 2500 * time.Millisecond, retries: 1, chunked: i%2 == 0}, 700+i, 150*time.Millisecond)
	}
	for _, in := range fl.all {
		in.work = 150 * time.Millisecond
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(time.Duration(secs) * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		v := l.s.vms[i%len(l.s.vms)]
		v.term()
		time.Sleep(300 * time.Millisecond)
		v.start()
		for n := 0; n < 100 && !v.ready(); n++ {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	code := l.finish()
	ran := 0
	for _, a := range l.t.attempts {
		if a.status == 0 && a.why != "" && a.why != "deadline" && fl.runs[a.id] > 0 {
			ran++
			say("LOST %s %s via %s kept %v at %.3f: %s", a.method, a.id, a.vm.name, a.kept, a.at.Sub(start).Seconds(), a.why)
		}
	}
	if ran > 0 {
		return 1
	}
	return code
}
