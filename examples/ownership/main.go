// Command ownership embeds the ownership of keys without the rest of the router: one
// lessor for each of two backend servers. The store and the servers are simulated in
// this process. The lessors acquire their authorities and grant leases to the servers,
// then one slice moves from the first server to the second. The second server gets the
// slice only after the first has given it up.
package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield"
)

const (
	sliceCount = 8
	movedSlice = hawthornfield.Slice(3)
)

func main() {
	e, err := newEnvironment("scale-a", "scale-b")
	if err != nil {
		fmt.Println(err)
		return
	}
	for name := range e.servers {
		e.loops[name] = hawthornfield.NewLoop(hawthornfield.NewLessor(hawthornfield.LessorConfig{
			Self: "vm-1", Service: "scales", Server: name, FenceChecks: true,
		}), &runner{environment: e, server: name})
	}
	for _, loop := range e.loops {
		defer loop.Close()
		loop.Send(hawthornfield.RoleMsg{Preferred: true})
	}
	e.waitServed("scale-a", movedSlice)
	fmt.Println("slice", movedSlice, "is served by scale-a")
	e.loops["scale-a"].Send(hawthornfield.MoveMsg{Moves: []hawthornfield.Move{{Slice: movedSlice, To: "scale-b"}}})
	report := e.waitMoved()
	fmt.Println("moved under epoch", report.Epoch, "at revision", report.Rev)
	e.waitServed("scale-b", movedSlice)
	fmt.Println("slice", movedSlice, "is served by scale-b")
}

// environment simulates the store and the backend servers. An embedder connects real
// ones, which give the same answers.
type environment struct {
	mu         sync.Mutex
	table      hawthornfield.Table
	version    hawthornfield.Version
	servers    map[hawthornfield.Server]*backend
	loops      map[hawthornfield.Server]*hawthornfield.Loop
	moveReport *hawthornfield.MovedCmd
	changed    *sync.Cond
}

// backend is a backend server that checks fences and measures its lease on its own
// clock.
type backend struct {
	start    time.Time
	fence    hawthornfield.Fence
	rev      hawthornfield.Revision
	leaseEnd time.Time
	owned    map[hawthornfield.Slice]bool
}

func newEnvironment(names ...hawthornfield.Server) (*environment, error) {
	t, err := hawthornfield.NewTable("scales", sliceCount, names...)
	if err != nil {
		return nil, err
	}
	e := &environment{
		table: t, version: 1,
		servers: map[hawthornfield.Server]*backend{},
		loops:   map[hawthornfield.Server]*hawthornfield.Loop{},
	}
	e.changed = sync.NewCond(&e.mu)
	for _, name := range names {
		e.servers[name] = &backend{start: time.Now()}
	}
	all := make([]hawthornfield.Move, 0, sliceCount)
	for x := range hawthornfield.Slice(sliceCount) {
		all = append(all, hawthornfield.Move{Slice: x, To: names[0]})
	}
	e.table, err = t.WithAssigned(all...)
	return e, err
}

func (e *environment) waitServed(name hawthornfield.Server, x hawthornfield.Slice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for !e.servers[name].owned[x] || !time.Now().Before(e.servers[name].leaseEnd) {
		e.changed.Wait()
	}
}

// waitMoved waits for the report of the move. The lessors' loops run concurrently, so
// the next owner may be granted the slice before or after the report arrives.
func (e *environment) waitMoved() hawthornfield.MovedCmd {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.moveReport == nil {
		e.changed.Wait()
	}
	return *e.moveReport
}

// runner executes the commands of one lessor.
type runner struct {
	*environment
	server hawthornfield.Server
	record hawthornfield.RecordMsg
}

// Run executes cmd and sends the answer.
func (r *runner) Run(_ context.Context, cmd hawthornfield.Cmd, send func(hawthornfield.Msg)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.changed.Broadcast()
	switch c := cmd.(type) {
	case hawthornfield.ReadRecordCmd:
		answer := r.record
		answer.Cmd = c
		send(answer)
	case hawthornfield.PutRecordCmd:
		send(r.putRecord(c))
	case hawthornfield.ReadTableCmd:
		send(hawthornfield.TableMsg{Table: r.table, Version: r.version})
	case hawthornfield.PutTableCmd:
		send(r.putTable(c))
	case hawthornfield.OrderCmd:
		send(hawthornfield.ReplyMsg{Order: c, Reply: r.servers[r.server].handleOrder(c)})
	case hawthornfield.ReadServerCmd:
		send(hawthornfield.ReplyMsg{Read: c, Reply: r.servers[r.server].reply()})
	case hawthornfield.MovedCmd:
		r.moveReport = &c
	}
}

func (r *runner) putRecord(c hawthornfield.PutRecordCmd) hawthornfield.RecordPutMsg {
	if c.Old != r.record.Version {
		return hawthornfield.RecordPutMsg{Cmd: c, Kind: hawthornfield.KindOf(hawthornfield.ErrConflict)}
	}
	r.record = hawthornfield.RecordMsg{Record: c.Record, Version: r.record.Version + 1}
	return hawthornfield.RecordPutMsg{Cmd: c, Version: r.record.Version}
}

func (e *environment) putTable(c hawthornfield.PutTableCmd) hawthornfield.TablePutMsg {
	if c.Old != e.version || !c.Valid(time.Now()) {
		return hawthornfield.TablePutMsg{Cmd: c, Kind: hawthornfield.KindOf(hawthornfield.ErrConflict)}
	}
	e.version++
	e.table = c.Table
	for _, loop := range e.loops {
		loop.Send(hawthornfield.TableMsg{Table: e.table, Version: e.version})
	}
	return hawthornfield.TablePutMsg{Cmd: c, Version: e.version}
}

func (b *backend) handleOrder(c hawthornfield.OrderCmd) hawthornfield.Reply {
	if c.Order.Fence.Less(b.fence) {
		reply := b.reply()
		reply.Reason = "fence"
		return reply
	}
	b.fence = c.Order.Fence
	b.apply(c)
	reply := b.reply()
	reply.Done = true
	return reply
}

func (b *backend) reply() hawthornfield.Reply {
	return hawthornfield.Reply{
		Fence: b.fence, Rev: b.rev, Left: time.Until(b.leaseEnd),
		Mark: hawthornfield.Mark{Boot: 1, At: time.Since(b.start)},
	}
}

func (b *backend) apply(c hawthornfield.OrderCmd) {
	if c.Order.Full {
		b.rev = c.Order.Rev
		b.owned = map[hawthornfield.Slice]bool{}
		for _, x := range c.Order.Slices {
			b.owned[x] = true
		}
	}
	if !c.Revoke {
		b.leaseEnd = b.start.Add(c.Order.Mark.At + c.Order.TTL)
	}
}
