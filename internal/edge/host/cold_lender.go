package host

import (
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/warmup"
)

// coldLender lends cold servers to the VMs while this VM leads.
type coldLender struct {
	cfg     Config
	hub     *poll.Hub
	coord   *coordinator
	servers *serverTracker

	mu     sync.Mutex
	leases warmup.Leases
	epoch  uint64 // of the term to which leases belong
}

func newColdLender(cfg Config, hub *poll.Hub, coord *coordinator, servers *serverTracker) *coldLender {
	return &coldLender{cfg: cfg, hub: hub, coord: coord, servers: servers}
}

// lend returns the cold servers that a VM may use, if this VM leads.
func (l *coldLender) lend(vm ident.VM) []ident.Server {
	cold := l.servers.cappedServers()
	now := clock.Now()
	epoch, oldEnd, leads := l.coord.term(now)
	if !leads {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch != l.epoch {
		l.epoch = epoch
		l.leases.BeginTerm(oldEnd)
	}
	if len(cold) == 0 {
		return nil
	}
	return l.leases.Lend(now, vm, l.borrowers(), cold)
}

// borrowers returns the VMs that poll this one, and itself.
func (l *coldLender) borrowers() []warmup.Borrower {
	all := []warmup.Borrower{{VM: l.cfg.VM, Centre: l.cfg.Centre}}
	for vm, centre := range l.hub.Centres(time.Now()) {
		all = append(all, warmup.Borrower{VM: vm, Centre: centre})
	}
	return all
}

// lendToSelf lends cold servers to this VM, if it leads.
func (l *coldLender) lendToSelf() {
	asked := clock.Now()
	if lent := l.lend(l.cfg.VM); len(lent) > 0 {
		l.servers.borrow(asked, lent)
	}
}
