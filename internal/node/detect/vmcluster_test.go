package detect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// vmCluster runs the model of entry VMs on one of them. It delivers the views of
// the VMs that are heard three times a second.
type vmCluster struct {
	now       time.Time
	m         *Model[ident.VM]
	silent    map[ident.VM]bool // nothing is heard of it
	suspected []ident.VM        // members that look frozen to the others
	probes    int
}

func newVMCluster(t *testing.T, n int) *vmCluster {
	c := &vmCluster{now: t0, m: New[ident.VM](Config{}), silent: map[ident.VM]bool{}}
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

func (c *vmCluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		if c.now.Sub(t0)/step%3 == 0 {
			c.views()
		}
		_, cmds := c.m.Update(c.now, TickMsg{})
		for _, cmd := range cmds {
			if p, ok := cmd.(ProbeCmd[ident.VM]); ok {
				c.probes++
				c.m.Update(c.now, ProbeMsg[ident.VM]{ID: p.ID, Failed: c.silent[p.ID], Health: server.Health{Ready: !c.silent[p.ID]}})
			}
		}
	}
}

func (c *vmCluster) views() {
	var msg ViewsMsg[ident.VM]
	for _, x := range c.m.Members() {
		if !c.silent[x.ID] {
			msg.Views = append(msg.Views, ViewMsg[ident.VM]{From: x.ID, Frozen: c.suspected})
		} else {
			msg.Suspect = append(msg.Suspect, x.ID)
		}
	}
	c.m.Update(c.now, msg)
}

// Gossip already reports several times a second which VMs are heard. With probes
// as well, each VM would send and answer as many packets a second as there are
// VMs.
func TestAVMThatOthersHearIsNotProbed(t *testing.T) {
	c := newVMCluster(t, 40)
	c.probes = 0
	c.run(20 * time.Second)
	assert.Equal(t, c.probes, 0)
	for _, x := range c.m.Members() {
		assert.Equal(t, x.Is, Live)
	}
}

// A VM is lost and gossip no longer hears it. That alone must not freeze it; the
// probes that follow must, once another VM confirms that this VM's link is not the
// cause. The VM is back after three answers.
func TestAVMThatNobodyHearsIsProbedAndFrozen(t *testing.T) {
	c := newVMCluster(t, 10)
	c.silent["s3"] = true
	c.run(600 * time.Millisecond)
	x, _ := c.m.Member("s3")
	assert.Equal(t, x.Is, Live, "frozen by others' views alone")
	c.run(1200 * time.Millisecond)
	c.suspected = []ident.VM{"s3"} // they suspect it as soon as this VM does
	c.run(700 * time.Millisecond)
	x, _ = c.m.Member("s3")
	assert.Equal(t, x.Is, Frozen)
	c.silent["s3"], c.suspected = false, nil
	c.run(6 * time.Second)
	x, _ = c.m.Member("s3")
	assert.Equal(t, x.Is, Live)
}
