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

// world plays one service's servers, the store and two VMs that lead one after the
// other, on a clock of its own. Whether keys had one owner is judged from what the
// servers themselves obeyed.
type world struct {
	t       *rapid.T
	now     time.Time
	events  []event
	n       int
	table   []byte
	version object.Version
	storeOK bool
	calm    bool // no order and no write goes wrong by itself
	// loseWrite loses the answer of the next write, which is done.
	loseWrite bool
	// most is the longest grant that servers accept; zero accepts all.
	most    time.Duration
	servers []*backend
	leaders []*leader
	epoch   uint64 // the highest that a leader had
	broken  string
	trace   []string // what happened, for whoever reads a failure
	flaw    flaw
}

func (w *world) note(format string, args ...any) {
	at := fmt.Sprintf("%8.3f ", float64(w.now.UnixMilli()%1_000_000)/1000)
	w.trace = append(w.trace, at+fmt.Sprintf(format, args...))
}

type event struct {
	at time.Time
	n  int
	do func()
}

const (
	wide  = ranges.KeySpace / rowsHere
	delay = time.Millisecond
	// rowsHere keeps histories short; the module does not care.
	rowsHere = 16
)

// backend is a server as the platform describes it. What it obeys is kept by row of
// the test's table, since nothing here is cut further.
type backend struct {
	name   ident.Server
	born   int64
	up     bool
	silent bool
	listed bool
	leaves bool
	seen   [rowsHere]uint64
	fence  [rowsHere]uint64
	until  [rowsHere]time.Time
	work   [rowsHere]time.Time // when the work on these keys ends
}

// leader is a VM's part. Frozen, it neither gets messages nor sends orders.
type leader struct {
	w      *world
	model  *Model
	auth   Authority
	alive  bool
	cut    map[ident.Server]bool
	frozen time.Time
	behind bool // its epoch is raised as soon as it says that the table's is higher
}

func newWorld(t *rapid.T, f flaw) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), storeOK: true, flaw: f}
	for i := range 4 {
		w.servers = append(w.servers, &backend{name: ident.Server(fmt.Sprintf("s%d", i)), born: 1, up: true, listed: true})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.n++
	w.events = append(w.events, event{w.now.Add(d), w.n, do})
}

// run plays until a time.
func (w *world) run(until time.Time) {
	for len(w.events) > 0 {
		i := 0
		for j := range w.events {
			a, b := w.events[j], w.events[i]
			if cmp.Or(a.at.Compare(b.at), cmp.Compare(a.n, b.n)) < 0 {
				i = j
			}
		}
		e := w.events[i]
		if e.at.After(until) || w.broken != "" {
			break
		}
		w.events = slices.Delete(w.events, i, i+1)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// lead makes another VM the leader. The one before is not told, and goes on until
// the end of its term.
func (w *world) lead() *leader {
	w.epoch++
	epoch := w.epoch
	l := &leader{w: w, model: New(WithMaxGrant(w.most)), alive: true, cut: map[ident.Server]bool{}}
	l.model.flaw = w.flaw
	l.auth = Authority{Epoch: epoch, Until: w.now.Add(elect.Term), OldTermEnd: w.now}
	if epoch > 1 {
		l.auth.OldTermEnd = w.now.Add(elect.Term + elect.Margin)
	}
	w.leaders = append(w.leaders, l)
	w.note("all rows: VM %d leads", epoch)
	l.hosts()
	l.tick()
	return l
}

// leadUnaware makes another VM the leader after the lease was lost: it knows of no
// leader before it, so its first epoch is lower than the table's and its bar is no word
// about the one before, which goes on until the end of its term.
func (w *world) leadUnaware() {
	l := &leader{w: w, model: New(WithMaxGrant(w.most)), alive: true, cut: map[ident.Server]bool{}, behind: true}
	l.model.flaw = w.flaw
	l.auth = Authority{Epoch: 1, Until: w.now.Add(elect.Term), OldTermEnd: w.now.Add(elect.Margin)}
	w.leaders = append(w.leaders, l)
	w.note("all rows: a VM leads that knows of none before")
	l.hosts()
	l.tick()
}

// raise gives an unaware leader an epoch above the table's, by a conditional update of
// the lease that only the newest leader can make.
func (l *leader) raise(epoch uint64) {
	w := l.w
	if !l.behind || !l.newest() || !w.storeOK || l.auth.Epoch > epoch {
		return
	}
	w.epoch = max(w.epoch, epoch) + 1
	w.note("all rows: VM %d leads as %d", l.auth.Epoch, w.epoch)
	l.auth.Epoch, l.auth.OldTermEnd = w.epoch, w.now.Add(elect.Term+elect.Margin)
}

func (l *leader) newest() bool { return l.w.leaders[len(l.w.leaders)-1] == l }

func (l *leader) tick() {
	if !l.alive {
		return
	}
	w := l.w
	if l.newest() && w.storeOK && !l.isFrozen() {
		l.auth.Until = w.now.Add(elect.Term)
	}
	l.auth.LongGrants = !w.storeOK
	l.tell(TickMsg{l.auth})
	w.after(50*time.Millisecond, l.tick)
}

func (l *leader) isFrozen() bool { return l.w.now.Before(l.frozen) }

func (l *leader) hosts() {
	var all []Server
	for _, s := range l.w.servers {
		if s.listed {
			all = append(all, Server{Name: s.name, Addr: netip.AddrPort{}, Incarnation: s.born, Slots: 4, Leaving: s.leaves})
		}
	}
	l.tell(ServersMsg{all})
}

// tell hands a message over; one that meets a frozen VM waits for it.
func (l *leader) tell(msg loop.Msg) {
	if !l.alive {
		return
	}
	if l.isFrozen() {
		l.w.after(l.frozen.Sub(l.w.now)+delay, func() { l.tell(msg) })
		return
	}
	_, cmds := l.model.Update(l.w.now, msg)
	for _, c := range cmds {
		l.do(c)
	}
}

func (l *leader) do(cmd loop.Cmd) {
	w := l.w
	switch cmd := cmd.(type) {
	case ReadCmd:
		w.after(2*delay, func() { l.tell(w.read()) })
	case WriteCmd:
		w.after(2*delay, func() { l.write(cmd) })
	case StaleEpochCmd:
		w.after(2*delay, func() { l.raise(cmd.Epoch) })
	case OrderCmd:
		w.after(delay, func() { l.order(cmd, nil) })
	}
}

func (w *world) read() ReadResultMsg {
	switch {
	case !w.storeOK:
		return ReadResultMsg{Kind: kinds.Unavailable}
	case w.version == 0:
		t := ranges.Table{}
		for i := range rowsHere {
			t.Rows = append(t.Rows, ranges.Row{Span: ranges.Span{First: uint16(i * wide), Last: uint16(i*wide + wide - 1)}})
		}
		return ReadResultMsg{Table: t, Version: 0}
	}
	t, err := ranges.Decode(w.table)
	if err != nil {
		w.t.Fatal(err)
	}
	return ReadResultMsg{Table: t, Version: w.version}
}

// write updates the table. Its answer may be lost, and it may be done seconds later.
func (l *leader) write(cmd WriteCmd) {
	w := l.w
	put := func() kinds.Kind {
		if w.version != cmd.Old {
			return kinds.Conflict
		}
		b, err := cmd.Table.Encode()
		if err != nil {
			w.t.Fatal(err)
		}
		w.table, w.version = b, w.version+1
		for i, r := range cmd.Table.Rows {
			w.note("row %d agreed by %d as of %d: %s fence %d from %q", i, l.auth.Epoch, w.version, r.Owner, r.Fence, r.PrevOwner)
		}
		return kinds.None
	}
	fate := w.fate(19, "write")
	switch {
	case !w.storeOK:
		l.tell(WriteResultMsg{Kind: kinds.Unavailable})
	case fate == 0 || w.loseWrite:
		w.loseWrite = false
		put()
		l.tell(WriteResultMsg{Kind: kinds.Ambiguous})
	case fate == 1:
		w.after(time.Duration(rapid.IntRange(1, 5).Draw(w.t, "late"))*time.Second, func() { put() })
		l.tell(WriteResultMsg{Kind: kinds.Ambiguous})
	default:
		k := put()
		l.tell(WriteResultMsg{Version: w.version, Kind: k})
	}
}

// spoil makes one row of the stored table wrong, as another program could.
func (w *world) spoil() {
	var d struct {
		Epoch   uint64         `json:"epoch"`
		Top     uint64         `json:"top"`
		Servers []ident.Server `json:"servers"`
		Rows    [][5]int64     `json:"rows"`
	}
	if json.Unmarshal(w.table, &d) != nil {
		return // there is none yet
	}
	row := &d.Rows[rapid.IntRange(0, len(d.Rows)-1).Draw(w.t, "row")]
	switch rapid.IntRange(0, 2).Draw(w.t, "spoiled") {
	case 0:
		row[1] = 99
	case 1:
		row[4] = 99
	case 2:
		row[3] = int64(d.Top) + 5
	}
	b, err := json.Marshal(d)
	if err != nil {
		w.t.Fatal(err)
	}
	w.note("all rows: row at %d is %v", row[0], *row)
	w.table, w.version = b, w.version+1
}

// order sends the orders of a command: releases at once, grants one by one.
func (l *leader) order(cmd OrderCmd, done []OrderResult) {
	w := l.w
	if !l.alive {
		return
	}
	if l.isFrozen() {
		w.after(l.frozen.Sub(w.now)+delay, func() { l.order(cmd, done) })
		return
	}
	if len(done) == len(cmd.Orders) || !w.now.Before(cmd.Until) {
		l.tell(OrderResultMsg{Server: cmd.Server, Incarnation: cmd.Incarnation, Results: done})
		return
	}
	o := cmd.Orders[len(done)]
	sent := w.now
	w.send(l, cmd.Server, o, func(k kinds.Kind, token string) {
		done = append(done, OrderResult{Order: o, Sent: sent, Kind: k, Token: token})
		if !o.Release && k != kinds.None && k != kinds.Fenced {
			l.tell(OrderResultMsg{Server: cmd.Server, Incarnation: cmd.Incarnation, Results: done})
			return
		}
		l.order(cmd, done)
	})
}

// fate draws what becomes of a call: the first numbers mean harm.
func (w *world) fate(most int, what string) int {
	if w.calm {
		return most
	}
	return rapid.IntRange(0, most).Draw(w.t, what)
}

const orderWait = 400 * time.Millisecond

// send carries one order: it may not arrive, its answer may be lost, or it may be
// obeyed seconds after it arrived.
func (w *world) send(l *leader, name ident.Server, o Order, answer func(kinds.Kind, string)) {
	s := w.server(name)
	lost := func() { w.after(orderWait, func() { answer(kinds.Ambiguous, "") }) }
	fate := w.fate(39, "order")
	switch {
	case !s.up && !s.silent:
		w.after(delay, func() { answer(kinds.Unavailable, "") })
	case !s.up, s.silent, l.cut[name]:
		lost()
	case fate == 0:
		arrived, born := w.now.Add(delay), s.born
		w.after(time.Duration(rapid.IntRange(2, 12).Draw(w.t, "late"))*time.Second, func() {
			if s.up && s.born == born {
				s.obey(w, o, arrived)
			}
		})
		lost()
	case fate == 1:
		w.after(delay, func() { s.obey(w, o, w.now) })
		lost()
	default:
		w.after(delay, func() {
			k, ends := s.obey(w, o, w.now)
			w.after(ends.Sub(w.now)+delay, func() { answer(k, "token") })
		})
	}
}

func (w *world) server(name ident.Server) *backend {
	i := slices.IndexFunc(w.servers, func(s *backend) bool { return s.name == name })
	return w.servers[i]
}

// obey does what an order says, as of its arrival, and returns when it answers.
func (s *backend) obey(w *world, o Order, arrived time.Time) (kinds.Kind, time.Time) {
	first, last := int(o.First)/wide, int(o.Last)/wide
	if w.most > 0 && o.TTL > w.most {
		return kinds.Malformed, w.now
	}
	w.note("row %d at %s: release %v fence %d hold %v, arrived %v ago, seen %d", first, s.name, o.Release, o.Fence, o.TTL, w.now.Sub(arrived), s.seen[first])
	ends := w.now
	for i := first; i <= last; i++ {
		if !o.Release && s.seen[i] > o.Fence {
			return kinds.Fenced, w.now
		}
	}
	for i := first; i <= last; i++ {
		s.seen[i] = max(s.seen[i], o.Fence)
		if o.Release {
			s.until[i] = time.Time{}
			if s.work[i].After(ends) {
				ends = s.work[i]
			}
			continue
		}
		s.fence[i] = o.Fence
		s.until[i] = arrived.Add(o.TTL + o.TTL*20/1000)
		w.judge(s, i)
	}
	return kinds.None, ends
}

// judge looks for another server that holds a row at the moment in which one gets
// it, and for a fence that is not above those of others.
func (w *world) judge(s *backend, row int) {
	if !s.until[row].After(w.now) {
		return
	}
	for _, o := range w.servers {
		if o == s || !o.up {
			continue
		}
		if o.until[row].After(w.now) || o.work[row].After(w.now) {
			w.broken = fmt.Sprintf("row %d at %s (fence %d) and at %s (fence %d), until %v, now %v",
				row, s.name, s.fence[row], o.name, o.fence[row], o.until[row], w.now)
		}
		if o.seen[row] >= s.fence[row] && o.fence[row] >= s.fence[row] {
			w.broken = fmt.Sprintf("row %d: fence %d at %s is not above %d at %s", row, s.fence[row], s.name, o.fence[row], o.name)
		}
	}
}

// restart gives a server another life under its name: it knows no keys and no fences.
func (s *backend) restart(at int64) {
	*s = backend{name: s.name, born: at, up: true, listed: true}
}

// owned counts the rows that some server holds now.
func (w *world) owned() int {
	n := 0
	for i := range rowsHere {
		if slices.ContainsFunc(w.servers, func(s *backend) bool { return s.up && s.until[i].After(w.now) }) {
			n++
		}
	}
	return n
}
