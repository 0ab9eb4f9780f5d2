package gossip

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// platform answers the VMs of a net with its list.
type platform struct {
	*net
	sum   func(vm ident.VM) uint32 // what a VM reads
	down  bool
	reads map[ident.VM]int
	holds map[ident.VM]uint32
}

func newPlatform(n int) *platform {
	p := &platform{net: newNet(n), reads: map[ident.VM]int{}, holds: map[ident.VM]uint32{}}
	p.sum = func(ident.VM) uint32 { return 1 }
	p.run(5 * time.Second)
	return p
}

func (p *platform) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.net.run(TickInterval)
		for vm := range p.nodes {
			cmds := p.cmds[vm]
			p.cmds[vm] = nil
			for _, c := range cmds {
				if _, ok := c.(ReadListCmd); !ok {
					continue
				}
				p.reads[vm]++
				if !p.down {
					p.holds[vm] = p.sum(vm)
					p.tell(vm, ListReadMsg{Sum: p.holds[vm], Asked: p.now})
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

// 40 VMs, and the list stays as it is. If each read it each second, the reads
// would grow with the fleet until they fill what the platform allows.
func TestTheListIsReadByTheWatchersAlone(t *testing.T) {
	p := newPlatform(40)
	assert.Equal(t, p.total(10*time.Second), 10*Watchers)
}

// The list changes. A watcher reads it within a second, its pulse follows within
// another, and each VM must then have read it itself, or it would go on counting on a VM that leaves.
func TestAChangedListIsReadByAll(t *testing.T) {
	for offset := range 10 {
		p := newPlatform(40)
		p.run(time.Duration(offset) * TickInterval)
		p.sum = func(ident.VM) uint32 { return 2 }
		p.run(2*Period + 2*TickInterval)
		for vm := range p.nodes {
			assert.Equal(t, p.holds[vm], uint32(2), "%s", vm)
		}
		p.run(3 * time.Second)
		assert.Equal(t, p.total(5*time.Second), 5*Watchers)
	}
}

// A VM hears of no watcher: it is cut off, or alone. It must read for itself, or
// its list would stay as it was for ever.
func TestAVMThatHearsNothingReadsTheListItself(t *testing.T) {
	p := newPlatform(40)
	alone := ident.VM("vm1")
	assert.Assert(t, !p.nodes[alone].Watches())
	for vm := range p.nodes {
		if vm != alone {
			delete(p.nodes, vm)
		}
	}
	p.run(listFor)
	p.reads = map[ident.VM]int{}
	p.run(10 * time.Second)
	assert.Equal(t, p.reads[alone], 10)
}

// One watcher is handed an old list, by a platform that lags for some, or says
// what it did not read. The others must not believe it, in one way or the other:
// they read for themselves, once a second at most.
func TestAWatcherWithAnotherListCostsReadsOnly(t *testing.T) {
	p := newPlatform(40)
	odd := watchOrder(peersOf(40))[1]
	p.sum = func(vm ident.VM) uint32 {
		if vm == odd {
			return 1
		}
		return 2
	}
	p.run(3 * time.Second)
	for vm := range p.nodes {
		if vm != odd {
			assert.Equal(t, p.holds[vm], uint32(2), "%s", vm)
		}
	}
	assert.Assert(t, p.total(10*time.Second) <= 400)
}

// The platform does not answer the watchers any more. Their word grows old, and
// each VM must ask itself rather than go by it.
func TestAnOldWordOnTheListDoesNotCount(t *testing.T) {
	p := newPlatform(10)
	p.down = true
	p.run(listFor + Period)
	p.reads = map[ident.VM]int{}
	p.run(5 * time.Second)
	for vm := range p.nodes {
		assert.Equal(t, p.reads[vm], 5, "%s", vm)
	}
}
