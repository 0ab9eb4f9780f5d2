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
	index     int
	peer      gossip.Peer
	model     *gossip.Model
	watch     bool // it watches the store
	dead      bool // it was replaced by another VM
	bytes     int  // sent and received
	sent      int  // packets
	startedAt time.Time
	contact   gossip.ContactCmd
	newsUntil time.Time // time up to which the VM knows that it would have heard news
	// gap is the longest time without contact; see onContact.
	gap time.Duration

	hadContact bool
	receivedAt map[ident.Revision]time.Time
	loadReadAt map[ident.Server]time.Time
}

// event is something that happens at a simulated time.
type event struct {
	at  time.Time
	seq int // order of events at the same time
	run func()
}

// events is a priority queue, earliest first.
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

// simulation is one run.
type simulation struct {
	Config
	rnd        *rand.Rand
	now        time.Time
	start      time.Time
	queue      events
	seq        int
	nodes      []*node
	byVM       map[ident.VM]*node
	rev        ident.Revision // at the store
	raw        []byte
	changedAt  map[ident.Revision]time.Time
	wholeBytes int
	listSum    uint32 // identifies the platform's list
	listReads  int

	onTick      func(*node)                 // if set, called at each tick of a VM
	onCmd       func(*node, loop.Cmd)       // if set, called with each command of a VM
	alterPacket func(*node, *gossip.Packet) // if set, may change the packets that a VM sends
}

// valueName is the name of the replicated value.
const valueName = "rules"

// Run simulates one configuration. The same configuration gives the same row.
func Run(c Config) Row {
	r := newSimulation(c)
	r.runUntil(r.Length)
	return r.row()
}

func newSimulation(c Config) *simulation {
	c = c.withDefaults()
	start := time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)
	r := &simulation{
		Config: c, rnd: rand.New(rand.NewPCG(c.Seed, uint64(c.VMs))), now: start, start: start,
		byVM: map[ident.VM]*node{}, changedAt: map[ident.Revision]time.Time{}, raw: make([]byte, c.Value), listSum: 1,
	}
	for i := range r.raw {
		r.raw[i] = byte(r.rnd.Uint32())
	}
	for i := range c.VMs {
		r.addNode(i)
	}
	r.updatePeers()
	for i := range c.Changes {
		r.schedule(c.Length*time.Duration(i)/time.Duration(c.Changes)+time.Second, r.changeValue)
	}
	for i := range c.Restarts {
		r.schedule(c.Length*time.Duration(i+1)/time.Duration(c.Restarts+2), r.restart)
	}
	return r
}

// runUntil advances the simulated time until d after the start.
func (r *simulation) runUntil(d time.Duration) {
	for len(r.queue) > 0 && r.queue[0].at.Sub(r.start) <= d {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.run()
	}
}

func (r *simulation) schedule(after time.Duration, f func()) {
	r.seq++
	heap.Push(&r.queue, event{at: r.start.Add(after), seq: r.seq, run: f})
}

func (r *simulation) scheduleAfter(d time.Duration, f func()) { r.schedule(r.now.Sub(r.start)+d, f) }

func (r *simulation) addNode(i int) *node {
	p := gossip.Peer{VM: ident.VM("vm" + strconv.Itoa(i)), Centre: ident.Centre("dc" + strconv.Itoa(i%r.Centres))}
	n := &node{index: i, peer: p, model: gossip.New(r.now, p), startedAt: r.now, receivedAt: map[ident.Revision]time.Time{}, loadReadAt: map[ident.Server]time.Time{}}
	r.nodes = append(r.nodes, n)
	r.byVM[p.VM] = n
	r.scheduleAfter(time.Duration(r.rnd.Int64N(int64(gossip.TickInterval))), func() { r.tick(n) })
	return n
}

func (r *simulation) livePeers() []gossip.Peer {
	var live []gossip.Peer
	for _, n := range r.nodes {
		if !n.dead {
			live = append(live, n.peer)
		}
	}
	return live
}

func (r *simulation) updatePeers() {
	live := r.livePeers()
	for _, n := range r.nodes {
		r.update(n, gossip.PeersMsg{Live: live})
	}
}

// tick advances a VM's model. For a watcher it also simulates the store, which is
// read twice a second.
func (r *simulation) tick(n *node) {
	if n.dead {
		return
	}
	down := r.Outage && r.now.Sub(r.start) > r.Length/2
	if n.watch && !down && r.now.Sub(n.startedAt)/gossip.TickInterval%5 == 0 {
		r.update(n, gossip.StoreMsg{})
		r.readStore(n)
	}
	if r.now.Sub(n.startedAt)/gossip.TickInterval%10 == 0 {
		r.update(n, gossip.ReportMsg{Rows: r.loadRows(n)})
	}
	r.update(n, gossip.TickMsg{})
	if r.onTick != nil {
		r.onTick(n)
	}
	r.scheduleAfter(gossip.TickInterval, func() { r.tick(n) })
}

// loadRows returns the loads of the servers that are assigned to this VM.
func (r *simulation) loadRows(n *node) []gossip.LoadRow {
	var rows []gossip.LoadRow
	for i := n.index % r.VMs; i < r.Servers; i += r.VMs {
		rows = append(rows, gossip.LoadRow{Server: ident.Server("server" + strconv.Itoa(i)), Slots: 4, Busy: r.rnd.IntN(5)})
	}
	return rows
}

func (r *simulation) readStore(n *node) {
	if r.rev > 0 {
		r.update(n, gossip.ValueMsg{Name: valueName, Rev: r.rev, Raw: r.raw})
	}
}

func (r *simulation) changeValue() {
	r.rev++
	r.raw = slices.Clone(r.raw)
	from := r.rnd.IntN(max(1, len(r.raw)-r.Edit))
	for i := range min(r.Edit, len(r.raw)) {
		r.raw[from+i] = byte(r.rnd.Uint32())
	}
	r.changedAt[r.rev] = r.now
}

// restart replaces a VM, half of the time one that watches the store. Its
// successor holds no values and knows the new list; the others learn of the change
// after the list's lag.
func (r *simulation) restart() {
	old := r.nodes[r.rnd.IntN(len(r.nodes))]
	if i := slices.IndexFunc(r.nodes, func(n *node) bool { return n.watch && !n.dead }); i >= 0 && r.rnd.IntN(2) == 0 {
		old = r.nodes[i]
	}
	if old.dead {
		return
	}
	old.dead = true
	r.listSum++
	n := r.addNode(len(r.nodes))
	r.update(n, gossip.PeersMsg{Live: r.livePeers()})
	r.scheduleAfter(r.Lag, r.updatePeers)
}

func (r *simulation) update(n *node, msg loop.Msg) {
	if n.dead {
		return
	}
	_, cmds := n.model.Update(r.now, msg)
	for _, c := range cmds {
		if r.onCmd != nil {
			r.onCmd(n, c)
		}
		switch c := c.(type) {
		case gossip.SendCmd:
			r.send(n, c)
		case gossip.WatchCmd:
			n.watch = c.On
		case gossip.ReadListCmd:
			r.listReads++
			r.scheduleAfter(0, func() { r.update(n, gossip.ListReadMsg{Sum: r.listSum, Asked: r.now}) })
		case gossip.ValueCmd:
			n.receivedAt[c.Head.Rev] = r.now
		case gossip.LoadCmd:
			for _, x := range c.Rows {
				n.loadReadAt[x.Server] = r.now.Add(-x.Age)
			}
		case gossip.ContactCmd:
			n.onContact(r.now, c)
		}
	}
}

func (r *simulation) send(n *node, c gossip.SendCmd) {
	if r.alterPacket != nil {
		r.alterPacket(n, &c.Packet)
	}
	raw, err := c.Packet.Encode()
	if err != nil {
		return
	}
	n.sent++
	size := len(raw) + Overhead
	if v := c.Packet.Value; v != nil && v.Base == 0 {
		r.wholeBytes += size
		size = 0
	}
	n.bytes += size
	to := r.byVM[c.To]
	if to == nil || r.rnd.Float64() < r.Loss {
		return
	}
	r.scheduleAfter(r.Delay+time.Duration(r.rnd.Int64N(int64(r.Delay))), func() {
		p, err := gossip.DecodePacket(raw)
		if err != nil || to.dead {
			return
		}
		to.bytes += size
		r.update(to, gossip.PacketMsg{From: n.peer.VM, Packet: p})
	})
}

func (r *simulation) row() Row {
	row := Row{VMs: r.VMs, Loss: r.Loss, Whole: float64(r.wholeBytes), Reads: float64(r.listReads) / r.Length.Seconds()}
	var times []time.Duration
	var age, ages time.Duration
	for _, n := range r.nodes {
		if n.dead {
			continue
		}
		for _, at := range n.loadReadAt {
			age += r.now.Sub(at)
			ages++
		}
		lived := r.now.Sub(n.startedAt).Seconds()
		row.Messages += float64(n.sent) / lived / float64(r.VMs)
		rate := float64(n.bytes) / lived
		row.Mean += rate / float64(r.VMs)
		row.Max = max(row.Max, rate)
		if n.watch {
			row.Watchers++
		}
		row.Gap = max(row.Gap, n.gap)
		if !n.contact.Store && 2*n.contact.Heard <= n.contact.Live {
			row.Blind++
		}
		if h, _ := n.model.Head(valueName); h.Rev != r.rev {
			row.Missing++
		}
		times = append(times, n.lags(r.changedAt)...)
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

// onContact records how long the VM had no contact with the store or most peers,
// as package revs counts it.
func (n *node) onContact(now time.Time, c gossip.ContactCmd) {
	n.contact = c
	if n.hadContact {
		n.gap = max(n.gap, now.Sub(n.newsUntil))
	}
	if c.Store || 2*c.Heard > c.Live {
		n.newsUntil, n.hadContact = c.At, true
	}
}

// lags returns the time that each revision took to reach a VM, counted from the
// change or from the VM's start, whichever is later. A revision that a VM never
// received, because it got a newer one first, counts with the time of the newer
// one.
func (n *node) lags(changedAt map[ident.Revision]time.Time) []time.Duration {
	var out []time.Duration
	for rev, at := range changedAt {
		if at.Before(n.startedAt) {
			at = n.startedAt
		}
		first, ok := time.Time{}, false
		for got, when := range n.receivedAt {
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
