package gate

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

var begin = time.Unix(1000, 0)

// machine drives a core with anything that can happen, and keeps its own
// account of every request.
type machine struct {
	core    *Core
	now     time.Time
	n       int
	decided map[*Ticket]int
	running []*Ticket
	waiting map[*Ticket]bool
	drain   map[ident.Server]bool
	bound   map[ident.Server]int
	owners  map[ident.Key]ident.Server
}

const servers = 3

func newMachine(t *rapid.T) *machine {
	m := &machine{
		core: NewCore(Config{Seed: 7, Queue: 6, MaxHeld: 4}), now: begin,
		decided: map[*Ticket]int{}, waiting: map[*Ticket]bool{}, owners: map[ident.Key]ident.Server{},
	}
	m.core.Follow(m.now, m.place)
	m.Servers(t)
	return m
}

// place looks the owner of a key up; the keys k0 and k1 share a slice.
func (m *machine) place(k ident.Key) (Owner, bool) {
	s, ok := m.owners[k]
	return Owner{Server: s, Slice: sliceOf(k)}, ok
}

func sliceOf(k ident.Key) ident.Slice {
	if k == "k0" || k == "k1" {
		return 1
	}
	return 2
}

func name(i int) ident.Server { return ident.Server("s" + strconv.Itoa(i)) }

// Servers replaces the list: other slots, drains, one server more or less.
func (m *machine) Servers(t *rapid.T) {
	m.drain, m.bound = map[ident.Server]bool{}, map[ident.Server]int{}
	var list []ServerInfo
	for i := range rapid.IntRange(1, servers).Draw(t, "servers") {
		info := ServerInfo{
			Name: name(i), Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Conns: 100,
			Drain: rapid.IntRange(0, 5).Draw(t, "drain") == 0,
			Cold:  rapid.IntRange(0, 5).Draw(t, "cold") == 0,
		}
		m.drain[info.Name] = info.Drain
		m.bound[info.Name] = info.Slots + 1
		list = append(list, info)
	}
	m.core.SetServers(m.now, list)
	m.collect(t)
}

func (m *machine) Share(t *rapid.T) {
	n := rapid.IntRange(1, 12).Draw(t, "vms")
	m.core.SetShare(m.now, n, rapid.IntRange(0, n-1).Draw(t, "index"))
	m.collect(t)
}

func (m *machine) Offer(t *rapid.T) {
	m.n++
	j := Job{
		Caller:     ident.Caller(rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "caller")),
		Class:      Class(rapid.IntRange(0, int(Classes)-1).Draw(t, "class")),
		Size:       rapid.SampledFrom([]int64{-1, 10, 1 << 20}).Draw(t, "size"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Deadline:   m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond),
	}
	if rapid.Bool().Draw(t, "keyed") {
		j.Key = "k" + ident.Key(strconv.Itoa(m.n%4))
		j.Slice, j.HotKey = sliceOf(j.Key), j.Key == "k3"
		j.MaxOwnerWait = time.Duration(rapid.IntRange(0, 300).Draw(t, "patience")) * time.Millisecond
		j.Server = name(rapid.IntRange(0, servers-1).Draw(t, "owner")) // the caller's table may be old
	}
	k := &Ticket{Job: j}
	m.take(t, k, m.core.Offer(m.now, k))
}

func (m *machine) take(t *rapid.T, k *Ticket, v Verdict) {
	switch v {
	case Wait:
		m.waiting[k] = true
	case Start:
		m.started(t, k)
	default:
		m.decided[k]++
	}
	m.collect(t)
}

// Misrouted is a server that refuses a key's request because it is not, or not
// yet, its owner; the request waits for the owner.
func (m *machine) Misrouted(t *rapid.T) {
	for i, k := range m.running {
		if k.Job.Key == "" {
			continue
		}
		m.running = append(m.running[:i], m.running[i+1:]...)
		again := &Ticket{Job: k.Job.NextAttempt("")}
		m.core.Done(m.now, k, Outcome{Kind: kinds.Misrouted, Refused: true})
		m.collect(t)
		m.take(t, again, m.core.Await(m.now, again))
		return
	}
	t.Skip("no key's request runs")
}

// Crowd is a hot caller's burst and, in the same moment, others who have had
// less and go before it.
func (m *machine) Crowd(t *rapid.T) {
	for i := range 12 {
		j := Job{Caller: "hot", Deadline: m.now.Add(time.Second)}
		if i > 8 {
			j.Caller = ident.Caller("cool" + strconv.Itoa(i))
		}
		k := &Ticket{Job: j}
		m.take(t, k, m.core.Offer(m.now, k))
	}
}

// started holds the promises about where and when a request may start.
func (m *machine) started(t *rapid.T, k *Ticket) {
	m.decided[k]++
	m.running = append(m.running, k)
	s := k.Server()
	assert.Assert(t, k.Job.Deadline.After(m.now), "started after its deadline")
	if k.Job.Server != "" {
		assert.Equal(t, s, k.Job.Server, "a key's request left its owner")
	} else {
		assert.Assert(t, !m.drain[s], "new work for a draining server")
	}
	srv := m.core.byName[s]
	if srv.kind == sizes.Short {
		assert.Assert(t, srv.running-srv.long <= m.bound[s], "more than slots+1 short ones at once")
	} else {
		assert.Assert(t, srv.running <= m.bound[s], "more than slots+1 at once")
	}
	if k.long == sizes.Long && m.core.mix.Mixed(m.now) {
		assert.Assert(t, k.Job.Server == "" || srv.long <= max(srv.info.Slots/2, 1), "uploads on more than half the slots")
	}
	assert.Assert(t, srv.running <= srv.pool.Max(m.now), "more than the connections")
}

func (m *machine) Done(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	k := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	out := rapid.SampledFrom([]Outcome{
		{}, {}, {Kind: kinds.Unknown}, {Kind: kinds.Busy, Refused: true}, Cancel(),
	}).Draw(t, "outcome")
	m.core.Done(m.now, k, out)
	m.core.Done(m.now, k, out) // a second time must change nothing
	m.collect(t)
}

func (m *machine) Abandon(t *rapid.T) {
	for k := range m.waiting {
		delete(m.waiting, k)
		m.decided[k]++
		m.core.Abandon(m.now, k)
		m.collect(t)
		return
	}
	t.Skip("nobody waits")
}

func (m *machine) Move(t *rapid.T) {
	to := name(rapid.IntRange(0, servers-1).Draw(t, "to"))
	keys := rapid.SampledFrom([][]ident.Key{{"k0", "k1"}, {"k2"}, {"k3"}}).Draw(t, "keys")
	for _, k := range keys {
		m.owners[k] = to
	}
	m.core.Moved(m.now)
	m.collect(t)
	for k := range m.waiting {
		if k.state == waiting && k.Job.Server != "" {
			owner, ok := m.owners[k.Job.Key]
			assert.Assert(t, !ok || k.Job.Server == owner, "queues for a former owner after the news")
		}
	}
}

func (m *machine) Report(t *rapid.T) {
	s := name(rapid.IntRange(0, servers-1).Draw(t, "server"))
	m.core.Report(m.now, s, rapid.IntRange(0, 50).Draw(t, "load"), time.Second/10)
	m.collect(t)
}

func (m *machine) Time(t *rapid.T) {
	until := m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
	m.pass(t, until)
}

func (m *machine) pass(t *rapid.T, until time.Time) {
	for next := m.core.Next(); !next.IsZero() && !next.After(until); next = m.core.Next() {
		if next.After(m.now) {
			m.now = next
		}
		m.core.Tick(m.now)
		m.collect(t)
	}
	m.now = until
}

func (m *machine) collect(t *rapid.T) {
	for _, k := range m.core.Ready() {
		assert.Assert(t, m.waiting[k], "decided without waiting")
		delete(m.waiting, k)
		if k.state == started {
			m.started(t, k)
			continue
		}
		m.decided[k]++
		kind, after := k.Refusal()
		assert.Assert(t, kind.Answer().Ran == kinds.RanNo, "refused as %v", kind)
		assert.Assert(t, after > 0, "no hint when to come back")
	}
}

// Check holds after every step: the account agrees, and no place stays free
// while a request that may take it waits.
func (m *machine) Check(t *rapid.T) {
	st := m.core.Stats(m.now)
	assert.Equal(t, st.Waiting+st.Held, len(m.waiting))
	assert.Assert(t, st.Held <= m.core.cfg.MaxHeld, "more held than the bound")
	for k, n := range m.decided {
		assert.Equal(t, n, 1, "decided twice")
		assert.Assert(t, !m.waiting[k])
	}
	if m.core.any.by[0].q.Len() > 0 {
		assert.Equal(t, m.core.open.Len(), 0, "a free place and a waiting request")
	}
	for _, s := range m.core.servers {
		if s.own != nil && s.own.by[0].q.Len() > 0 {
			assert.Assert(t, !s.roomKeyed(m.now), "a free place at the owner and a waiting request")
		}
	}
}

// Anything can happen to requests: servers come, go and drain, keys move,
// callers leave, answers fail, reports lie. Each request must be decided exactly
// once, by its deadline, and never be sent where it must not go. A caller would
// otherwise wait for ever, or see its request run twice.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check, "servers": m.Servers, "share": m.Share, "offer": m.Offer, "offer2": m.Offer,
			"offer3": m.Offer, "done": m.Done, "done2": m.Done, "abandon": m.Abandon, "crowd": m.Crowd, "move": m.Move,
			"misrouted": m.Misrouted, "misrouted2": m.Misrouted,
			"report": m.Report, "time": m.Time,
		})
		m.pass(t, m.now.Add(time.Second))
		assert.Equal(t, len(m.waiting), 0, "someone still waits past every deadline")
	})
}

// One server, one caller, one class, no overload: nothing that the policies
// weigh differs, so the order must be that of a plain queue.
func TestPlainCaseIsFirstComeFirstServed(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		c := NewCore(Config{Seed: 1})
		c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 1, Conns: 10}})
		now := begin
		var naive, running []*Ticket
		for range 60 {
			now = now.Add(time.Millisecond)
			if rapid.Bool().Draw(t, "offer") && len(naive) < 4 {
				k := &Ticket{Job: Job{Size: 1, Deadline: now.Add(time.Hour)}}
				if c.Offer(now, k) == Start {
					assert.Equal(t, len(naive), 0)
					running = append(running, k)
				} else {
					naive = append(naive, k)
				}
			} else if len(running) > 0 {
				c.Done(now, running[0], Outcome{Latency: 5 * time.Millisecond})
				running = running[1:]
			}
			for _, k := range c.Ready() {
				assert.Equal(t, k, naive[0])
				naive = naive[1:]
				running = append(running, k)
			}
		}
	})
}

// A server is lost with requests waiting for the keys it owned. They must be
// refused as not run at once; their callers would otherwise wait in vain until
// their deadline.
func TestWaitingForAServerThatIsGone(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 1, Conns: 10}, {Name: "b", Slots: 1, Conns: 10}})
	var waiting []*Ticket
	for range 8 {
		k := &Ticket{Job: Job{Key: "k", Server: "a", Deadline: begin.Add(time.Second)}}
		if c.Offer(begin, k) == Wait {
			waiting = append(waiting, k)
		}
	}
	assert.Assert(t, len(waiting) > 0)
	c.SetServers(begin, []ServerInfo{{Name: "b", Slots: 1, Conns: 10}})
	got := c.Ready()
	assert.Equal(t, len(got), len(waiting))
	for _, k := range got {
		kind, after := k.Refusal()
		assert.Equal(t, kind, kinds.NoOwner)
		assert.Assert(t, after > 0)
	}
}

// A backend server turns everything away, and the budget is spent. Retries must
// stop: they would otherwise double the load for as long as the fault lasts.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 4, Conns: 10}})
	const first = 1000
	retries := 0
	for i := range first {
		now := begin.Add(time.Duration(i) * time.Millisecond)
		k := &Ticket{Job: Job{Size: 1, Deadline: now.Add(time.Second)}}
		assert.Equal(t, c.Offer(now, k), Start)
		out := Outcome{Kind: kinds.Busy, Refused: true}
		if c.MayRetry(now, k, out) {
			retries++
		}
		c.Done(now, k, out)
	}
	assert.Assert(t, retries >= first/20 && retries <= first/10+10, "%d retries", retries)
}
