package assign

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// lostPaths drives a leader whose orders reach only some servers.
type lostPaths struct {
	m         *Model
	now       time.Time
	reachable map[ident.Server]bool
	reported  map[ident.Server]bool // servers of which other VMs report answers
	pending   []pendingOrder
}

type pendingOrder struct {
	due time.Time
	msg OrderResultMsg
}

func newLostPaths(servers int) *lostPaths {
	d := &lostPaths{m: New(), now: time.Unix(1000, 0), reachable: map[ident.Server]bool{}, reported: map[ident.Server]bool{}}
	var listed []Server
	for n := range servers {
		name := ident.Server("s" + strconv.Itoa(n))
		d.reachable[name], d.reported[name] = true, true
		listed = append(listed, Server{Name: name, Addr: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1, Slots: 4})
	}
	d.update(TickMsg{d.authority()})
	d.update(ServersMsg{listed})
	return d
}

func (d *lostPaths) authority() Authority {
	return Authority{Epoch: 1, Until: d.now.Add(time.Hour), OldTermEnd: time.Unix(1000, 0)}
}

func (d *lostPaths) update(msg loop.Msg) {
	_, cmds := d.m.Update(d.now, msg)
	for _, c := range cmds {
		d.execute(c)
	}
}

func (d *lostPaths) execute(c loop.Cmd) {
	switch c := c.(type) {
	case ReadCmd:
		d.update(ReadResultMsg{Kind: kinds.NotFound})
	case WriteCmd:
		d.update(WriteResultMsg{Version: 1 + c.Old})
	case OrderCmd:
		result := OrderResultMsg{Server: c.Server, Incarnation: c.Incarnation}
		due := d.now.Add(5 * time.Millisecond)
		for _, o := range c.Orders {
			k := kinds.None
			if !d.reachable[c.Server] {
				k, due = kinds.Ambiguous, d.now.Add(250*time.Millisecond)
			}
			result.Results = append(result.Results, OrderResult{Order: o, Sent: d.now, Kind: k})
		}
		d.pending = append(d.pending, pendingOrder{due, result})
	}
}

// run lets time pass, with a hundred requests a second for all keys.
func (d *lostPaths) run(total time.Duration) {
	const step = 50 * time.Millisecond
	for end := d.now.Add(total); d.now.Before(end); d.now = d.now.Add(step) {
		pending := d.pending
		d.pending = nil
		for _, p := range pending {
			if p.due.After(d.now) {
				d.pending = append(d.pending, p)
				continue
			}
			d.update(p.msg)
		}
		load := LoadMsg{Cells: map[uint16]uint32{}, Servers: map[ident.Server]LatencySum{}}
		for n := range 5 {
			load.Cells[uint16((d.now.UnixMilli()/50*5+int64(n))*37%(ranges.KeySpace/ranges.CellWidth))]++
		}
		for name, ok := range d.reported {
			if ok {
				load.Servers[name] = LatencySum{N: 1, Total: 100 * time.Millisecond}
			}
		}
		d.update(load)
		d.update(TickMsg{d.authority()})
	}
}

// owned returns the share of all keys that each server owns.
func (d *lostPaths) owned() map[ident.Server]float64 {
	shares := map[ident.Server]float64{}
	for _, r := range d.m.table.Rows {
		shares[r.Owner] += float64(r.Len()) / ranges.KeySpace
	}
	return shares
}

// Guards against moving all keys to the one server that a leader still reaches while the others serve other VMs.
func TestServersThatOnlyTheLeaderHasLostKeepTheirKeys(t *testing.T) {
	d := newLostPaths(4)
	d.run(5 * time.Second)
	for n := range 3 {
		d.reachable[ident.Server("s"+strconv.Itoa(n))] = false
	}
	d.run(3 * time.Second)
	share := d.owned()["s3"]
	assert.Assert(t, share < 0.5, "the server that is reached owns %.2f of the keys", share)
}

// Guards against an overload that outlasts its cause: servers that answer again get no keys back.
func TestServersThatAnswerAgainGetKeysBack(t *testing.T) {
	d := newLostPaths(4)
	d.run(5 * time.Second)
	for n := range 3 {
		name := ident.Server("s" + strconv.Itoa(n))
		d.reachable[name], d.reported[name] = false, false
	}
	d.run(12 * time.Second)
	for n := range 3 {
		d.reachable[ident.Server("s"+strconv.Itoa(n))] = true
	}
	const recovery = 15 * time.Second // the platform's recovery time
	d.run(recovery)
	share := d.owned()["s3"]
	assert.Assert(t, share < 0.5, "one server owns %.2f of the keys, the others answer again", share)
}

// Guards against two owners of a key whose last grant through another VM arrived late.
func TestKeysWaitForLateGrantsThroughAnotherVM(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		sim := newSim(t, flawNone)
		sim.newLeader()
		sim.runUntil(sim.now.Add(3 * time.Second))
		sim.losePathsStepByStep()
		sim.runUntil(sim.now.Add(10 * time.Second))
		assert.Equal(t, sim.violation, "")
	})
}
