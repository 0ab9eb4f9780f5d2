// Package shed tells which backend servers shed the requests of several entry VMs.
//
// A server that turns a request away may name a time for which it wants none from the VM that
// sent it. That binds this VM only, and says little: the server may have been full for a
// moment. If it has told several VMs, it serves hardly anyone, and the requests for its keys are refused at one VM after the
// other. Their keys are then better off with another server.
package shed

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// minVMs is how many VMs must not send a server requests at the same time.
const minVMs = 2

// Report is a VM's word that a server wants no requests from it.
type Report struct {
	Server      ident.Server  `json:"server"`
	Incarnation int64         `json:"born,omitempty"` // see [ident.Process]
	Left        time.Duration `json:"left"`           // for how long
}

// Process returns the process that turned a request away.
func (r Report) Process() ident.Process {
	return ident.Process{Server: r.Server, Incarnation: r.Incarnation}
}

// Table holds on the leader which servers want no requests from which VMs. The zero value
// holds none.
type Table struct {
	byServer map[ident.Process]map[ident.VM]time.Time
}

// Add adds what a VM reports.
func (t *Table) Add(now time.Time, vm ident.VM, all []Report) {
	for _, r := range all {
		if t.byServer == nil {
			t.byServer = map[ident.Process]map[ident.VM]time.Time{}
		}
		p := r.Process()
		if t.byServer[p] == nil {
			t.byServer[p] = map[ident.VM]time.Time{}
		}
		t.byServer[p][vm] = now.Add(r.Left)
	}
}

// Shedding returns the servers that want no requests from several of the VMs now; from one of
// them, if it is the only one.
func (t *Table) Shedding(now time.Time, vms int) map[ident.Process]bool {
	all := map[ident.Process]bool{}
	for p, byVM := range t.byServer {
		for vm, until := range byVM {
			if !now.Before(until) {
				delete(byVM, vm)
			}
		}
		if len(byVM) == 0 {
			delete(t.byServer, p)
			continue
		}
		if len(byVM) >= min(minVMs, vms) {
			all[p] = true
		}
	}
	return all
}
