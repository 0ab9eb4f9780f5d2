package netsim

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/node/gossip"
)

// node is one simulated VM.
type node struct {
	index int
	peer  gossip.Peer
	model *gossip.Model
	watch bool
	dead  bool
	moved int // bytes, sent and received
	sent  int
	born  time.Time
	sight gossip.ContactCmd
	seen  time.Time // the latest moment of which it knows that it would have heard news
	gap   time.Duration

	sighted bool
	got     map[ident.Revision]time.Time
	loads   map[ident.Server]time.Time
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type run struct {
	Config
	rnd   *rand.Rand
	now   time.Time
	start time.Time
	queue events
	seq   int
	all   []*node
	byVM  map[ident.VM]*node
	rev   ident.Revision // at the store
	raw   []byte
	made  map[ident.Revision]time.Time
	whole int
	list  uint32 // names the platform's list
	reads int    // of it

	ticked func(*node)                 // if set, called with each tick of a VM
	told   func(*node, loop.Cmd)       // if set, told of the commands that are no packets
	bend   func(*node, *gossip.Packet) // if set, may change what a VM sends
}

// valueName is the replicated value of the run.
const valueName = "rules"

// Run simulates one configuration. The same configuration gives the same row.
func Run(c Config) Row {
	r := newRun(c)
	r.play(r.Length)
	return r.row()
}

func newRun(c Config) *run {
	c = c.withDefaults()
	start := time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)
	r := &run{
		Config: c, rnd: rand.New(rand.NewPCG(c.Seed, uint64(c.VMs))), now: start, start: start,
		byVM: map[ident.VM]*node{}, made: map[ident.Revision]time.Time{}, raw: make([]byte, c.Value), list: 1,
	}
	for i := range r.raw {
		r.raw[i] = byte(r.rnd.Uint32())
	}
	for i := range c.VMs {
		r.add(i)
	}
	r.tellPeers()
	for i := range c.Changes {
		r.at(c.Length*time.Duration(i)/time.Duration(c.Changes)+time.Second, r.change)
	}
	for i := range c.Restarts {
		r.at(c.Length*time.Duration(i+1)/time.Duration(c.Restarts+2), r.restart)
	}
	return r
}

// play lets time pass until d after the start.
func (r *run) play(d time.Duration) {
	for len(r.queue) > 0 && r.queue[0].at.Sub(r.start) <= d {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.run()
	}
}

func (r *run) at(after time.Duration, f func()) {
	r.seq++
	heap.Push(&r.queue, event{at: r.start.Add(after), seq: r.seq, run: f})
}

func (r *run) after(d time.Duration, f func()) { r.at(r.now.Sub(r.start)+d, f) }

func (r *run) add(i int) *node {
	p := gossip.Peer{VM: ident.VM("vm" + strconv.Itoa(i)), Centre: ident.Centre("dc" + strconv.Itoa(i%r.Centres))}
	n := &node{index: i, peer: p, model: gossip.New(r.now, p), born: r.now, got: map[ident.Revision]time.Time{}, loads: map[ident.Server]time.Time{}}
	r.all = append(r.all, n)
	r.byVM[p.VM] = n
	r.after(time.Duration(r.rnd.Int64N(int64(gossip.TickInterval))), func() { r.tick(n) })
	return n
}

func (r *run) live() []gossip.Peer {
	var live []gossip.Peer
	for _, n := range r.all {
		if !n.dead {
			live = append(live, n.peer)
		}
	}
	return live
}

func (r *run) tellPeers() {
	live := r.live()
	for _, n := range r.all {
		r.tell(n, gossip.PeersMsg{Live: live})
	}
}

// tick also plays the store for a watcher: it reads twice a second.
func (r *run) tick(n *node) {
	if n.dead {
		return
	}
	down := r.Outage && r.now.Sub(r.start) > r.Length/2
	if n.watch && !down && r.now.Sub(n.born)/gossip.TickInterval%5 == 0 {
		r.tell(n, gossip.StoreMsg{})
		r.read(n)
	}
	if r.now.Sub(n.born)/gossip.TickInterval%10 == 0 {
		r.tell(n, gossip.ReportMsg{Rows: r.rows(n)})
	}
	r.tell(n, gossip.TickMsg{})
	if r.ticked != nil {
		r.ticked(n)
	}
	r.after(gossip.TickInterval, func() { r.tick(n) })
}

// rows are the loads of the servers whose seats this VM holds.
func (r *run) rows(n *node) []gossip.LoadRow {
	var rows []gossip.LoadRow
	for i := n.index % r.VMs; i < r.Servers; i += r.VMs {
		rows = append(rows, gossip.LoadRow{Server: ident.Server("server" + strconv.Itoa(i)), Slots: 4, Busy: r.rnd.IntN(5)})
	}
	return rows
}

func (r *run) read(n *node) {
	if r.rev > 0 {
		r.tell(n, gossip.ValueMsg{Name: valueName, Rev: r.rev, Raw: r.raw})
	}
}

func (r *run) change() {
	r.rev++
	r.raw = slices.Clone(r.raw)
	from := r.rnd.IntN(max(1, len(r.raw)-r.Edit))
	for i := range min(r.Edit, len(r.raw)) {
		r.raw[from+i] = byte(r.rnd.Uint32())
	}
	r.made[r.rev] = r.now
}

// restart replaces a VM, half of the time one that watches the store; its successor starts with nothing and knows the list,
// the others learn of both after the list's lag.
func (r *run) restart() {
	old := r.all[r.rnd.IntN(len(r.all))]
	if i := slices.IndexFunc(r.all, func(n *node) bool { return n.watch && !n.dead }); i >= 0 && r.rnd.IntN(2) == 0 {
		old = r.all[i]
	}
	if old.dead {
		return
	}
	old.dead = true
	r.list++
	n := r.add(len(r.all))
	r.tell(n, gossip.PeersMsg{Live: r.live()})
	r.after(r.Lag, r.tellPeers)
}

func (r *run) tell(n *node, msg loop.Msg) {
	if n.dead {
		return
	}
	_, cmds := n.model.Update(r.now, msg)
	for _, c := range cmds {
		if r.told != nil {
			r.told(n, c)
		}
		switch c := c.(type) {
		case gossip.SendCmd:
			r.send(n, c)
		case gossip.WatchCmd:
			n.watch = c.On
		case gossip.ReadListCmd:
			r.reads++
			r.after(0, func() { r.tell(n, gossip.ListReadMsg{Sum: r.list, Asked: r.now}) })
		case gossip.ValueCmd:
			n.got[c.Head.Rev] = r.now
		case gossip.LoadCmd:
			for _, x := range c.Rows {
				n.loads[x.Server] = r.now.Add(-x.Age)
			}
		case gossip.ContactCmd:
			n.look(r.now, c)
		}
	}
}

func (r *run) send(n *node, c gossip.SendCmd) {
	if r.bend != nil {
		r.bend(n, &c.Packet)
	}
	raw, err := c.Packet.Encode()
	if err != nil {
		return
	}
	n.sent++
	size := len(raw) + Overhead
	if g := c.Packet.Value; g != nil && g.Base == 0 {
		r.whole += size
		size = 0
	}
	n.moved += size
	to := r.byVM[c.To]
	if to == nil || r.rnd.Float64() < r.Loss {
		return
	}
	r.after(r.Delay+time.Duration(r.rnd.Int64N(int64(r.Delay))), func() {
		p, err := gossip.DecodePacket(raw)
		if err != nil || to.dead {
			return
		}
		to.moved += size
		r.tell(to, gossip.PacketMsg{From: n.peer.VM, Packet: p})
	})
}

func (r *run) row() Row {
	row := Row{VMs: r.VMs, Loss: r.Loss, Whole: float64(r.whole), Reads: float64(r.reads) / r.Length.Seconds()}
	var times []time.Duration
	var age, ages time.Duration
	for _, n := range r.all {
		if n.dead {
			continue
		}
		for _, at := range n.loads {
			age += r.now.Sub(at)
			ages++
		}
		lived := r.now.Sub(n.born).Seconds()
		row.Messages += float64(n.sent) / lived / float64(r.VMs)
		bytes := float64(n.moved) / lived
		row.Mean += bytes / float64(r.VMs)
		row.Max = max(row.Max, bytes)
		if n.watch {
			row.Watchers++
		}
		row.Gap = max(row.Gap, n.gap)
		if !n.sight.Store && 2*n.sight.Heard <= n.sight.Live {
			row.Blind++
		}
		if h, _ := n.model.Head(valueName); h.Rev != r.rev {
			row.Missing++
		}
		times = append(times, n.lags(r.made)...)
	}
	row.LoadAge = age / max(1, ages)
	slices.Sort(times)
	if len(times) > 0 {
		row.P50 = times[len(times)/2]
		row.P99 = times[len(times)*99/100]
		row.Worst = times[len(times)-1]
	}
	return row
}

// look notes how long the VM went without enough sight, as rules/force counts it.
func (n *node) look(now time.Time, c gossip.ContactCmd) {
	n.sight = c
	if n.sighted {
		n.gap = max(n.gap, now.Sub(n.seen))
	}
	if c.Store || 2*c.Heard > c.Live {
		n.seen, n.sighted = c.At, true
	}
}

// lags returns the time that each revision took to reach a VM, counted from the
// later of its making and the VM's start. A revision that a VM never saw, since
// it got a newer one at once, took as long as that newer one.
func (n *node) lags(made map[ident.Revision]time.Time) []time.Duration {
	var out []time.Duration
	for rev, at := range made {
		if at.Before(n.born) {
			at = n.born
		}
		first, ok := time.Time{}, false
		for got, when := range n.got {
			if got >= rev && (!ok || when.Before(first)) {
				first, ok = when, true
			}
		}
		if ok {
			out = append(out, first.Sub(at))
		}
	}
	return out
}
