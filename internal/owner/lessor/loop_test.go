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

// platform is a fake platform: a store and one backend server that answer a
// lessor's commands at once, under the runtime's clock.
type platform struct {
	mu          sync.Mutex // the loop runs commands while the test reads
	down        bool
	record      lessor.Record
	recordVer   object.Version
	table       table.Table
	tableVer    object.Version
	boot        time.Time
	leaseEnd    time.Time     // end of the server's lease
	gap         time.Duration // longest time without a lease; negative: none
	grants      int
	revocations int // revocations obeyed
	heldRev     ident.Revision
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
		send(lessor.RecordMsg{Cmd: c, Record: p.record, Version: p.recordVer, Kind: kind})
	case lessor.PutRecordCmd:
		if !p.down {
			p.record, p.recordVer = c.Record, p.recordVer+1
		}
		send(lessor.RecordPutMsg{Cmd: c, Version: p.recordVer, Kind: kind})
	case lessor.ReadTableCmd:
		send(lessor.TableMsg{Table: p.table, Version: p.tableVer, Kind: kind})
	case lessor.PutTableCmd:
		if !p.down {
			p.table, p.tableVer = c.Table, p.tableVer+1
		}
		send(lessor.TablePutMsg{Cmd: c, Version: p.tableVer, Kind: kind})
	case lessor.ReadServerCmd:
		send(lessor.ReplyMsg{Read: c, Reply: p.reply(true, "")})
	case lessor.OrderCmd:
		send(lessor.ReplyMsg{Order: c, Reply: p.obey(c)})
	}
}

func (p *platform) obey(c lessor.OrderCmd) server.Reply {
	now := time.Now()
	if !c.Order.Full && !now.Before(p.leaseEnd) {
		return p.reply(false, server.ReasonRev)
	}
	if late := now.Sub(p.leaseEnd); !p.leaseEnd.IsZero() {
		p.gap = max(p.gap, late)
	}
	if c.Order.Full {
		p.heldRev = c.Order.Rev
	}
	if c.Revoke {
		p.revocations++
		return p.reply(true, "")
	}
	if c.Order.Full {
		p.grants++
	}
	p.leaseEnd = p.boot.Add(c.Order.Mark.At + c.Order.TTL)
	return p.reply(true, "")
}

func (p *platform) reply(done bool, why string) server.Reply {
	return server.Reply{
		Done: done, Reason: why, Rev: p.heldRev, Left: time.Until(p.leaseEnd),
		Mark: server.Mark{Boot: 1, At: time.Since(p.boot)},
	}
}

// outage begins or ends the store's outage, and returns what the server has
// seen.
func (p *platform) outage(down bool) (grants int, ends time.Time, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	return p.grants, p.leaseEnd, p.gap
}

// The store fails for ten minutes. The real loop, with its real timers, must
// keep the server's lease without a gap, and without a new grant.
func TestLoopKeepsALeaseThroughAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab, err := table.New("lookup", 4, "s0")
		assert.NilError(t, err)
		tab, err = tab.WithAssigned(table.Move{Slice: 0, To: "s0"})
		assert.NilError(t, err)
		p := &platform{table: tab, tableVer: 1, boot: time.Now(), gap: -time.Hour}
		l := loop.New(lessor.New(lessor.Config{Self: "vm0", Service: "lookup", Server: "s0"}), p)
		defer l.Close()
		l.Send(lessor.RoleMsg{Preferred: true})
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

// The planner requests a move just after the store failed. A holder that
// revoked the slice before it knew that the move can be written would leave the
// slice unserved until the store is back.
func TestAPlannedMoveWaitsForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab, err := table.New("lookup", 4, "s0", "s1")
		assert.NilError(t, err)
		tab, err = tab.WithAssigned(table.Move{Slice: 0, To: "s0"})
		assert.NilError(t, err)
		p := &platform{table: tab, tableVer: 1, boot: time.Now(), gap: -time.Hour}
		l := loop.New(lessor.New(lessor.Config{Self: "vm0", Service: "lookup", Server: "s0", FenceChecks: true}), p)
		defer l.Close()
		l.Send(lessor.RoleMsg{Preferred: true})
		time.Sleep(2 * time.Second)
		p.outage(true)
		l.Send(lessor.MoveMsg{Moves: []table.Move{{Slice: 0, To: "s1"}}})
		time.Sleep(10 * time.Minute)
		_, ends, _ := p.outage(false)
		assert.Assert(t, time.Now().Before(ends), "the lease lapsed")
		assert.Equal(t, p.revoked(), 0, "the slice was revoked although the move cannot be written")
		time.Sleep(5 * time.Second)
		assert.Equal(t, p.revoked(), 1)
		assert.Equal(t, p.owner(0), ident.Server("s1"), "the move was lost")
	})
}

func (p *platform) revoked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revocations
}

func (p *platform) owner(x ident.Slice) ident.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.OwnerOf(x)
}
