package host

import (
	"net/http"
	"testing"
)

// Guards against keys without owners after the lease object was removed or overwritten.
// The next leader starts at the first epoch and takes the stored key tables, whose epoch
// is higher, for another leader's: it refuses every request with a key and logs no reason.
func TestKeysAreServedAfterTheLeaseWasLost(t *testing.T) {
	for name, lost := range map[string][]byte{"removed": nil, "overwritten": []byte(`{"epoch":`)} {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			tc.setRules("/lookup/")
			tc.addServer("lookup", "l1")
			served := func() bool { status, _ := tc.get(0, "/lookup/7", "4711"); return status == http.StatusOK }
			// Each restart of the VM raises the epoch.
			for range 3 {
				h := tc.startVM(0)
				tc.waitFor(waitLimit, "served", served)
				if err := h.Close(); err != nil {
					t.Fatal(err)
				}
			}
			tc.store.mu.Lock()
			tc.store.set("own/lead", lost)
			tc.store.mu.Unlock()
			h := tc.startVM(0)
			tc.waitFor(waitLimit, "served", served)
			if err := h.Close(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Guards against a running leader that pauses for seconds when its lease object is
// removed, while the grants of keys expire.
func TestALeaderWhoseLeaseWasLostGoesOn(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setRules("/lookup/")
	tc.addServer("lookup", "l1")
	h := tc.startVM(0)
	served := func() bool { status, _ := tc.get(0, "/lookup/7", "4711"); return status == http.StatusOK }
	tc.waitFor(waitLimit, "served", served)
	tc.store.mu.Lock()
	tc.store.set("own/lead", nil)
	tc.store.mu.Unlock()
	tc.waitFor(waitLimit, "the lease is there again", func() bool {
		tc.store.mu.Lock()
		defer tc.store.mu.Unlock()
		_, ok := tc.store.objects["own/lead"]
		if !ok && !served() {
			t.Fatal("not served")
		}
		return ok
	})
	if err := h.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a key table that is refused as a whole because the fence of one row is
// above the table's highest. It was read again three times a second, and no key of the
// service had an owner.
func TestKeysAreServedAlthoughARowIsBad(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.setRules("/lookup/")
	tc.store.mu.Lock()
	tc.store.set("own/keys-lookup", []byte(`{"epoch":3,"top":5,"servers":["l1"],"rows":[[0,1,1,9,0],[32768,4,1,5,0]]}`))
	tc.store.mu.Unlock()
	tc.addServer("lookup", "l1")
	h := tc.startVM(0)
	for _, key := range []string{"4711", "40000"} {
		tc.waitFor(waitLimit, "served", func() bool { status, _ := tc.get(0, "/lookup/7", key); return status == http.StatusOK })
	}
	if err := h.Close(); err != nil {
		t.Fatal(err)
	}
}
