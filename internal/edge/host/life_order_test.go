package host

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// dimension is one way in which histories differ, with its values, the simplest first.
type dimension struct {
	name     string
	values   []string
	simplest string // if it is not the first one
}

// space holds the dimensions of a kind of histories.
type space [dimPace + 1]dimension

// Indices of the dimensions that all histories have.
const (
	dimList   = 4 + iota // how late VMs learn of changes
	dimLeader            // which VM leads, and how late the others are
	dimBorn              // what entries state about the start of the process
	dimPace              // pause between attempts, and number of servers
)

// Indices of the dimensions of a way in which a process ends under a request.
const (
	dimEnd      = iota // how the attempt ends at its VM
	dimAnnounce        // whether the process announces that it leaves
	dimEntry           // what becomes of the entry of the process
	dimAnswer          // whether the next process answers other requests
)

var crashes = space{
	dimEnd:      {name: "attempt", values: []string{"closed", "deadline", "caller left", "key moved"}},
	dimAnnounce: {name: "announced", values: []string{"no", "as it ends", "long before"}},
	dimEntry:    {name: "entry", values: []string{"expires", "other id", "rewritten", "gone and back", "rewritten at once"}},
	dimAnswer:   {name: "next process answers", values: []string{"no", "yes"}},
	dimList:     {name: "list", values: []string{"prompt", "1 s late", "4 s late", "store away 2 s of 10"}},
	dimLeader:   {name: "leader", values: []string{"stays", "changes", "followers 2.5 s later", "suspended 4 s of 10"}},
	dimBorn:     {name: "born", values: []string{"stated", "missing", "at times missing", "entry at times unreadable", "goes back", "not reported by VM 1"}},
	dimPace:     {name: "pace", values: []string{"3.5 s, 4 servers", "3.5 s, 1 server", "0.4 s, 4 servers", "0.4 s, 1 server"}},
}

// way holds an index into the values of each dimension of its space.
type way struct {
	space *space
	v     [dimPace + 1]int
}

func (w way) value(dim int) string            { return w.space[dim].values[w.v[dim]] }
func (w way) is(dim int, value string) bool   { return w.value(dim) == value }
func (w way) has(dim int, prefix string) bool { return strings.Contains(w.value(dim), prefix) }

// String lists the values that are not the simplest.
func (w way) String() string {
	var parts []string
	for i, d := range w.space {
		if w.value(i) != cmp.Or(d.simplest, d.values[0]) {
			parts = append(parts, d.name+" "+w.value(i))
		}
	}
	if len(parts) == 0 {
		return "plain"
	}
	return strings.Join(parts, ", ")
}

// weight is the number of values that are not the simplest.
func (w way) weight() int {
	n := 0
	for _, v := range w.v {
		n += min(v, 1)
	}
	return n
}

func (w way) interval() time.Duration {
	if w.has(dimPace, "0.4 s") {
		return 400 * time.Millisecond
	}
	return 3500 * time.Millisecond
}

// with returns the space with only those values of a dimension that contain one of the parts.
func (s space) with(dim int, parts ...string) space {
	var values []string
	for _, v := range s[dim].values {
		if slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(v, part) }) {
			values = append(values, v)
		}
	}
	s[dim].simplest = s[dim].values[0]
	s[dim].values = values
	return s
}

// ways yields all ways of a space.
func (s *space) ways(yield func(way) bool) {
	w := way{space: s}
	for yield(w) {
		i := len(w.v) - 1
		for ; i >= 0; i-- {
			if w.v[i]++; w.v[i] < len(s[i].values) {
				break
			}
			w.v[i] = 0
		}
		if i < 0 {
			return
		}
	}
}

// sample yields a seeded sample of the ways, and all of them for many HAWTHORN_CHECKS.
func (s *space) sample() iter.Seq[way] {
	const oneIn, fewer = 23, 5
	checks, err := strconv.Atoi(cmp.Or(os.Getenv(seeds.EnvChecks), seeds.DefaultChecks))
	if err != nil {
		panic(err)
	}
	n := max(1, oneIn*200/checks)
	if testing.Short() {
		n *= fewer
	}
	return func(yield func(way) bool) {
		r := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // repeatable
		for w := range s.ways {
			if r.IntN(n) == 0 && !yield(w) {
				return
			}
		}
	}
}

// draw returns a way of a space.
func (s *space) draw(r *rapid.T) way {
	w := way{space: s}
	for i, d := range s {
		w.v[i] = rapid.IntRange(0, len(d.values)-1).Draw(r, d.name)
	}
	return w
}

const (
	lifeVMs       = 3
	lifeLearnTime = 3 * time.Second // from the third end until every VM must know the request
	lifeMaxLate   = 3
	entryExpiry   = 2610 * time.Millisecond // after three missed heartbeats
	watchDelay    = 10 * time.Millisecond
	lifeTick      = 250 * time.Millisecond
)

// process is one process of a backend server.
type process struct {
	id      ident.Process
	slot    int
	running bool
	leaving bool
	up      time.Time
	opened  [lifeVMs]time.Time // when each VM opened its connection
	onEnd   []func()
}

// write is a change in the store.
type write struct {
	at   time.Time
	name ident.Server
	json string // empty for a removal
}

type lifeEvent struct {
	at time.Time
	do func()
}

// lives simulates backend servers, the store and VMs with their real lists and tables.
type lives struct {
	pace    way // the dimensions that hold for a whole history are taken from this one
	start   time.Time
	due     []lifeEvent // by time
	vms     [lifeVMs]*lifeVM
	leader  int
	term    int
	slots   []*process
	owner   map[ident.Server]*process // which process wrote an entry last
	writes  []write
	born    int64
	awayTo  time.Time // when the store answers again
	sent    []time.Time
	ends    []time.Time
	history strings.Builder
}

func newLives(pace way) *lives {
	n := 1
	if _, err := fmt.Sscanf(pace.value(dimPace), "%f s, %d server", new(float64), &n); err != nil {
		panic(err)
	}
	l := &lives{pace: pace, start: time.Now(), slots: make([]*process, n), owner: map[ident.Server]*process{}, born: 1000}
	for i := range l.vms {
		l.vms[i] = newLifeVM()
	}
	for i := range l.slots {
		l.begin(i, ident.Server(fmt.Sprintf("s%d", i)))
	}
	for i := range l.vms {
		l.vms[i].away = true // so that it reads the whole list
		l.sync(i)
	}
	l.vms[0].table.BeginTerm(l.start)
	l.at(0, l.tick)
	return l
}

func (l *lives) note(format string, args ...any) {
	fmt.Fprintf(&l.history, "%6.2f s  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// at schedules a function.
func (l *lives) at(after time.Duration, do func()) {
	at := time.Now().Add(after)
	i := slices.IndexFunc(l.due, func(e lifeEvent) bool { return e.at.After(at) })
	if i < 0 {
		i = len(l.due)
	}
	l.due = slices.Insert(l.due, i, lifeEvent{at, do})
}

// run lets time pass.
func (l *lives) run(d time.Duration) {
	end := time.Now().Add(d)
	for len(l.due) > 0 && !l.due[0].at.After(end) {
		e := l.due[0]
		l.due = l.due[1:]
		time.Sleep(time.Until(e.at))
		e.do()
	}
	time.Sleep(time.Until(end))
}

// begin starts a process in a slot and lists it.
func (l *lives) begin(slot int, name ident.Server) {
	l.born++
	p := &process{id: ident.Process{Server: name, Incarnation: l.born}, slot: slot, running: true, up: time.Now()}
	if l.pace.is(dimBorn, "goes back") {
		p.id.Incarnation = 3000 - l.born
	}
	l.slots[slot] = p
	stated := l.stated(p)
	switch {
	case l.pace.is(dimBorn, "at times missing"):
		l.at(time.Second, func() { l.heartbeat(p, "") })
	case l.pace.is(dimBorn, "entry at times unreadable"):
		l.at(time.Second, func() { l.heartbeat(p, "{") })
		l.at(2*time.Second, func() { l.heartbeat(p, stated) })
	}
	l.heartbeat(p, stated)
}

// stated returns what the entry of a process states about its start.
func (l *lives) stated(p *process) string {
	if l.pace.is(dimBorn, "missing") {
		return ""
	}
	return fmt.Sprintf(`,"born":%d`, p.id.Incarnation)
}

// heartbeat writes the entry of a process.
func (l *lives) heartbeat(p *process, fields string) {
	if !p.running {
		return
	}
	if p.leaving {
		fields += `,"leaving":true`
	}
	l.put(func() bool { l.owner[p.id.Server] = p; return true }, p.id.Server, `{"Name":"`+string(p.id.Server)+`"`+fields+"}")
}

// expire removes the entry of a process unless another process has written it since.
func (l *lives) expire(p *process) {
	l.put(func() bool { return l.owner[p.id.Server] == p }, p.id.Server, "")
}

// put writes an entry once the store answers, if it may then.
func (l *lives) put(may func() bool, name ident.Server, json string) {
	if time.Now().Before(l.awayTo) {
		l.at(time.Until(l.awayTo), func() { l.put(may, name, json) })
		return
	}
	if !may() {
		return
	}
	l.writes = append(l.writes, write{time.Now(), name, json})
	for i := range l.vms {
		l.at(watchDelay+l.listDelay(i), func() { l.sync(i) })
	}
}

func (l *lives) listDelay(vm int) time.Duration {
	var d time.Duration
	switch {
	case l.pace.is(dimList, "1 s late"):
		d = time.Second
	case l.pace.is(dimList, "4 s late"):
		d = 4 * time.Second
	}
	if vm != l.leader && l.pace.is(dimLeader, "followers 2.5 s later") {
		d += 2500 * time.Millisecond
	}
	return d
}

// sync brings the list of a VM up to date with the changes that it may know.
func (l *lives) sync(i int) {
	vm, now := l.vms[i], time.Now()
	if l.suspended(i) {
		return
	}
	if now.Before(l.awayTo) {
		vm.away = true
		vm.tracker.storeDown()
		return
	}
	until := vm.seen
	for until < len(l.writes) && !l.writes[until].at.Add(l.listDelay(i)).After(now) {
		until++
	}
	if vm.away {
		vm.seen = until
		vm.listAll(l.writes[:until])
	}
	for ; vm.seen < until; vm.seen++ {
		vm.change(l.writes[vm.seen], vm.seen+1)
	}
	vm.refresh(now)
}

// suspended reports whether a VM is suspended.
func (l *lives) suspended(vm int) bool {
	return vm == l.leader && l.pace.has(dimLeader, "suspended") && time.Since(l.start)%(10*time.Second) >= 6*time.Second
}

// on lets a VM do something as soon as it is not suspended.
func (l *lives) on(vm int, do func()) {
	if l.suspended(vm) {
		l.at(lifeTick, func() { l.on(vm, do) })
		return
	}
	do()
}

// awake returns the VM, or the next one if it is suspended.
func (l *lives) awake(vm int) int {
	if l.suspended(vm) {
		return (vm + 1) % lifeVMs
	}
	return vm
}

// tick lets the VMs compare their tables with their lists, poll the leader, and get answers.
func (l *lives) tick() {
	l.at(lifeTick, l.tick)
	for i, vm := range l.vms {
		if !l.suspended(i) {
			vm.tick(time.Now(), i == l.leader) // a VM that resumes goes on with the list of before
			l.sync(i)
		}
	}
	for i := range l.vms {
		if !l.suspended(i) && !l.suspended(l.leader) {
			l.poll(i)
		}
	}
	if l.pace.is(dimAnswer, "yes") {
		l.answerOthers()
	}
}

// answerOthers lets all running processes answer other requests of all VMs that list them.
func (l *lives) answerOthers() {
	now := time.Now()
	for _, p := range l.slots {
		for i, vm := range l.vms {
			if p == nil || l.suspended(i) || !vm.lists(p.id.Server) || now.Sub(p.up) < lifeTick {
				continue
			}
			if p.opened[i].IsZero() {
				p.opened[i] = now
			}
			vm.otherAnswered(p.opened[i], now, p.id.Server)
		}
	}
}

func (l *lives) leaderName() string { return fmt.Sprint("L", l.term) }

// poll exchanges reports and verdicts between a VM and the leader.
func (l *lives) poll(i int) {
	now, vm, leader := time.Now(), l.vms[i], l.vms[l.leader]
	name := ident.VM(fmt.Sprint("vm-", i))
	asks := vm.table.TrialAsks(now)
	if i != l.leader {
		reports := vm.table.Reports(now, l.leaderName())
		leader.table.AddReports(now, l.sentReports(i, reports))
		defer vm.table.MarkReported(l.leaderName(), reports)
		defer func(seq uint64) {
			vm.table.ApplyVerdicts(now, l.leaderName(), leader.table.ChangesSince(now, seq))
			vm.seq = leader.table.Seq()
		}(vm.seq)
	}
	vm.table.ApplyGrants(now, leader.table.GrantTrials(now, name, asks))
}

// sentReports returns the reports as a VM sends them. Those of VMs of the version before lack
// what that version does not know.
func (l *lives) sentReports(vm int, all []poison.Report) []poison.Report {
	all = slices.Clone(all)
	for i := range all {
		if l.pace.is(dimBorn, "not reported by VM 1") && vm == 1 {
			all[i].Incarnation, all[i].Announced, all[i].Sent, all[i].Opened = 0, false, 0, 0
		}
	}
	return all
}

// lead makes the next VM the leader.
func (l *lives) lead() {
	l.vms[l.leader].table.EndTerm()
	l.leader, l.term = (l.leader+1)%lifeVMs, l.term+1
	l.vms[l.leader].table.Lead()
	l.vms[l.leader].table.BeginTerm(time.Now())
	for _, vm := range l.vms {
		vm.seq = 0
	}
	l.note("VM %d leads", l.leader)
}

// lifePrint returns the fingerprint of a request whose caller has another address at each VM.
func lifePrint(vm int) poison.Fingerprint {
	return poison.HeadOf("GET", "a.example", "/x").Fingerprint(fmt.Sprint("10.0.0.", vm), poison.BodyOf(nil))
}

// pick returns a running process that a VM lists, and the process that it takes it for.
func (l *lives) pick(vm, from int) (p *process, listed ident.Process, ok bool) {
	for i := range l.slots {
		p = l.slots[(from+i)%len(l.slots)]
		if p == nil {
			continue
		}
		if listed, ok = l.vms[vm].process(p.id.Server); ok {
			return p, listed, true
		}
	}
	return nil, ident.Process{}, false
}

// mayPass reports whether a VM lets a request pass, and asks for a trial if not.
func (l *lives) mayPass(vm int) bool {
	now, t := time.Now(), l.vms[vm].table
	left, _ := t.StartAttempt(now, lifePrint(vm))
	if left > 0 {
		t.AskTrial(now, lifePrint(vm))
	}
	return left == 0
}

// attempt sends the crashing request through a VM to a process that ends in a way.
func (l *lives) attempt(vm, from int, w way) {
	vm = l.awake(vm)
	p, listed, ok := l.pick(vm, from)
	if !ok || !l.mayPass(vm) {
		return
	}
	l.sent = append(l.sent, time.Now())
	l.note("VM %d sends the request to %v, which it takes for %v; %v", vm, p.id, listed, w)
	const announceAt, endAfter = 5 * time.Millisecond, 27 * time.Millisecond
	end := endAfter
	switch {
	case w.is(dimAnnounce, "as it ends"):
		l.at(announceAt, func() { l.leave(p) })
	case w.is(dimAnnounce, "long before"):
		end = 5 * time.Second
		l.at(announceAt, func() { l.leave(p) })
	}
	a := poison.Attempt{Fingerprint: lifePrint(vm), Process: listed, SentAt: time.Now()}
	unanswered := func() { l.on(vm, func() { l.vms[vm].notAnswered(a) }) }
	switch {
	case w.is(dimEnd, "closed"):
		p.onEnd = append(p.onEnd, func() { l.on(vm, func() { l.vms[vm].crashed(a) }) })
	case w.is(dimEnd, "deadline"):
		l.at(2*time.Second, unanswered)
	case w.is(dimEnd, "caller left"):
		l.at(endAfter-announceAt, unanswered)
	case w.is(dimEnd, "key moved"):
		l.at(time.Second, unanswered)
	}
	l.at(end, func() { l.end(p, w) })
}

func (l *lives) leave(p *process) {
	if !p.leaving {
		p.leaving = true
		l.heartbeat(p, l.stated(p))
	}
}

// end ends a process and starts the next one in its slot.
func (l *lives) end(p *process, w way) {
	if !p.running {
		return
	}
	l.note("%v ends", p.id)
	p.running, l.slots[p.slot] = false, nil
	l.ends = append(l.ends, time.Now())
	for _, f := range p.onEnd {
		f()
	}
	l.at(entryExpiry, func() { l.expire(p) })
	next, after := p.id.Server, 300*time.Millisecond
	switch {
	case w.is(dimEntry, "expires"):
		next, after = l.newName(p), 3300*time.Millisecond
	case w.is(dimEntry, "other id"):
		next, after = l.newName(p), 500*time.Millisecond
	case w.is(dimEntry, "rewritten"):
		after = 2 * time.Second
	case w.is(dimEntry, "gone and back"):
		after = 4 * time.Second
	}
	l.at(after, func() { l.begin(p.slot, next) })
}

func (l *lives) newName(p *process) ident.Server {
	return ident.Server(fmt.Sprintf("s%d-%d", p.slot, len(l.ends)))
}

// late returns how often the crashing request was sent after every VM had to know it.
func (l *lives) late() int {
	const threshold = poison.CrashThreshold
	n := 0
	for _, at := range l.sent {
		if len(l.ends) >= threshold && at.After(l.ends[threshold-1].Add(lifeLearnTime)) {
			n++
		}
	}
	return n
}

// playCrashes plays a history with one attempt for each of the ways, and returns how many
// were sent late.
func playCrashes(t *testing.T, pace way, ways []way) (late int, history string) {
	synctest.Test(t, func(*testing.T) {
		l := newLives(pace)
		l.run(time.Second)
		for i, w := range ways {
			l.leaveStore()
			l.attempt(i%lifeVMs, i, w)
			l.pause()
		}
		late, history = l.late(), l.history.String()
	})
	return late, history
}

// leaveStore makes the store unreachable for 2 s of about every 10 s.
func (l *lives) leaveStore() {
	if l.pace.has(dimList, "store away") && time.Since(l.awayTo) >= 8*time.Second {
		l.awayTo = time.Now().Add(2 * time.Second)
		l.note("the store is away for 2 s")
	}
}

// pause lets the time between two attempts pass.
func (l *lives) pause() {
	interval := l.pace.interval()
	l.run(interval / 2)
	if l.pace.is(dimLeader, "changes") {
		l.lead()
	}
	l.run(interval - interval/2)
}

// attemptsOf returns how many attempts a history has: enough to break the bound where a
// process hangs for some seconds before it ends.
func attemptsOf(pace way) int {
	if pace.has(dimPace, "0.4 s") {
		return 36
	}
	return 12
}

// classDims are the dimensions by which failures are told apart.
var classDims = []int{0, 1, 2, dimBorn}

// failures collects the histories that break a bound.
type failures struct {
	played, failed int
	classes        map[way]*failureClass
	values         map[string]int // failed histories by the value of a dimension
}

type failureClass struct {
	way     way // with the least weight that breaks the bound
	worst   float64
	failed  int
	figure  float64
	history string
}

// add adds a history with the figure that has a bound.
func (f *failures) add(w way, figure, bound float64, history string) {
	if f.classes == nil {
		f.classes, f.values = map[way]*failureClass{}, map[string]int{}
	}
	key := way{space: w.space}
	for _, i := range classDims {
		key.v[i] = w.v[i]
	}
	if f.classes[key] == nil {
		f.classes[key] = &failureClass{way: key}
	}
	c := f.classes[key]
	c.worst = max(c.worst, figure)
	f.played++
	if figure <= bound {
		return
	}
	f.failed++
	for i, d := range w.space {
		f.values[d.name+" "+w.value(i)]++
	}
	if c.failed++; c.failed == 1 || w.weight() < c.way.weight() {
		c.way, c.figure, c.history = w, figure, history
	}
}

// check fails the test if any history broke its bound, with a table of the classes.
func (f *failures) check(t *testing.T, unit string) {
	byWeight := func(a, b way) int {
		return cmp.Or(cmp.Compare(a.weight(), b.weight()), slices.Compare(a.v[:], b.v[:]))
	}
	var smallest *failureClass
	for _, key := range slices.SortedFunc(maps.Keys(f.classes), byWeight) {
		c := f.classes[key]
		if c.failed == 0 {
			t.Logf("holds, at most %v %s: %v", c.worst, unit, key)
			continue
		}
		t.Logf("broken by %d, up to %v %s: %v; the smallest %v: %v", c.failed, c.worst, unit, key, c.figure, c.way)
		if smallest == nil || c.way.weight() < smallest.way.weight() {
			smallest = c
		}
	}
	if f.failed > 0 {
		t.Logf("broken by value: %v", f.values)
		t.Fatalf("%d of %d histories break their bound; the smallest, %v:\n%s", f.failed, f.played, smallest.way, smallest.history)
	}
}

// named are the histories in which entries tell the processes of a server apart, if not at
// once, and slow those in which servers end at a pace at which lists show it.
var (
	slow  = crashes.with(dimPace, "3.5 s")
	named = slow.with(dimBorn, "stated", "unreadable", "not reported")
)

// checkCrashes plays histories of one way each.
func checkCrashes(t *testing.T, s space) {
	var f failures
	for w := range s.sample() {
		late, history := playCrashes(t, w, slices.Repeat([]way{w}, attemptsOf(w)))
		f.add(w, float64(late), lifeMaxLate, history)
	}
	f.check(t, "late")
}

// Guards against a way in which servers end, and show it, that hides the crashes of a request that ends each of them.
func TestEachWayOfEndingCountsAsACrash(t *testing.T) {
	checkCrashes(t, named)
}

// Guards against taking a server that starts again under its name for one that went on, where its entry does not state when it started, or states an earlier time.
func TestCrashesCountWhereEntriesDoNotTellProcessesApart(t *testing.T) {
	checkCrashes(t, slow.with(dimBorn, "missing", "goes back"))
}

// Guards against missing the crashes of servers that end in quick succession, before lists show it.
func TestCrashesInQuickSuccessionCount(t *testing.T) {
	checkCrashes(t, crashes.with(dimPace, "0.4 s"))
}

// Guards against a succession of different ways in which servers end that hides the crashes of a request that ends each of them.
func TestCrashesCountWhenServersEndInDifferentWays(t *testing.T) {
	seeds.Check(t, func(r *rapid.T) {
		pace := named.draw(r)
		ways := make([]way, attemptsOf(pace))
		for i := range ways {
			ways[i] = named.draw(r)
		}
		if late, history := playCrashes(t, pace, ways); late > lifeMaxLate {
			r.Fatalf("sent late %d times: %v\n%s", late, pace, history)
		}
	})
}

// Guards against a stored quarantine that ends because the version before, which wrote it, does not name processes.
func TestAStoredQuarantineOfTheVersionBeforeHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLives(way{space: &crashes})
		l.run(time.Second)
		v := poison.Verdict{Fingerprint: lifePrint(0)}
		for i := range poison.CrashThreshold {
			v.Crashes = append(v.Crashes, poison.VerdictCrash{Server: ident.Server(fmt.Sprint("s", i)), Age: time.Minute, Confirmed: true})
		}
		for _, vm := range l.vms {
			vm.table.Merge(time.Now(), []poison.Verdict{v})
		}
		for range 60 {
			l.run(time.Second)
			l.answerOthers()
			assert.Assert(t, !l.mayPass(0))
		}
	})
}
