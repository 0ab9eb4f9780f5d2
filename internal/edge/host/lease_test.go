package host

import (
	"net/http"
	"testing"
)

// An operator removes the object that says who leads, or another program overwrites it,
// while the key tables stand. Whoever claims the lead next knows of no leader before it
// and begins at the first epoch, below the tables'. It would take those for another
// leader's for good: no key has an owner, every request for one is refused, and no log
// line says why.
func TestKeysAreServedAfterTheLeaseWasLost(t *testing.T) {
	for name, lost := range map[string][]byte{"removed": nil, "overwritten": []byte(`{"epoch":`)} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.rules("/lookup/")
			w.serve("lookup", "l1")
			served := func() bool { status, _ := w.get(0, "/lookup/7", "4711"); return status == http.StatusOK }
			// Each life of the VM raises the epoch.
			for range 3 {
				h := w.start(0)
				w.within(patient, "served", served)
				if err := h.Close(); err != nil {
					t.Fatal(err)
				}
			}
			w.store.mu.Lock()
			w.store.set("own/lead", lost)
			w.store.mu.Unlock()
			h := w.start(0)
			w.within(patient, "served", served)
			if err := h.Close(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// The same while the leader lives. It would stand back for seconds, and the keys' grants
// run out meanwhile.
func TestALeaderWhoseLeaseWasLostGoesOn(t *testing.T) {
	w := newWorld(t, 1)
	w.rules("/lookup/")
	w.serve("lookup", "l1")
	h := w.start(0)
	served := func() bool { status, _ := w.get(0, "/lookup/7", "4711"); return status == http.StatusOK }
	w.within(patient, "served", served)
	w.store.mu.Lock()
	w.store.set("own/lead", nil)
	w.store.mu.Unlock()
	w.within(patient, "the lease is there again", func() bool {
		w.store.mu.Lock()
		defer w.store.mu.Unlock()
		_, ok := w.store.objects["own/lead"]
		if !ok && !served() {
			t.Fatal("not served")
		}
		return ok
	})
	if err := h.Close(); err != nil {
		t.Fatal(err)
	}
}

// A row of the stored table has a fence above the table's highest. The table was refused
// as a whole and read again three times a second: no key of the service had an owner.
func TestKeysAreServedAlthoughARowIsBad(t *testing.T) {
	w := newWorld(t, 1)
	w.rules("/lookup/")
	w.store.mu.Lock()
	w.store.set("own/keys-lookup", []byte(`{"epoch":3,"top":5,"servers":["l1"],"rows":[[0,1,1,9,0],[32768,4,1,5,0]]}`))
	w.store.mu.Unlock()
	w.serve("lookup", "l1")
	h := w.start(0)
	for _, key := range []string{"4711", "40000"} {
		w.within(patient, "served", func() bool { status, _ := w.get(0, "/lookup/7", key); return status == http.StatusOK })
	}
	if err := h.Close(); err != nil {
		t.Fatal(err)
	}
}
