package lessor_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// platform answers one seat's commands at once, under the runtime's clock.
type platform struct {
	mu    sync.Mutex // the loop runs commands while the test looks
	down  bool
	rec   lessor.Record
	ver   object.Version
	table table.Table
	rev   object.Version
	boot  time.Time
	ends  time.Time     // of the server's lease
	gap   time.Duration // longest stretch without a lease; negative: none
	grant int
	cut   int // revocations obeyed
	held  ident.Revision
}

func (p *platform) Run(_ context.Context, cmd loop.Cmd, send func(loop.Msg)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind := kinds.None
	if p.down {
		kind = kinds.Unavailable
	}
	switch c := cmd.(type) {
	case lessor.ReadRecordCmd:
		send(lessor.RecordMsg{Cmd: c, Record: p.rec, Version: p.ver, Kind: kind})
	case lessor.PutRecordCmd:
		if !p.down {
			p.rec, p.ver = c.Record, p.ver+1
		}
		send(lessor.RecordPutMsg{Cmd: c, Version: p.ver, Kind: kind})
	case lessor.ReadTableCmd:
		send(lessor.TableMsg{Table: p.table, Version: p.rev, Kind: kind})
	case lessor.PutTableCmd:
		if !p.down {
			p.table, p.rev = c.Table, p.rev+1
		}
		send(lessor.TablePutMsg{Cmd: c, Version: p.rev, Kind: kind})
	case lessor.ReadServerCmd:
		send(lessor.ReplyMsg{Read: c, Reply: p.reply(true, "")})
	case lessor.OrderCmd:
		send(lessor.ReplyMsg{Order: c, Reply: p.obey(c)})
	}
}

func (p *platform) obey(c lessor.OrderCmd) server.Reply {
	now := time.Now()
	if !c.Order.Full && !now.Before(p.ends) {
		return p.reply(false, server.ReasonRev)
	}
	if late := now.Sub(p.ends); !p.ends.IsZero() {
		p.gap = max(p.gap, late)
	}
	if c.Order.Full {
		p.held = c.Order.Rev
	}
	if c.Revoke {
		p.cut++
		return p.reply(true, "")
	}
	if c.Order.Full {
		p.grant++
	}
	p.ends = p.boot.Add(c.Order.Mark.At + c.Order.TTL)
	return p.reply(true, "")
}

func (p *platform) reply(done bool, why string) server.Reply {
	return server.Reply{
		Done: done, Reason: why, Rev: p.held, Left: time.Until(p.ends),
		Mark: server.Mark{Boot: 1, At: time.Since(p.boot)},
	}
}

// outage begins or ends the store's outage, and says what the server has seen.
func (p *platform) outage(down bool) (grants int, ends time.Time, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	return p.grant, p.ends, p.gap
}

// The store goes away for ten minutes. The real loop, with its real timers,
// keeps the server's lease without a gap, and needs no new grant for it.
func TestLoopKeepsALeaseThroughAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab, err := table.New("lookup", 4, "s0")
		assert.NilError(t, err)
		tab, err = tab.WithAssigned(table.Move{Slice: 0, To: "s0"})
		assert.NilError(t, err)
		p := &platform{table: tab, rev: 1, boot: time.Now(), gap: -time.Hour}
		l := loop.New(lessor.New(lessor.Config{Self: "vm0", Service: "lookup", Server: "s0"}), p)
		defer l.Close()
		l.Send(lessor.RoleMsg{Lead: true})
		time.Sleep(time.Second)
		epoch, ok := l.Model().(lessor.Lessor).Holds(time.Now())
		assert.Assert(t, ok && epoch == 1)
		granted, _, _ := p.outage(true)
		time.Sleep(10 * time.Minute)
		again, ends, gap := p.outage(false)
		assert.Assert(t, time.Now().Before(ends))
		assert.Assert(t, gap < 0, "the lease lapsed for %v", gap)
		assert.Equal(t, again, granted)
		time.Sleep(time.Minute)
		_, ok = l.Model().(lessor.Lessor).Holds(time.Now())
		assert.Assert(t, ok)
	})
}

// The planner asks for a move just after the store went away. If the holder took
// the slice from its server first and then found that it cannot write the move
// down, nobody would serve the slice until the store is back, and a driver would
// wait at the scale for an outage that need not have touched anybody.
func TestAPlannedMoveWaitsForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab, err := table.New("lookup", 4, "s0", "s1")
		assert.NilError(t, err)
		tab, err = tab.WithAssigned(table.Move{Slice: 0, To: "s0"})
		assert.NilError(t, err)
		p := &platform{table: tab, rev: 1, boot: time.Now(), gap: -time.Hour}
		l := loop.New(lessor.New(lessor.Config{Self: "vm0", Service: "lookup", Server: "s0", FenceChecks: true}), p)
		defer l.Close()
		l.Send(lessor.RoleMsg{Lead: true})
		time.Sleep(2 * time.Second)
		p.outage(true)
		l.Send(lessor.MoveMsg{Moves: []table.Move{{Slice: 0, To: "s1"}}})
		time.Sleep(10 * time.Minute)
		_, ends, _ := p.outage(false)
		assert.Assert(t, time.Now().Before(ends), "the lease lapsed")
		assert.Equal(t, p.revoked(), 0, "the slice was taken away although the move cannot be written")
		time.Sleep(5 * time.Second)
		assert.Equal(t, p.revoked(), 1)
		assert.Equal(t, p.owner(0), ident.Server("s1"), "the move was forgotten")
	})
}

func (p *platform) revoked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *platform) owner(x ident.Slice) ident.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.OwnerOf(x)
}
