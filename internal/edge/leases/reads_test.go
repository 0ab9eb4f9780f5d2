package leases

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// newObserver starts a VM with all lessors of a fleet, held by other VMs, and returns
// its manager and the counting store.
func newObserver(t *testing.T, servers int) (*Manager, *countingStore) {
	f := newFleet(t, 5, 1, servers)
	for _, s := range f.servers {
		rec := lessor.Record{V: lessor.RecordVersion, Epoch: 1, Holder: "other", Term: time.Hour}
		b, err := rec.Encode()
		assert.NilError(t, err)
		_, err = f.store.Put(t.Context(), lessorID{"lookup", s.Name}.object(), b, 0)
		assert.NilError(t, err)
	}
	mgr := New(Options{
		VM: "vm-0", State: state.New([]config.Service{f.config(f.servers)}), Store: f.store, Control: fleetControl{f: f},
		Peers: discardSender{}, Log: slog.New(slog.DiscardHandler),
	})
	f.managers["vm-0"] = mgr
	return mgr, f.store
}

func otherVMs() []vmlist.VM {
	return []vmlist.VM{{ID: "other", State: vmlist.Live}, {ID: "third", State: vmlist.Live}}
}

// recordsRead counts the lessors whose record the VM has read.
func recordsRead(mgr *Manager) int {
	n := 0
	for _, s := range mgr.Status() {
		if s.Holder == "other" {
			n++
		}
	}
	return n
}

// A data centre of entry VMs starts after a power cut. If each VM read the records of
// all lessors one by one, the store would do nothing else for a minute, and every
// change of the fleet would wait.
func TestAStartingVMReadsAllRecordsInAFewCalls(t *testing.T) {
	for _, servers := range []int{10, 100, 442, 884} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mgr, store := newObserver(t, servers)
				mgr.SetVMs(otherVMs())
				time.Sleep(time.Second)
				sum := store.calls()
				t.Logf("%d lessors: %d reads of a record, %d lists", servers, sum.records, sum.lists)
				assert.Equal(t, recordsRead(mgr), servers, "not every record was read")
				assert.Assert(t, sum.records <= maxSingleReads+minReadsForList && sum.lists <= 3)
				assert.NilError(t, mgr.Close())
			})
		})
	}
}

// VMs start while the store is down and retry every quarter of a second. Hundreds of
// reads from each VM at every retry would hit the store as it recovers.
func TestVMStartingInAnOutageMakesFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mgr, store := newObserver(t, 300)
		store.SetDown(true)
		mgr.SetVMs(otherVMs())
		time.Sleep(10 * time.Second)
		sum := store.calls()
		t.Logf("300 lessors in an outage of 10 s: %d reads of a record, %d lists", sum.records, sum.lists)
		assert.Assert(t, sum.records+sum.lists < 1000, "with 300 lessors, each retrying four times a second")
		store.SetDown(false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, recordsRead(mgr), 300, "not every record was read after the outage")
		assert.NilError(t, mgr.Close())
	})
}

// The platform refuses to list and still answers reads. A VM that only listed would
// never learn which VMs hold the lessors.
func TestRecordsAreReadWhenListFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mgr, store := newObserver(t, 100)
		store.SetFault(func(op objmem.Op, _ string) objmem.Fault {
			return objmem.Fault{Delay: 5 * time.Millisecond, Down: op == objmem.List}
		})
		mgr.SetVMs(otherVMs())
		time.Sleep(3 * time.Second)
		assert.Equal(t, recordsRead(mgr), 100)
		assert.NilError(t, mgr.Close())
	})
}

// Reads of several kinds are made together: of records that exist and of some that
// do not. Each must get its own result.
func TestEachReadGetsItsOwnResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mgr, store := newObserver(t, 40)
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				name := lessorID{"lookup", ident.Server(fmt.Sprintf("s-%d", i))}.object()
				o, err := mgr.getRecord(t.Context(), name)
				if i >= 40 {
					assert.Check(t, kinds.Of(err) == kinds.NotFound, "%v", err)
					return
				}
				assert.Check(t, err)
				assert.Check(t, o.Name == name && strings.HasPrefix(name, recordPrefix))
			})
		}
		wg.Wait()
		assert.Equal(t, store.calls().lists, 1)
		assert.Equal(t, mgr.reads.inFlight, 0)
		assert.NilError(t, mgr.Close())
	})
}
