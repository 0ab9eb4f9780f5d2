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
	s := newSimulation(c)
	s.runUntil(s.Length)
	return s.row()
}

func newSimulation(c Config) *simulation {
	c = c.withDefaults()
	start := time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)
	s := &simulation{
		Config: c, rnd: rand.New(rand.NewPCG(c.Seed, uint64(c.VMs))), now: start, start: start,
		byVM: map[ident.VM]*node{}, changedAt: map[ident.Revision]time.Time{}, raw: make([]byte, c.Value), listSum: 1,
	}
	for i := range s.raw {
		s.raw[i] = byte(s.rnd.Uint32())
	}
	for i := range c.VMs {
		s.addNode(i)
	}
	s.updatePeers()
	for i := range c.Changes {
		s.schedule(c.Length*time.Duration(i)/time.Duration(c.Changes)+time.Second, s.changeValue)
	}
	for i := range c.Restarts {
		s.schedule(c.Length*time.Duration(i+1)/time.Duration(c.Restarts+2), s.restart)
	}
	return s
}

// runUntil advances the simulated time until d after the start.
func (s *simulation) runUntil(d time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at.Sub(s.start) <= d {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) schedule(after time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.start.Add(after), seq: s.seq, run: f})
}

func (s *simulation) scheduleAfter(d time.Duration, f func()) { s.schedule(s.now.Sub(s.start)+d, f) }

func (s *simulation) addNode(i int) *node {
	p := gossip.Peer{VM: ident.VM("vm" + strconv.Itoa(i)), Centre: ident.Centre("dc" + strconv.Itoa(i%s.Centres))}
	n := &node{index: i, peer: p, model: gossip.New(s.now, p), startedAt: s.now, receivedAt: map[ident.Revision]time.Time{}, loadReadAt: map[ident.Server]time.Time{}}
	s.nodes = append(s.nodes, n)
	s.byVM[p.VM] = n
	s.scheduleAfter(time.Duration(s.rnd.Int64N(int64(gossip.TickInterval))), func() { s.tick(n) })
	return n
}

func (s *simulation) livePeers() []gossip.Peer {
	var live []gossip.Peer
	for _, n := range s.nodes {
		if !n.dead {
			live = append(live, n.peer)
		}
	}
	return live
}

func (s *simulation) updatePeers() {
	live := s.livePeers()
	for _, n := range s.nodes {
		s.update(n, gossip.PeersMsg{Live: live})
	}
}

// tick advances a VM's model. For a watcher it also simulates the store, which is
// read twice a second.
func (s *simulation) tick(n *node) {
	if n.dead {
		return
	}
	down := s.Outage && s.now.Sub(s.start) > s.Length/2
	if n.watch && !down && s.now.Sub(n.startedAt)/gossip.TickInterval%5 == 0 {
		s.update(n, gossip.StoreMsg{})
		s.readStore(n)
	}
	if s.now.Sub(n.startedAt)/gossip.TickInterval%10 == 0 {
		s.update(n, gossip.ReportMsg{Rows: s.loadRows(n)})
	}
	s.update(n, gossip.TickMsg{})
	if s.onTick != nil {
		s.onTick(n)
	}
	s.scheduleAfter(gossip.TickInterval, func() { s.tick(n) })
}

// loadRows returns the loads of the servers that are assigned to this VM.
func (s *simulation) loadRows(n *node) []gossip.LoadRow {
	var rows []gossip.LoadRow
	for i := n.index % s.VMs; i < s.Servers; i += s.VMs {
		rows = append(rows, gossip.LoadRow{Server: ident.Server("server" + strconv.Itoa(i)), Slots: 4, Busy: s.rnd.IntN(5)})
	}
	return rows
}

func (s *simulation) readStore(n *node) {
	if s.rev > 0 {
		s.update(n, gossip.ValueMsg{Name: valueName, Rev: s.rev, Raw: s.raw})
	}
}

func (s *simulation) changeValue() {
	s.rev++
	s.raw = slices.Clone(s.raw)
	from := s.rnd.IntN(max(1, len(s.raw)-s.Edit))
	for i := range min(s.Edit, len(s.raw)) {
		s.raw[from+i] = byte(s.rnd.Uint32())
	}
	s.changedAt[s.rev] = s.now
}

// restart replaces a VM, half of the time one that watches the store. Its
// successor holds no values and knows the new list; the others learn of the change
// after the list's lag.
func (s *simulation) restart() {
	old := s.nodes[s.rnd.IntN(len(s.nodes))]
	if i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.watch && !n.dead }); i >= 0 && s.rnd.IntN(2) == 0 {
		old = s.nodes[i]
	}
	if old.dead {
		return
	}
	old.dead = true
	s.listSum++
	n := s.addNode(len(s.nodes))
	s.update(n, gossip.PeersMsg{Live: s.livePeers()})
	s.scheduleAfter(s.Lag, s.updatePeers)
}

func (s *simulation) update(n *node, msg loop.Msg) {
	if n.dead {
		return
	}
	_, cmds := n.model.Update(s.now, msg)
	for _, c := range cmds {
		if s.onCmd != nil {
			s.onCmd(n, c)
		}
		switch c := c.(type) {
		case gossip.SendCmd:
			s.send(n, c)
		case gossip.WatchCmd:
			n.watch = c.On
		case gossip.ReadListCmd:
			s.listReads++
			s.scheduleAfter(0, func() { s.update(n, gossip.ListReadMsg{Sum: s.listSum, Asked: s.now}) })
		case gossip.ValueCmd:
			n.receivedAt[c.Head.Rev] = s.now
		case gossip.LoadCmd:
			for _, x := range c.Rows {
				n.loadReadAt[x.Server] = s.now.Add(-x.Age)
			}
		case gossip.ContactCmd:
			n.onContact(s.now, c)
		}
	}
}

func (s *simulation) send(n *node, c gossip.SendCmd) {
	if s.alterPacket != nil {
		s.alterPacket(n, &c.Packet)
	}
	raw, err := c.Packet.Encode()
	if err != nil {
		return
	}
	n.sent++
	size := len(raw) + Overhead
	if v := c.Packet.Value; v != nil && v.Base == 0 {
		s.wholeBytes += size
		size = 0
	}
	n.bytes += size
	to := s.byVM[c.To]
	if to == nil || s.rnd.Float64() < s.Loss {
		return
	}
	s.scheduleAfter(s.Delay+time.Duration(s.rnd.Int64N(int64(s.Delay))), func() {
		p, err := gossip.DecodePacket(raw)
		if err != nil || to.dead {
			return
		}
		to.bytes += size
		s.update(to, gossip.PacketMsg{From: n.peer.VM, Packet: p})
	})
}

func (s *simulation) row() Row {
	row := Row{VMs: s.VMs, Loss: s.Loss, Whole: float64(s.wholeBytes), Reads: float64(s.listReads) / s.Length.Seconds()}
	var times []time.Duration
	var age, ages time.Duration
	for _, n := range s.nodes {
		if n.dead {
			continue
		}
		for _, at := range n.loadReadAt {
			age += s.now.Sub(at)
			ages++
		}
		lived := s.now.Sub(n.startedAt).Seconds()
		row.Messages += float64(n.sent) / lived / float64(s.VMs)
		rate := float64(n.bytes) / lived
		row.Mean += rate / float64(s.VMs)
		row.Max = max(row.Max, rate)
		if n.watch {
			row.Watchers++
		}
		row.Gap = max(row.Gap, n.gap)
		if !n.contact.Store && 2*n.contact.Heard <= n.contact.Live {
			row.Blind++
		}
		if h, _ := n.model.Head(valueName); h.Rev != s.rev {
			row.Missing++
		}
		times = append(times, n.lags(s.changedAt)...)
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
