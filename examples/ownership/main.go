// Command ownership embeds ownership alone: two seats over two backend servers,
// a store and servers that live in this process. It takes both seats, watches
// the servers get their leases, and moves one slice from the first server to
// the second. The second gets it only after the first has let go.
package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield"
)

const (
	slices = 8
	moved  = hawthornfield.Slice(3)
)

func main() {
	w, err := newWorld("scale-a", "scale-b")
	if err != nil {
		fmt.Println(err)
		return
	}
	for name := range w.servers {
		w.seats[name] = hawthornfield.NewLoop(hawthornfield.NewLessor(hawthornfield.LessorConfig{
			Self: "vm-1", Service: "scales", Server: name, FenceChecks: true,
		}), &runner{world: w, server: name})
	}
	for _, seat := range w.seats {
		defer seat.Close()
		seat.Send(hawthornfield.RoleMsg{Preferred: true})
	}
	w.waitFor("scale-a", moved)
	fmt.Println("slice", moved, "is served by scale-a")
	w.seats["scale-a"].Send(hawthornfield.MoveMsg{Moves: []hawthornfield.Move{{Slice: moved, To: "scale-b"}}})
	report := w.waitMoved()
	fmt.Println("moved under epoch", report.Epoch, "at revision", report.Rev)
	w.waitFor("scale-b", moved)
	fmt.Println("slice", moved, "is served by scale-b")
}

// world is everything around the seats. An embedder has a real store and real
// servers behind the same few answers.
type world struct {
	mu      sync.Mutex
	table   hawthornfield.Table
	version hawthornfield.Version
	servers map[hawthornfield.Server]*backend
	seats   map[hawthornfield.Server]*hawthornfield.Loop
	report  *hawthornfield.MovedCmd
	changed *sync.Cond
}

// backend is a server that checks fences and keeps its lease on its own clock.
type backend struct {
	start time.Time
	fence hawthornfield.Fence
	rev   hawthornfield.Revision
	until time.Time
	set   map[hawthornfield.Slice]bool
}

func newWorld(names ...hawthornfield.Server) (*world, error) {
	t, err := hawthornfield.NewTable("scales", slices, names...)
	if err != nil {
		return nil, err
	}
	w := &world{
		table: t, version: 1,
		servers: map[hawthornfield.Server]*backend{},
		seats:   map[hawthornfield.Server]*hawthornfield.Loop{},
	}
	w.changed = sync.NewCond(&w.mu)
	for _, name := range names {
		w.servers[name] = &backend{start: time.Now()}
	}
	all := make([]hawthornfield.Move, 0, slices)
	for x := range hawthornfield.Slice(slices) {
		all = append(all, hawthornfield.Move{Slice: x, To: names[0]})
	}
	w.table, err = t.WithAssigned(all...)
	return w, err
}

func (w *world) waitFor(name hawthornfield.Server, x hawthornfield.Slice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.servers[name].set[x] || !time.Now().Before(w.servers[name].until) {
		w.changed.Wait()
	}
}

// waitMoved waits for the report of the move. Each seat's loop works on its own,
// so the next owner may be granted the slice before or after the report comes.
func (w *world) waitMoved() hawthornfield.MovedCmd {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.report == nil {
		w.changed.Wait()
	}
	return *w.report
}

// runner carries out the commands of one seat.
type runner struct {
	*world
	server hawthornfield.Server
	record hawthornfield.RecordMsg
}

// Run does what cmd says and sends the answer.
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
		send(hawthornfield.ReplyMsg{Order: c, Reply: r.servers[r.server].obey(c)})
	case hawthornfield.ReadServerCmd:
		send(hawthornfield.ReplyMsg{Read: c, Reply: r.servers[r.server].reply()})
	case hawthornfield.MovedCmd:
		r.report = &c
	}
}

func (r *runner) putRecord(c hawthornfield.PutRecordCmd) hawthornfield.RecordPutMsg {
	if c.Old != r.record.Version {
		return hawthornfield.RecordPutMsg{Cmd: c, Kind: hawthornfield.KindOf(hawthornfield.ErrConflict)}
	}
	r.record = hawthornfield.RecordMsg{Record: c.Record, Version: r.record.Version + 1}
	return hawthornfield.RecordPutMsg{Cmd: c, Version: r.record.Version}
}

func (w *world) putTable(c hawthornfield.PutTableCmd) hawthornfield.TablePutMsg {
	if c.Old != w.version || !c.Valid(time.Now()) {
		return hawthornfield.TablePutMsg{Cmd: c, Kind: hawthornfield.KindOf(hawthornfield.ErrConflict)}
	}
	w.version++
	w.table = c.Table
	for _, seat := range w.seats {
		seat.Send(hawthornfield.TableMsg{Table: w.table, Version: w.version})
	}
	return hawthornfield.TablePutMsg{Cmd: c, Version: w.version}
}

func (b *backend) obey(c hawthornfield.OrderCmd) hawthornfield.Reply {
	if c.Order.Fence.Less(b.fence) {
		r := b.reply()
		r.Reason = "fence"
		return r
	}
	b.fence = c.Order.Fence
	b.apply(c)
	r := b.reply()
	r.Done = true
	return r
}

func (b *backend) reply() hawthornfield.Reply {
	return hawthornfield.Reply{
		Fence: b.fence, Rev: b.rev, Left: time.Until(b.until),
		Mark: hawthornfield.Mark{Boot: 1, At: time.Since(b.start)},
	}
}

func (b *backend) apply(c hawthornfield.OrderCmd) {
	if c.Order.Full {
		b.rev = c.Order.Rev
		b.set = map[hawthornfield.Slice]bool{}
		for _, x := range c.Order.Slices {
			b.set[x] = true
		}
	}
	if !c.Revoke {
		b.until = b.start.Add(c.Order.Mark.At + c.Order.TTL)
	}
}
