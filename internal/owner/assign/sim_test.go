package assign

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// simulation runs the servers of one service, the store and a sequence of leaders on one clock.
// Whether each key had a single owner is judged by the orders that the servers executed.
type simulation struct {
	t       *rapid.T
	now     time.Time
	events  []event
	seq     int
	table   []byte
	version object.Version
	storeOK bool
	calm    bool // no order and no write fails by itself
	// loseWriteAnswer applies the next write, but loses its answer.
	loseWriteAnswer bool
	// maxGrant is the longest grant that servers accept; zero accepts all.
	maxGrant  time.Duration
	servers   []*fakeServer
	leaders   []*leader
	maxEpoch  uint64 // highest epoch of any leader
	violation string
	returnState
	trace []string // events, printed when a test fails
	flaw  flaw
}

func (sim *simulation) tracef(format string, args ...any) {
	at := fmt.Sprintf("%8.3f ", float64(sim.now.UnixMilli()%1_000_000)/1000)
	sim.trace = append(sim.trace, at+fmt.Sprintf(format, args...))
}

type event struct {
	at     time.Time
	seq    int
	action func()
}

const (
	rowWidth = ranges.KeySpace / simRows
	delay    = time.Millisecond
	// relayDelay is the longest delay of an order that goes through another VM.
	relayDelay = time.Second
	// simRows is kept small to make runs short; the module supports any number.
	simRows = 16
)

// fakeServer is a backend server as specified by the platform. Its state is kept by row of
// the initial table, since no row is split in these tests.
type fakeServer struct {
	name        ident.Server
	incarnation int64
	up          bool
	silent      bool
	listed      bool
	leaving     bool
	evacuated   bool
	maxFence    [simRows]uint64
	fence       [simRows]uint64
	until       [simRows]time.Time
	busyUntil   [simRows]time.Time // when the work on these keys ends
}

// leader is one leader's VM. While frozen, it neither receives messages nor sends orders.
type leader struct {
	sim         *simulation
	model       *Model
	auth        Authority
	alive       bool
	unreachable map[ident.Server]bool
	relayed     map[ident.Server]bool // its orders to these servers go through another VM
	frozenUntil time.Time
	served      map[int]ident.Server // what it published last, by row
	known       []ranges.Assignment  // what the leader before it had published then
	era         object.Era           // in which it claimed the lease
	unaware     bool                 // its epoch is raised once it reports that the table's epoch is not below its own
}

func newSim(t *rapid.T, f flaw) *simulation {
	sim := &simulation{t: t, now: time.Unix(1_000_000, 0), storeOK: true, flaw: f}
	for i := range 4 {
		sim.servers = append(sim.servers, &fakeServer{name: ident.Server(fmt.Sprintf("s%d", i)), incarnation: 1, up: true, listed: true})
	}
	return sim
}

func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.seq++
	sim.events = append(sim.events, event{sim.now.Add(d), sim.seq, action})
}

// runUntil processes events until the given time.
func (sim *simulation) runUntil(until time.Time) {
	for len(sim.events) > 0 {
		i := 0
		for j := range sim.events {
			a, b := sim.events[j], sim.events[i]
			if cmp.Or(a.at.Compare(b.at), cmp.Compare(a.seq, b.seq)) < 0 {
				i = j
			}
		}
		e := sim.events[i]
		if e.at.After(until) || sim.violation != "" {
			break
		}
		sim.events = slices.Delete(sim.events, i, i+1)
		sim.now = e.at
		e.action()
	}
	sim.now = until
}

// newLeader makes another VM the leader. The previous one does not notice, and goes on until
// the end of its term.
func (sim *simulation) newLeader() *leader {
	sim.maxEpoch++
	epoch := sim.maxEpoch
	l := &leader{sim: sim, model: New(WithMaxGrant(sim.maxGrant)), alive: true, unreachable: map[ident.Server]bool{}, relayed: map[ident.Server]bool{}}
	l.model.flaw, l.era, l.known = sim.flaw, sim.era, sim.knownServed()
	l.auth = Authority{Epoch: epoch, Until: sim.now.Add(elect.Term), OldTermEnd: sim.now}
	if epoch > 1 {
		l.auth.OldTermEnd = sim.now.Add(elect.Term + elect.Margin)
	}
	sim.leaders = append(sim.leaders, l)
	sim.tracef("all rows: VM %d leads", epoch)
	l.sendServers()
	l.tick()
	return l
}

// newUnawareLeader makes another VM the leader after the lease was lost. It knows of no
// earlier leader, so its epoch is below the table's and its OldTermEnd does not cover the
// previous leader, which goes on until the end of its term.
func (sim *simulation) newUnawareLeader() {
	l := &leader{sim: sim, model: New(WithMaxGrant(sim.maxGrant)), alive: true, unreachable: map[ident.Server]bool{}, relayed: map[ident.Server]bool{}, unaware: true}
	l.model.flaw = sim.flaw
	l.auth = Authority{Epoch: 1, Until: sim.now.Add(elect.Term), OldTermEnd: sim.now.Add(elect.Margin)}
	sim.leaders = append(sim.leaders, l)
	sim.tracef("all rows: a VM leads that knows of no earlier leader")
	l.sendServers()
	l.tick()
}

// raiseEpoch gives an unaware leader an epoch above the table's, by a conditional update of
// the lease that only the newest leader can make.
func (l *leader) raiseEpoch(epoch uint64) {
	sim := l.sim
	if !l.unaware || !l.newest() || !sim.storeOK || l.auth.Epoch > epoch {
		return
	}
	sim.maxEpoch = max(sim.maxEpoch, epoch) + 1
	sim.tracef("all rows: VM %d leads as %d", l.auth.Epoch, sim.maxEpoch)
	l.auth.Epoch, l.auth.OldTermEnd = sim.maxEpoch, sim.now.Add(elect.Term+elect.Margin)
}

func (l *leader) newest() bool { return l.sim.leaders[len(l.sim.leaders)-1] == l }

func (l *leader) tick() {
	if !l.alive {
		return
	}
	sim := l.sim
	if l.newest() && sim.storeOK && !l.isFrozen() {
		l.claimInNewEra()
		l.auth.Until = sim.now.Add(elect.Term)
	}
	l.auth.LongGrants, l.auth.Era, l.auth.Sole = !sim.storeOK, l.era, sim.sole
	l.update(TickMsg{l.auth})
	sim.schedule(50*time.Millisecond, l.tick)
}

func (l *leader) isFrozen() bool { return l.sim.now.Before(l.frozenUntil) }

func (l *leader) sendServers() {
	var all []Server
	for _, s := range l.sim.servers {
		if s.listed {
			all = append(all, Server{Name: s.name, Addr: netip.AddrPort{}, Incarnation: s.incarnation, Slots: 4, Leaving: s.leaving, Evacuated: s.evacuated})
		}
	}
	l.update(ServersMsg{all})
}

// update delivers a message; if the VM is frozen, it is delivered afterwards.
func (l *leader) update(msg loop.Msg) {
	if !l.alive {
		return
	}
	if l.isFrozen() {
		l.sim.schedule(l.frozenUntil.Sub(l.sim.now)+delay, func() { l.update(msg) })
		return
	}
	_, cmds := l.model.Update(l.sim.now, msg)
	for _, c := range cmds {
		l.execute(c)
	}
}

func (l *leader) execute(cmd loop.Cmd) {
	sim := l.sim
	switch cmd := cmd.(type) {
	case ReadCmd:
		sim.schedule(2*delay, func() { l.update(l.withCopy(sim.readTable())) })
	case WriteCmd:
		sim.schedule(2*delay, func() { l.writeTable(cmd) })
	case StaleEpochCmd:
		sim.schedule(2*delay, func() { l.raiseEpoch(cmd.Epoch) })
	case OrderCmd:
		sim.schedule(delay, func() { l.sendOrders(cmd, nil) })
	case PublishCmd:
		l.publish(cmd)
	}
}

func (sim *simulation) readTable() ReadResultMsg {
	switch {
	case !sim.storeOK:
		return ReadResultMsg{Kind: kinds.Unavailable}
	case sim.version == 0:
		t := ranges.Table{}
		for i := range simRows {
			t.Rows = append(t.Rows, ranges.Row{Span: ranges.Span{First: uint16(i * rowWidth), Last: uint16(i*rowWidth + rowWidth - 1)}})
		}
		return ReadResultMsg{Table: t, Version: 0, Era: sim.era}
	}
	t, err := ranges.Decode(sim.table)
	if err != nil {
		sim.t.Fatal(err)
	}
	return ReadResultMsg{Table: t, Version: sim.version, Era: sim.era}
}

// writeTable updates the table. Its answer may be lost, and it may be applied seconds later.
func (l *leader) writeTable(cmd WriteCmd) {
	sim := l.sim
	apply := func() kinds.Kind {
		if sim.version != cmd.Old || !cmd.Table.Era.Is(sim.era) {
			return kinds.Conflict
		}
		b, err := cmd.Table.Encode()
		if err != nil {
			sim.t.Fatal(err)
		}
		sim.table, sim.version = b, sim.version+1
		sim.addCopy()
		for i, r := range cmd.Table.Rows {
			sim.tracef("row %d agreed by %d as of %d: %s fence %d from %q", i, l.auth.Epoch, sim.version, r.Owner, r.Fence, r.PrevOwner)
		}
		return kinds.None
	}
	outcome := sim.drawOutcome(19, "write")
	switch {
	case !sim.storeOK:
		l.update(WriteResultMsg{Kind: kinds.Unavailable})
	case outcome == 0 || sim.loseWriteAnswer:
		sim.loseWriteAnswer = false
		apply()
		l.update(WriteResultMsg{Kind: kinds.Ambiguous})
	case outcome == 1:
		sim.schedule(time.Duration(rapid.IntRange(1, 5).Draw(sim.t, "late"))*time.Second, func() { apply() })
		l.update(WriteResultMsg{Kind: kinds.Ambiguous})
	default:
		k := apply()
		l.update(WriteResultMsg{Version: sim.version, Kind: k})
	}
}

// corruptRow makes one row of the stored table invalid, as a faulty program could.
func (sim *simulation) corruptRow() {
	var d struct {
		Epoch   uint64         `json:"epoch"`
		Top     uint64         `json:"top"`
		Servers []ident.Server `json:"servers"`
		Rows    [][5]int64     `json:"rows"`
	}
	if json.Unmarshal(sim.table, &d) != nil {
		return // there is none yet
	}
	row := &d.Rows[rapid.IntRange(0, len(d.Rows)-1).Draw(sim.t, "row")]
	switch rapid.IntRange(0, 2).Draw(sim.t, "spoiled") {
	case 0:
		row[1] = 99
	case 1:
		row[4] = 99
	case 2:
		row[3] = int64(d.Top) + 5
	}
	b, err := json.Marshal(d)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.tracef("all rows: row at %d is %v", row[0], *row)
	sim.table, sim.version = b, sim.version+1
}

// sendOrders sends the orders of a command one by one, up to the first failed grant.
func (l *leader) sendOrders(cmd OrderCmd, done []OrderResult) {
	sim := l.sim
	if !l.alive {
		return
	}
	if l.isFrozen() {
		sim.schedule(l.frozenUntil.Sub(sim.now)+delay, func() { l.sendOrders(cmd, done) })
		return
	}
	late := time.Duration(0)
	if l.relayed[cmd.Server] {
		late = relayDelay
	}
	if len(done) == len(cmd.Orders) || !sim.now.Add(late).Before(cmd.Until) {
		l.update(OrderResultMsg{Server: cmd.Server, Incarnation: cmd.Incarnation, Results: done})
		return
	}
	o := cmd.Orders[len(done)]
	sent := sim.now
	sim.sendOrder(l, cmd.Server, o, func(k kinds.Kind, token string) {
		done = append(done, OrderResult{Order: o, Sent: sent, Delay: late, Kind: k, Token: token})
		if !o.Release && k != kinds.None && k != kinds.Fenced {
			l.update(OrderResultMsg{Server: cmd.Server, Incarnation: cmd.Incarnation, Results: done})
			return
		}
		l.sendOrders(cmd, done)
	})
}

// drawOutcome draws the outcome of a call: the lowest numbers mean a fault.
func (sim *simulation) drawOutcome(highest int, label string) int {
	if sim.calm {
		return highest
	}
	return rapid.IntRange(0, highest).Draw(sim.t, label)
}

const orderTimeout = 400 * time.Millisecond

// sendOrder delivers one order: it may not arrive, its answer may be lost, or it may be
// executed seconds after it arrived.
func (sim *simulation) sendOrder(l *leader, name ident.Server, o Order, answer func(kinds.Kind, string)) {
	s := sim.server(name)
	lost := func() { sim.schedule(orderTimeout, func() { answer(kinds.Ambiguous, "") }) }
	outcome := sim.drawOutcome(39, "order")
	switch {
	case !s.up && !s.silent:
		sim.schedule(delay, func() { answer(kinds.Unavailable, "") })
	case !s.up, s.silent:
		lost()
	case l.relayed[name] && !sim.calm:
		incarnation := s.incarnation
		sim.schedule(time.Duration(rapid.IntRange(1, int(relayDelay/time.Millisecond)).Draw(sim.t, "relay"))*time.Millisecond, func() {
			if s.up && s.incarnation == incarnation {
				s.execute(sim, o, sim.now)
			}
		})
		lost()
	case l.unreachable[name]:
		lost()
	case outcome == 0:
		arrived, incarnation := sim.now.Add(delay), s.incarnation
		sim.schedule(time.Duration(rapid.IntRange(2, 12).Draw(sim.t, "late"))*time.Second, func() {
			if s.up && s.incarnation == incarnation {
				s.execute(sim, o, arrived)
			}
		})
		lost()
	case outcome == 1:
		sim.schedule(delay, func() { s.execute(sim, o, sim.now) })
		lost()
	default:
		sim.schedule(delay, func() {
			k, ends := s.execute(sim, o, sim.now)
			sim.schedule(ends.Sub(sim.now)+delay, func() { answer(k, "token") })
		})
	}
}

func (sim *simulation) server(name ident.Server) *fakeServer {
	i := slices.IndexFunc(sim.servers, func(s *fakeServer) bool { return s.name == name })
	return sim.servers[i]
}

// execute applies an order as of its arrival, and returns when it is answered.
func (s *fakeServer) execute(sim *simulation, o Order, arrived time.Time) (kinds.Kind, time.Time) {
	first, last := int(o.First)/rowWidth, int(o.Last)/rowWidth
	if sim.maxGrant > 0 && o.TTL > sim.maxGrant {
		return kinds.Malformed, sim.now
	}
	sim.tracef("row %d at %s: release %v fence %d hold %v, arrived %v ago, seen %d", first, s.name, o.Release, o.Fence, o.TTL, sim.now.Sub(arrived), s.maxFence[first])
	ends := sim.now
	for i := first; i <= last; i++ {
		if !o.Release && s.maxFence[i] > o.Fence {
			return kinds.Fenced, sim.now
		}
	}
	for i := first; i <= last; i++ {
		s.maxFence[i] = max(s.maxFence[i], o.Fence)
		if o.Release {
			s.until[i] = time.Time{}
			if s.busyUntil[i].After(ends) {
				ends = s.busyUntil[i]
			}
			continue
		}
		s.fence[i] = o.Fence
		s.until[i] = arrived.Add(o.TTL + o.TTL*20/1000)
		sim.checkOwner(s, i)
	}
	return kinds.None, ends
}

// checkOwner looks for another server that holds a row at the moment one is granted it, and
// for a fence that is not above those of the other servers.
func (sim *simulation) checkOwner(s *fakeServer, row int) {
	if !s.until[row].After(sim.now) {
		return
	}
	for _, o := range sim.servers {
		if o == s || !o.up {
			continue
		}
		if o.until[row].After(sim.now) || o.busyUntil[row].After(sim.now) {
			sim.violation = fmt.Sprintf("row %d at %s (fence %d) and at %s (fence %d), until %v, now %v",
				row, s.name, s.fence[row], o.name, o.fence[row], o.until[row], sim.now)
		}
		if o.maxFence[row] >= s.fence[row] && o.fence[row] >= s.fence[row] {
			sim.violation = fmt.Sprintf("row %d: fence %d at %s is not above %d at %s", row, s.fence[row], s.name, o.fence[row], o.name)
		}
	}
}

// restart gives a server a new incarnation: it knows no keys and no fences.
func (s *fakeServer) restart(incarnation int64) {
	*s = fakeServer{name: s.name, incarnation: incarnation, up: true, listed: true}
}

// ownedRows counts the rows that some server holds now.
func (sim *simulation) ownedRows() int {
	n := 0
	for i := range simRows {
		if slices.ContainsFunc(sim.servers, func(s *fakeServer) bool { return s.up && s.until[i].After(sim.now) }) {
			n++
		}
	}
	return n
}
