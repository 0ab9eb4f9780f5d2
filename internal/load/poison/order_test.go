package poison

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

const (
	fleetVMs   = 9
	fleetZones = 3
	// attemptInterval is the pause between two attempts of the crashing request.
	attemptInterval = 3500 * time.Millisecond
	// missedHeartbeats is how many heartbeats a server's entry outlives its server.
	missedHeartbeats = 3
	// learnTime is the time from the third crash until every VM must know the request, and
	// maxLateRuns the number of servers that it may reach after that.
	learnTime   = 3 * time.Second
	maxLateRuns = 3
	// pollTime is the time between two exchanges of a VM with the leader.
	pollTime = 250 * time.Millisecond
)

// fleet simulates the tables of all VMs, without requests and connections.
type fleet struct {
	now     time.Time
	vms     []*Table
	seqs    []uint64 // last change that each VM has received from the leader
	leader  int
	term    int
	gone    map[ident.Server]time.Time // when the entries of crashed servers expire
	runs    []time.Time                // when the crashing request reached a server
	history strings.Builder
	// crashes is the number of servers that crashed under the crashing request, and mustKnow
	// the time at which every VM must know it.
	crashes  int
	mustKnow time.Time
	// entryLife is how long a server's entry outlives it, listDelay how much later the leader
	// learns that it has expired, and followerDelay how much later again the others do.
	entryLife, listDelay, followerDelay time.Duration

	outages []outage
	path    string            // path and query of the crashing request
	loses   func(vm int) loss // which part of a VM's next poll is lost; nil for none
}

// loss is the part of a poll that is lost.
type loss int

const (
	lossNone loss = iota
	lossOfRequest
	lossOfResponse
)

// outage is a time in which the store reports no changes. VMs are in touch again, and have
// the list of servers, only some time after its end.
type outage struct{ from, until time.Time }

const (
	// relistTime is how long after an outage a server that is missing is still kept.
	relistTime = 2200 * time.Millisecond
	// inTouchTime is how long after an outage VMs may break rules that have a time bound.
	inTouchTime = 3 * time.Second
)

func newFleet(heartbeat time.Duration) *fleet {
	f := &fleet{now: t0, seqs: make([]uint64, fleetVMs), gone: map[ident.Server]time.Time{}, entryLife: missedHeartbeats * heartbeat, path: "/crash"}
	for range fleetVMs {
		f.vms = append(f.vms, NewTable())
	}
	f.vms[f.leader].BeginTerm(f.now)
	return f
}

func (f *fleet) note(format string, args ...any) {
	fmt.Fprintf(&f.history, "%6.2f s  %s\n", f.now.Sub(t0).Seconds(), fmt.Sprintf(format, args...))
}

// fingerprint returns that of a request whose caller has another address in each zone.
func (f *fleet) fingerprint(vm int, path string) Fingerprint {
	return HeadOf("GET", "a.example", path).Fingerprint("10.0.0."+strconv.Itoa(vm%fleetZones), BodyOf(nil))
}

// liveness returns what a VM's server list tells of a server.
func (f *fleet) liveness(vm int, s ident.Server) Liveness {
	removed := f.gone[s].Add(f.listDelay)
	if vm != f.leader {
		removed = removed.Add(f.followerDelay)
	}
	for _, o := range f.outages {
		if !removed.Before(o.from) && removed.Before(o.until) {
			removed = o.until.Add(relistTime + f.listDelay)
		}
	}
	if f.now.Before(removed) {
		return Alive
	}
	return Gone
}

func (f *fleet) leaderName() string { return "L" + strconv.Itoa(f.term) }

// advance lets time pass, in which the VMs compare crashes with their server lists and poll
// the leader.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(pollTime)
		for i, vm := range f.vms {
			vm.Reconcile(f.now, func(c Crash) Liveness { return f.liveness(i, c.Process.Server) })
		}
		for i := range f.vms {
			f.poll(i)
		}
	}
}

// poll exchanges reports and verdicts between a VM and the leader.
func (f *fleet) poll(i int) {
	vm, leader := f.vms[i], f.vms[f.leader]
	name := ident.VM("vm-" + strconv.Itoa(i))
	if i == f.leader {
		vm.ApplyGrants(f.now, vm.GrantTrials(f.now, name, vm.TrialAsks(f.now)))
		return
	}
	asks := vm.TrialAsks(f.now)
	lost := lossNone
	if f.loses != nil {
		lost = f.loses(i)
	}
	if lost == lossOfRequest {
		return
	}
	reports := vm.Reports(f.now, f.leaderName())
	leader.AddReports(f.now, reports)
	grants := leader.GrantTrials(f.now, name, asks)
	if lost == lossOfResponse {
		return
	}
	vm.ApplyVerdicts(f.now, f.leaderName(), leader.ChangesSince(f.now, f.seqs[i]))
	f.seqs[i] = leader.Seq()
	vm.MarkReported(f.leaderName(), reports)
	vm.ApplyGrants(f.now, grants)
}

// mayPass reports whether a VM lets a request pass, and notes its trial if not.
func (f *fleet) mayPass(vm int, path string) bool {
	fp := f.fingerprint(vm, path)
	left, _ := f.vms[vm].StartAttempt(f.now, fp)
	if left > 0 {
		f.vms[vm].AskTrial(f.now, fp)
	}
	return left == 0
}

// lead makes another VM the leader.
func (f *fleet) lead(i int) {
	f.vms[f.leader].EndTerm()
	f.leader, f.term = i, f.term+1
	f.vms[i].Lead()
	f.vms[i].BeginTerm(f.now)
	f.seqs = make([]uint64, fleetVMs)
	f.note("VM %d leads", i)
}

// restart replaces a VM's table by an empty one that knows what the store holds.
func (f *fleet) restart(i int) {
	kept := f.vms[f.leader].Quarantine(f.now)
	f.vms[i], f.seqs[i] = NewTable(), 0
	f.vms[i].Merge(f.now, kept)
	f.note("VM %d starts again", i)
	if i == f.leader {
		f.lead((i + 1) % fleetVMs)
	}
}

// attempt sends the crashing request through a VM. If the VM lets it pass, a server crashes
// under it and under the requests that ran there at the same time.
func (f *fleet) attempt(vm int, beside ...string) { f.attemptAtOnce([]int{vm}, beside...) }

// attemptAtOnce sends the crashing request through some VMs to the owner of its key.
func (f *fleet) attemptAtOnce(vms []int, beside ...string) {
	vms = slices.DeleteFunc(vms, func(vm int) bool { return !f.mayPass(vm, f.path) })
	if len(vms) == 0 {
		return
	}
	s := ident.Server("s" + strconv.Itoa(len(f.gone)))
	f.gone[s] = f.now.Add(f.entryLife)
	f.note("VMs %v send the request to %s, which crashes; beside it %v", vms, s, beside)
	for i, path := range beside {
		other := (vms[0] + i) % fleetVMs
		if f.mayPass(other, path) {
			f.vms[other].RecordCrash(f.now, f.fingerprint(other, path), first(s))
		}
	}
	for _, vm := range vms {
		f.runs = append(f.runs, f.now)
		f.vms[vm].RecordCrash(f.now, f.fingerprint(vm, f.path), first(s))
	}
	if f.crashes++; f.crashes == CrashThreshold {
		f.mustKnow = f.now.Add(learnTime)
	}
}

// lastServer returns the server that crashed last.
func (f *fleet) lastServer() ident.Server { return ident.Server("s" + strconv.Itoa(len(f.gone)-1)) }

// crashAlone lets a server crash, for a reason of its own, while it runs another request.
func (f *fleet) crashAlone(vm int, path string) {
	if !f.mayPass(vm, path) {
		return
	}
	s := ident.Server("s" + strconv.Itoa(len(f.gone)))
	f.gone[s] = f.now.Add(f.entryLife)
	f.note("%s crashes by itself while it runs %s for VM %d", s, path, vm)
	f.vms[vm].RecordCrash(f.now, f.fingerprint(vm, path), first(s))
}

// answer lets a server answer another request.
func (f *fleet) answer(vm int, path string) {
	fp := f.fingerprint(vm, path)
	if !f.mayPass(vm, path) || !f.vms[vm].Suspected(fp.Head()) {
		return
	}
	f.note("%s is answered at VM %d", path, vm)
	f.vms[vm].Clear(f.now, fp)
}

// lateRuns counts how often the crashing request reached a server after every VM had to know
// it.
func (f *fleet) lateRuns() int {
	late := 0
	for _, at := range f.runs {
		during := slices.ContainsFunc(f.outages, func(o outage) bool { return at.After(o.from) && at.Before(o.until.Add(inTouchTime)) })
		if f.crashes >= CrashThreshold && at.After(f.mustKnow) && !during {
			late++
		}
	}
	return late
}

func (f *fleet) check(t rapid.TB) {
	if late := f.lateRuns(); late > maxLateRuns {
		t.Fatalf("%d servers crashed; the request reached servers %d times after every VM had to know it\n%s", f.crashes, late, f.history.String())
	}
}

// Guards against dropping each crash as that of a live server where entries outlive their
// servers by longer than the liveness grace.
func TestCrashesAreKeptUntilTheEntriesOfTheirServersCanHaveExpired(t *testing.T) {
	for _, c := range []struct {
		heartbeat, listDelay, interval time.Duration
	}{
		{870 * time.Millisecond, 2 * time.Second, attemptInterval},
		{1500 * time.Millisecond, time.Second, attemptInterval},
		{1500 * time.Millisecond, time.Second, time.Second},
	} {
		t.Run(c.heartbeat.String()+"/"+c.interval.String(), func(t *testing.T) {
			f := newFleet(c.heartbeat)
			f.listDelay = c.listDelay
			for i := range 12 {
				f.attempt(i % fleetVMs)
				f.advance(c.interval)
			}
			t.Logf("%d servers crashed; sent %d times late", f.crashes, f.lateRuns())
			f.check(t)
		})
	}
}

// Guards against dropping crashes because the store, at the time, does not report that the
// entries of their servers have expired, and most VMs learn of it after the leader.
func TestCrashesAreKeptWhileTheStoreReportsNothing(t *testing.T) {
	f := newFleet(870 * time.Millisecond)
	f.listDelay, f.followerDelay = 200*time.Millisecond, 2500*time.Millisecond
	for _, o := range []struct{ from, until time.Duration }{
		{0, 2 * time.Second},
		{2250 * time.Millisecond, 5 * time.Second},
		{6 * time.Second, 10 * time.Second},
		{17750 * time.Millisecond, 20500 * time.Millisecond},
	} {
		f.outages = append(f.outages, outage{t0.Add(o.from), t0.Add(o.until)})
	}
	for range 12 {
		f.attempt(0)
		f.advance(attemptInterval)
	}
	f.attempt(1)
	f.check(t)
}

// Guards against an order of crashes, reports, changes of leader and restarts in which a
// crashing request reaches more than three servers after every VM had to know it.
func TestACrashingRequestIsStoppedInAnyOrderOfEvents(t *testing.T) {
	seeds.Check(t, func(r *rapid.T) {
		f := newFleet(870 * time.Millisecond)
		f.listDelay = time.Duration(rapid.IntRange(0, 2000).Draw(r, "list delay ms")) * time.Millisecond
		for range 12 {
			if rapid.IntRange(0, 5).Draw(r, "election") == 5 {
				f.lead(rapid.IntRange(0, fleetVMs-1).Draw(r, "leader"))
			}
			if rapid.IntRange(0, 5).Draw(r, "restart") == 5 {
				f.restart(rapid.IntRange(0, fleetVMs-1).Draw(r, "restarted"))
			}
			var beside []string
			for i := range 4 {
				if rapid.IntRange(0, 3).Draw(r, "beside") > 0 {
					beside = append(beside, "/"+strconv.Itoa(i))
				}
			}
			f.attempt(rapid.IntRange(0, fleetVMs-1).Draw(r, "vm"), beside...)
			f.advance(attemptInterval)
		}
		f.check(r)
	})
}

// Guards against a crashing request that is free again and again because others, which ran
// beside it, have all its crashes and one more.
func TestACrashingRequestIsStoppedAlthoughOthersRunBesideIt(t *testing.T) {
	seeds.Check(t, func(r *rapid.T) {
		const others = 4
		f := newFleet(870 * time.Millisecond)
		for range 16 {
			var beside []string
			for i := range others {
				path := "/" + strconv.Itoa(i)
				switch rapid.IntRange(0, 4).Draw(r, "other request") {
				case 0: // does not come
				case 1:
					f.crashAlone(rapid.IntRange(0, fleetVMs-1).Draw(r, "vm"), path)
				case 2:
					f.answer(rapid.IntRange(0, fleetVMs-1).Draw(r, "vm"), path)
				default:
					beside = append(beside, path)
				}
			}
			f.attempt(rapid.IntRange(0, fleetVMs-1).Draw(r, "vm"), beside...)
			f.advance(attemptInterval)
		}
		f.check(r)
	})
}

// Guards against a crashing request that is never found because its caller has another
// address in each zone, and others are answered who ask for the same.
func TestACrashingRequestIsStoppedAlthoughOthersAskForTheSame(t *testing.T) {
	f := newFleet(870 * time.Millisecond)
	others := HeadOf("GET", "a.example", "/crash").Fingerprint("10.0.0.99", BodyOf(nil))
	for i := range 12 {
		f.attempt(i % fleetVMs)
		f.advance(attemptInterval - time.Second)
		for _, vm := range f.vms {
			vm.Clear(f.now, others)
		}
		f.note("the same request of another caller is answered")
		f.advance(time.Second)
	}
	f.check(t)
}

// Guards against many VMs that try a crashing request at once when the short quarantine of a
// tie ends.
func TestFewVMsTryACrashingRequestWhenATieEnds(t *testing.T) {
	f := newFleet(870 * time.Millisecond)
	for range 12 {
		f.attemptAtOnce([]int{0, 1, 2, 3, 4, 5, 6, 7, 8}, "/beside")
		f.advance(attemptInterval)
	}
	f.check(t)
}

// Guards against a request that crashes several servers at a time, each under another
// address of its caller, and is taken for one whose servers were lost together.
func TestARequestThatCrashesServersAtOnceIsStopped(t *testing.T) {
	f := newFleet(870 * time.Millisecond)
	for range 12 {
		for vm := range fleetZones {
			f.attempt(vm)
		}
		f.advance(attemptInterval)
	}
	t.Logf("%d servers crashed; sent %d times late", f.crashes, f.lateRuns())
	f.check(t)
}
