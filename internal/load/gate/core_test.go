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

// machine drives a core with random events and keeps its own account of every request.
type machine struct {
	core       *Core
	now        time.Time
	n          int
	decided    map[*Ticket]int
	running    []*Ticket
	waiting    map[*Ticket]bool
	draining   map[ident.Server]bool
	maxRunning map[ident.Server]int
	owners     map[ident.Key]ident.Server
}

const serverCount = 3

func newMachine(t *rapid.T) *machine {
	m := &machine{
		core: NewCore(Config{Seed: 7, Queue: 6, MaxHeld: 4}), now: begin,
		decided: map[*Ticket]int{}, waiting: map[*Ticket]bool{}, owners: map[ident.Key]ident.Server{},
	}
	m.core.SetOwnerLookup(m.now, m.lookupOwner)
	m.Servers(t)
	return m
}

// lookupOwner returns the owner of a key; the keys k0 and k1 share a slice.
func (m *machine) lookupOwner(k ident.Key) (Owner, bool) {
	s, ok := m.owners[k]
	return Owner{Server: s, Slice: sliceOf(k)}, ok
}

func sliceOf(k ident.Key) ident.Slice {
	if k == "k0" || k == "k1" {
		return 1
	}
	return 2
}

func serverName(i int) ident.Server { return ident.Server("s" + strconv.Itoa(i)) }

// Servers replaces the list of servers with random slots, draining and length.
func (m *machine) Servers(t *rapid.T) {
	m.draining, m.maxRunning = map[ident.Server]bool{}, map[ident.Server]int{}
	var list []ServerInfo
	for i := range rapid.IntRange(1, serverCount).Draw(t, "servers") {
		info := ServerInfo{
			Name: serverName(i), Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Conns: 100,
			Drain: rapid.IntRange(0, 5).Draw(t, "drain") == 0,
			Cold:  rapid.IntRange(0, 5).Draw(t, "cold") == 0,
		}
		m.draining[info.Name] = info.Drain
		m.maxRunning[info.Name] = info.Slots + 1
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
		j.Server = serverName(rapid.IntRange(0, serverCount-1).Draw(t, "owner")) // the caller's table may be stale
	}
	tk := &Ticket{Job: j}
	m.record(t, tk, m.core.Offer(m.now, tk))
}

func (m *machine) record(t *rapid.T, tk *Ticket, v Verdict) {
	switch v {
	case Wait:
		m.waiting[tk] = true
	case Start:
		m.started(t, tk)
	default:
		m.decided[tk]++
	}
	m.collect(t)
}

// Misrouted has a server refuse a key's request because it is not, or not yet, the
// key's owner; the request then waits for the owner.
func (m *machine) Misrouted(t *rapid.T) {
	for i, tk := range m.running {
		if tk.Job.Key == "" {
			continue
		}
		m.running = append(m.running[:i], m.running[i+1:]...)
		again := &Ticket{Job: tk.Job.NextAttempt("")}
		m.core.Done(m.now, tk, Outcome{Kind: kinds.Misrouted, Refused: true})
		m.collect(t)
		m.record(t, again, m.core.WaitOwner(m.now, again))
		return
	}
	t.Skip("no request with a key is running")
}

// HotBurst offers a burst of one caller and, at the same time, requests of callers
// without debt, which rank before it.
func (m *machine) HotBurst(t *rapid.T) {
	for i := range 12 {
		j := Job{Caller: "hot", Deadline: m.now.Add(time.Second)}
		if i > 8 {
			j.Caller = ident.Caller("cool" + strconv.Itoa(i))
		}
		tk := &Ticket{Job: j}
		m.record(t, tk, m.core.Offer(m.now, tk))
	}
}

// started checks the rules on where and when a request may start.
func (m *machine) started(t *rapid.T, tk *Ticket) {
	m.decided[tk]++
	m.running = append(m.running, tk)
	s := tk.Server()
	assert.Assert(t, tk.Job.Deadline.After(m.now), "started after its deadline")
	if tk.Job.Server != "" {
		assert.Equal(t, s, tk.Job.Server, "a key's request was sent to another server than its owner")
	} else {
		assert.Assert(t, !m.draining[s], "new request sent to a draining server")
	}
	srv := m.core.byName[s]
	if srv.limitKind == sizes.Short {
		assert.Assert(t, srv.running-srv.runningLong <= m.maxRunning[s], "more than slots+1 short requests running")
	} else {
		assert.Assert(t, srv.running <= m.maxRunning[s], "more than slots+1 requests running")
	}
	if tk.sizeKind == sizes.Long && m.core.classifier.Mixed(m.now) {
		assert.Assert(t, tk.Job.Server == "" || srv.runningLong <= max(srv.info.Slots/2, 1), "long requests on more than half the slots")
	}
	assert.Assert(t, srv.running <= srv.connPool.Max(m.now), "more requests than connections")
}

func (m *machine) Done(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no request is running")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	tk := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	out := rapid.SampledFrom([]Outcome{
		{}, {}, {Kind: kinds.Unknown}, {Kind: kinds.Busy, Refused: true}, Cancel(),
	}).Draw(t, "outcome")
	m.core.Done(m.now, tk, out)
	m.core.Done(m.now, tk, out) // the second call must change nothing
	m.collect(t)
}

// Stalled finds that a running request will not be answered. It is ended later by Done, with
// or without its slot.
func (m *machine) Stalled(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no request is running")
	}
	tk := rapid.SampledFrom(m.running).Draw(t, "which")
	if m.core.Stalled(m.now, tk, rapid.Bool().Draw(t, "may repeat")) {
		assert.Assert(t, tk.Job.Idempotent, "a request that may run once would be sent again")
	}
	assert.Assert(t, !m.core.Stalled(m.now, tk, true), "the second call must change nothing")
	m.collect(t)
}

func (m *machine) Abandon(t *rapid.T) {
	for tk := range m.waiting {
		delete(m.waiting, tk)
		m.decided[tk]++
		m.core.Abandon(m.now, tk)
		m.collect(t)
		return
	}
	t.Skip("no request is waiting")
}

func (m *machine) Move(t *rapid.T) {
	to := serverName(rapid.IntRange(0, serverCount-1).Draw(t, "to"))
	keys := rapid.SampledFrom([][]ident.Key{{"k0", "k1"}, {"k2"}, {"k3"}}).Draw(t, "keys")
	for _, k := range keys {
		m.owners[k] = to
	}
	m.core.OwnersChanged(m.now)
	m.collect(t)
	for k := range m.waiting {
		if k.state == stateQueued && k.Job.Server != "" {
			owner, ok := m.owners[k.Job.Key]
			assert.Assert(t, !ok || k.Job.Server == owner, "still queued for a former owner")
		}
	}
}

func (m *machine) Report(t *rapid.T) {
	s := serverName(rapid.IntRange(0, serverCount-1).Draw(t, "server"))
	m.core.Report(m.now, s, rapid.IntRange(0, 50).Draw(t, "load"), time.Second/10)
	m.collect(t)
}

func (m *machine) Time(t *rapid.T) {
	until := m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
	m.advance(t, until)
}

func (m *machine) advance(t *rapid.T, until time.Time) {
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
	for _, tk := range m.core.TakeDecided() {
		assert.Assert(t, m.waiting[tk], "decided without waiting")
		delete(m.waiting, tk)
		if tk.state == stateStarted {
			m.started(t, tk)
			continue
		}
		m.decided[tk]++
		kind, after := tk.Refusal()
		assert.Assert(t, kind.Answer().Ran == kinds.RanNo, "refused as %v", kind)
		assert.Assert(t, after > 0, "refused without a retry time")
	}
}

// Check runs after every step: the counts agree, and no slot is free while a request
// that may take it waits.
func (m *machine) Check(t *rapid.T) {
	st := m.core.Stats(m.now)
	assert.Equal(t, st.Waiting+st.Held, len(m.waiting))
	assert.Assert(t, st.Held <= m.core.cfg.MaxHeld, "more held than the bound")
	withoutSlot := 0
	for _, tk := range m.running {
		if tk.givenUp {
			withoutSlot++
		}
	}
	assert.Equal(t, st.Running+withoutSlot, len(m.running))
	for tk, n := range m.decided {
		assert.Equal(t, n, 1, "decided twice")
		assert.Assert(t, !m.waiting[tk])
	}
	if m.core.shared.bySize[0].q.Len() > 0 {
		assert.Equal(t, m.core.available.Len(), 0, "a free slot while a request is queued")
	}
	for _, s := range m.core.servers {
		if s.ownLanes != nil && s.ownLanes.bySize[0].q.Len() > 0 {
			assert.Assert(t, !s.hasRoomKeyed(m.now), "a free slot at the owner and a waiting request")
		}
	}
}

// Guards against requests that are decided never, twice or late, or sent to a wrong
// server, so that a caller waits for ever or its request runs twice. Servers come, go
// and drain, keys move, callers leave, answers fail, reports are wrong.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check, "servers": m.Servers, "share": m.Share, "offer": m.Offer, "offer2": m.Offer,
			"offer3": m.Offer, "done": m.Done, "done2": m.Done, "abandon": m.Abandon, "crowd": m.HotBurst, "move": m.Move,
			"misrouted": m.Misrouted, "misrouted2": m.Misrouted,
			"report": m.Report, "time": m.Time, "stalled": m.Stalled,
		})
		m.advance(t, m.now.Add(time.Second))
		assert.Equal(t, len(m.waiting), 0, "a request still waits after all deadlines")
	})
}

// Guards against reordering where no policy applies: with one server, one caller, one
// class and no overload, the order must be that of a plain queue.
func TestPlainCaseIsFirstComeFirstServed(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		c := NewCore(Config{Seed: 1})
		c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 1, Conns: 10}})
		now := begin
		var naive, running []*Ticket
		for range 60 {
			now = now.Add(time.Millisecond)
			if rapid.Bool().Draw(t, "offer") && len(naive) < 4 {
				tk := &Ticket{Job: Job{Size: 1, Deadline: now.Add(time.Hour)}}
				if c.Offer(now, tk) == Start {
					assert.Equal(t, len(naive), 0)
					running = append(running, tk)
				} else {
					naive = append(naive, tk)
				}
			} else if len(running) > 0 {
				c.Done(now, running[0], Outcome{Latency: 5 * time.Millisecond})
				running = running[1:]
			}
			for _, tk := range c.TakeDecided() {
				assert.Equal(t, tk, naive[0])
				naive = naive[1:]
				running = append(running, tk)
			}
		}
	})
}

// Guards against callers who wait until their deadline for a server that was removed.
// Requests queued for it must be refused as not run at once.
func TestRemovedServerRefusesItsQueue(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 1, Conns: 10}, {Name: "b", Slots: 1, Conns: 10}})
	var waiting []*Ticket
	for range 8 {
		tk := &Ticket{Job: Job{Key: "k", Server: "a", Deadline: begin.Add(time.Second)}}
		if c.Offer(begin, tk) == Wait {
			waiting = append(waiting, tk)
		}
	}
	assert.Assert(t, len(waiting) > 0)
	c.SetServers(begin, []ServerInfo{{Name: "b", Slots: 1, Conns: 10}})
	got := c.TakeDecided()
	assert.Equal(t, len(got), len(waiting))
	for _, tk := range got {
		kind, after := tk.Refusal()
		assert.Equal(t, kind, kinds.NoOwner)
		assert.Assert(t, after > 0)
	}
}

// Guards against retries without bound. While a server refuses everything they would
// otherwise double the load.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	c := NewCore(Config{Seed: 1})
	c.SetServers(begin, []ServerInfo{{Name: "a", Slots: 4, Conns: 10}})
	const first = 1000
	retries := 0
	for i := range first {
		now := begin.Add(time.Duration(i) * time.Millisecond)
		tk := &Ticket{Job: Job{Size: 1, Deadline: now.Add(time.Second)}}
		assert.Equal(t, c.Offer(now, tk), Start)
		out := Outcome{Kind: kinds.Busy, Refused: true}
		if c.MayRetry(now, tk, out) {
			retries++
		}
		c.Done(now, tk, out)
	}
	assert.Assert(t, retries >= first/20 && retries <= first/10+10, "%d retries", retries)
}
