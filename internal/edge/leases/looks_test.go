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

// bystander starts a VM with all seats of a fleet that others hold, and returns
// its keeper and the store, which counts.
func bystander(t *testing.T, servers int) (*Manager, *tally) {
	f := newFleet(t, 5, 1, servers)
	for _, s := range f.servers {
		rec := lessor.Record{V: lessor.RecordVersion, Epoch: 1, Holder: "other", Term: time.Hour}
		b, err := rec.Encode()
		assert.NilError(t, err)
		_, err = f.store.Put(t.Context(), seatName{"lookup", s.Name}.object(), b, 0)
		assert.NilError(t, err)
	}
	k := New(Options{
		VM: "vm-0", State: state.New([]config.Service{f.config(f.servers)}), Store: f.store, Control: handset{f: f},
		Peers: silence{}, Log: slog.New(slog.DiscardHandler),
	})
	f.keepers["vm-0"] = k
	return k, f.store
}

func elsewhere() []vmlist.VM {
	return []vmlist.VM{{ID: "other", State: vmlist.Live}, {ID: "third", State: vmlist.Live}}
}

// known counts the seats whose record the VM has read.
func known(k *Manager) int {
	n := 0
	for _, s := range k.Status() {
		if s.Holder == "other" {
			n++
		}
	}
	return n
}

// A data centre of entry VMs starts after a power cut. If each read the records
// of all seats one by one, the store would be busy for a minute with nothing
// else, and every change of the fleet would wait for it.
func TestAStartingVMReadsAllRecordsInAFewCalls(t *testing.T) {
	for _, servers := range []int{10, 100, 442, 884} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k, store := bystander(t, servers)
				k.SetVMs(elsewhere())
				time.Sleep(time.Second)
				sum := store.calls()
				t.Logf("%d seats: %d reads of a record, %d lists", servers, sum.records, sum.lists)
				assert.Equal(t, known(k), servers, "not every record was read")
				assert.Assert(t, sum.records <= looksAtOnce+looksShared && sum.lists <= 3)
				assert.NilError(t, k.Close())
			})
		})
	}
}

// The VMs start while the store is down, and look again every quarter of a
// second. Hundreds of reads from every VM at each turn would meet a store that
// tries to come back.
func TestAVMThatStartsInAnOutageAsksLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, store := bystander(t, 300)
		store.SetDown(true)
		k.SetVMs(elsewhere())
		time.Sleep(10 * time.Second)
		sum := store.calls()
		t.Logf("300 seats in an outage of 10 s: %d reads of a record, %d lists", sum.records, sum.lists)
		assert.Assert(t, sum.records+sum.lists < 1000, "with 300 seats, each asking four times a second")
		store.SetDown(false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, known(k), 300, "not every record was read after the outage")
		assert.NilError(t, k.Close())
	})
}

// The platform refuses to list, and answers reads. A VM that only listed would
// never learn who holds the seats.
func TestAStoreThatRefusesToListIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, store := bystander(t, 100)
		store.SetFault(func(op objmem.Op, _ string) objmem.Fault {
			return objmem.Fault{Delay: 5 * time.Millisecond, Down: op == objmem.List}
		})
		k.SetVMs(elsewhere())
		time.Sleep(3 * time.Second)
		assert.Equal(t, known(k), 100)
		assert.NilError(t, k.Close())
	})
}

// Looks of every kind come together: for records that are there, for one that is
// not, and for one whose caller gives up. Each must get its own answer.
func TestEachLookGetsItsOwnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, store := bystander(t, 40)
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				name := seatName{"lookup", ident.Server(fmt.Sprintf("s-%d", i))}.object()
				o, err := k.look(t.Context(), name)
				if i >= 40 {
					assert.Check(t, kinds.Of(err) == kinds.NotFound, "%v", err)
					return
				}
				assert.Check(t, err)
				assert.Check(t, o.Name == name && strings.HasPrefix(name, seatPrefix))
			})
		}
		wg.Wait()
		assert.Equal(t, store.calls().lists, 1)
		assert.Equal(t, k.looks.single, 0)
		assert.NilError(t, k.Close())
	})
}
