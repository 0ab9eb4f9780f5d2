package detect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// company is the roster of entry VMs at one of them. The exchange hands it the
// views of those that are heard three times a second.
type company struct {
	now   time.Time
	m     *Model[ident.VM]
	quiet map[ident.VM]bool // nothing is heard of it any more
	bad   []ident.VM        // whom the others hold to look frozen
	pings int
}

func newCompany(t *testing.T, n int) *company {
	c := &company{now: t0, m: New[ident.VM](Config{}), quiet: map[ident.VM]bool{}}
	var rows []Listed[ident.VM]
	for i := range n {
		rows = append(rows, Listed[ident.VM]{ID: ident.VM(name(i)), State: vmlist.Live})
	}
	c.m.Update(c.now, ListMsg[ident.VM]{Rows: rows})
	c.m.Update(c.now, ProbersMsg{Self: "self", Peers: true})
	c.run(6 * time.Second)
	for i := range n {
		x, _ := c.m.Member(ident.VM(name(i)))
		assert.Equal(t, x.Is, Live)
	}
	return c
}

func (c *company) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		if c.now.Sub(t0)/step%3 == 0 {
			c.views()
		}
		_, cmds := c.m.Update(c.now, TickMsg{})
		for _, cmd := range cmds {
			if p, ok := cmd.(ProbeCmd[ident.VM]); ok {
				c.pings++
				c.m.Update(c.now, ProbeMsg[ident.VM]{ID: p.ID, Failed: c.quiet[p.ID], Health: server.Health{Ready: !c.quiet[p.ID]}})
			}
		}
	}
}

func (c *company) views() {
	var msg ViewsMsg[ident.VM]
	for _, x := range c.m.Members() {
		if !c.quiet[x.ID] {
			msg.Views = append(msg.Views, ViewMsg[ident.VM]{From: x.ID, Frozen: c.bad})
		} else {
			msg.Suspect = append(msg.Suspect, x.ID)
		}
	}
	c.m.Update(c.now, msg)
}

// The exchange tells several times a second who was heard. Pinged besides, each
// VM would send and answer as many packets a second as there are VMs.
func TestAVMThatOthersHearIsNotPinged(t *testing.T) {
	c := newCompany(t, 40)
	c.pings = 0
	c.run(20 * time.Second)
	assert.Equal(t, c.pings, 0)
	for _, x := range c.m.Members() {
		assert.Equal(t, x.Is, Live)
	}
}

// A VM is lost. The exchange no longer hears it, and that word alone must not
// freeze it; the pings that it causes do, once another VM agrees that it is not
// our own link, and the VM is back after three answers.
func TestAVMThatNobodyHearsIsPingedAndFrozen(t *testing.T) {
	c := newCompany(t, 10)
	c.quiet["s3"] = true
	c.run(600 * time.Millisecond)
	x, _ := c.m.Member("s3")
	assert.Equal(t, x.Is, Live, "frozen by others' word alone")
	c.run(1200 * time.Millisecond)
	c.bad = []ident.VM{"s3"} // they suspect it as soon as we do
	c.run(700 * time.Millisecond)
	x, _ = c.m.Member("s3")
	assert.Equal(t, x.Is, Frozen)
	c.quiet["s3"], c.bad = false, nil
	c.run(6 * time.Second)
	x, _ = c.m.Member("s3")
	assert.Equal(t, x.Is, Live)
}
