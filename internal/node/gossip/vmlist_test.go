package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// platform answers the VMs of a network with the platform's list of VMs.
type platform struct {
	*network
	sum   func(vm ident.VM) uint32 // the sum of the list that a VM reads
	down  bool
	reads map[ident.VM]int
	lists map[ident.VM]uint32
}

func newPlatform(n int) *platform {
	p := &platform{network: newNet(n), reads: map[ident.VM]int{}, lists: map[ident.VM]uint32{}}
	p.sum = func(ident.VM) uint32 { return 1 }
	p.run(5 * time.Second)
	return p
}

func (p *platform) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.network.run(TickInterval)
		for vm := range p.nodes {
			cmds := p.cmds[vm]
			p.cmds[vm] = nil
			for _, c := range cmds {
				if _, ok := c.(ReadListCmd); !ok {
					continue
				}
				p.reads[vm]++
				if !p.down {
					p.lists[vm] = p.sum(vm)
					p.update(vm, ListReadMsg{Sum: p.lists[vm], Asked: p.now})
				}
			}
		}
	}
}

func (p *platform) total(d time.Duration) (n int) {
	p.reads = map[ident.VM]int{}
	p.run(d)
	for _, r := range p.reads {
		n += r
	}
	return n
}

// The list does not change. If each of the 40 VMs read it every second, the reads
// would grow with the fleet up to the platform's limit.
func TestTheListIsReadByTheWatchersAlone(t *testing.T) {
	p := newPlatform(40)
	assert.Equal(t, p.total(10*time.Second), 10*Watchers)
}

// The list changes. A watcher reads it within a second and its heartbeat follows
// within another. Each VM must then have read it itself, or it would go on
// counting on a VM that leaves.
func TestAChangedListIsReadByAll(t *testing.T) {
	for offset := range 10 {
		p := newPlatform(40)
		p.run(time.Duration(offset) * TickInterval)
		p.sum = func(ident.VM) uint32 { return 2 }
		p.run(2*Period + 2*TickInterval)
		for vm := range p.nodes {
			assert.Equal(t, p.lists[vm], uint32(2), "%s", vm)
		}
		p.run(3 * time.Second)
		assert.Equal(t, p.total(5*time.Second), 5*Watchers)
	}
}

// A VM hears no watcher, since it is cut off or alone. It must read the list
// itself, or its list would never change again.
func TestAVMThatHearsNothingReadsTheListItself(t *testing.T) {
	p := newPlatform(40)
	alone := ident.VM("vm1")
	assert.Assert(t, !p.nodes[alone].Watches())
	for vm := range p.nodes {
		if vm != alone {
			delete(p.nodes, vm)
		}
	}
	p.run(listReadFresh)
	p.reads = map[ident.VM]int{}
	p.run(10 * time.Second)
	assert.Equal(t, p.reads[alone], 10)
}

// One watcher reads an old list, since the platform lags for some readers, or
// reports a list that it did not read. The others must not rely on it: they read
// for themselves, at most once a second.
func TestAWatcherWithAnotherListCostsReadsOnly(t *testing.T) {
	p := newPlatform(40)
	deviant := watchOrder(peersOf(40))[1]
	p.sum = func(vm ident.VM) uint32 {
		if vm == deviant {
			return 1
		}
		return 2
	}
	p.run(3 * time.Second)
	for vm := range p.nodes {
		if vm != deviant {
			assert.Equal(t, p.lists[vm], uint32(2), "%s", vm)
		}
	}
	assert.Assert(t, p.total(10*time.Second) <= 400)
}

// The platform no longer answers the watchers. Their reports expire, and each VM
// must then ask the platform itself.
func TestAnExpiredListReportDoesNotCount(t *testing.T) {
	p := newPlatform(10)
	p.down = true
	p.run(listReadFresh + Period)
	p.reads = map[ident.VM]int{}
	p.run(5 * time.Second)
	for vm := range p.nodes {
		assert.Equal(t, p.reads[vm], 5, "%s", vm)
	}
}
