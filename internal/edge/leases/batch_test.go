package leases

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// castRecorder records what was cast, and when.
type castRecorder struct {
	discardSender
	mu   sync.Mutex
	sent [][]byte
	at   []time.Time
}

func (r *castRecorder) Cast(_ ident.VM, b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent, r.at = append(r.sent, b), append(r.at, time.Now())
}

// take returns what was recorded and clears it.
func (r *castRecorder) take() ([][]byte, []time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent, at := r.sent, r.at
	r.sent, r.at = nil, nil
	return sent, at
}

// A VM holds the lessors of three servers with one deputy. With a packet for each
// heartbeat, control traffic would grow with the number of servers; if heartbeats waited
// longer for each other, the deputy would take the lessors over from a live holder.
func TestHeartbeatsToOneVMShareAPacketAndAreOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mgr, _, _ := newManager(objmem.New())
		rec := &castRecorder{}
		mgr.Peers = rec
		mgr.SetVMs([]vmlist.VM{{ID: "vm-1", State: vmlist.Live}})
		time.Sleep(2 * time.Second)
		for name := range mgr.lessors {
			mgr.lessors[name].loop.Send(lessor.RoleMsg{Preferred: true, Deputy: "vm-2"})
		}
		time.Sleep(time.Second)
		rec.take()
		time.Sleep(10 * time.Second)
		sent, at := rec.take()
		assert.Equal(t, len(sent), 100)
		last := map[*hostedLessor]time.Time{}
		for i, b := range sent {
			var m message
			assert.NilError(t, wire.Decode(b, &m))
			assert.Equal(t, len(m.Batch), 3)
			for _, raw := range m.Batch {
				var one message
				assert.NilError(t, wire.Decode(raw, &one))
				c, ok := mgr.lessorOf(&one)
				assert.Assert(t, ok)
				if was, ok := last[c]; ok {
					assert.Assert(t, at[i].Sub(was) <= mgr.Times.Heartbeat+batchDelay)
				}
				last[c] = at[i]
			}
		}
		assert.NilError(t, mgr.Close())
	})
}

func TestBatchesStayWithinTheSizeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mgr, _, _ := newManager(objmem.New())
		rec := &castRecorder{}
		mgr.Peers = rec
		for i := range 25 {
			mgr.castBatched("vm-2", fmt.Appendf(nil, "%-99d", i))
		}
		time.Sleep(batchDelay)
		synctest.Wait()
		got := 0
		for _, b := range rec.sent {
			var m message
			assert.NilError(t, wire.Decode(b, &m))
			assert.Assert(t, len(b) <= 1100, "%d", len(b))
			got += len(m.Batch)
		}
		assert.Equal(t, got, 25)
		assert.Equal(t, len(rec.sent), 3)
		assert.NilError(t, mgr.Close())
	})
}

// A packet from another version contains a message that cannot be decoded. The
// others in it are heartbeats: if they were dropped with it, their sender would seem
// silent.
func TestMalformedMessageInABatchIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mgr, _, _ := newManager(objmem.New())
		good, err := wire.Encode(message{Svc: "lookup", Srv: "a", Heartbeat: heartbeatToWire(lessor.HeartbeatMsg{Epoch: 3})})
		assert.NilError(t, err)
		nested, err := wire.Encode(message{Batch: [][]byte{good}})
		assert.NilError(t, err)
		b, err := wire.Encode(message{Batch: [][]byte{{0xff}, nested, good}})
		assert.NilError(t, err)
		assert.Equal(t, kinds.Of(mgr.Handle("vm-9", b)), kinds.Malformed)
		time.Sleep(10 * time.Millisecond)
		for _, s := range mgr.Status() {
			want := "off"
			if s.Server == "a" {
				want = "watching"
			}
			assert.Equal(t, string(s.DeputyState), want, "%s", s.Server)
		}
		assert.NilError(t, mgr.Close())
	})
}

func TestLessorsOfAPreferredHolderShareFewDeputies(t *testing.T) {
	var live []vmlist.VM
	for i := range 520 {
		live = append(live, vmlist.VM{ID: ident.VM(fmt.Sprint("vm-", i)), Centre: ident.Centre(fmt.Sprint("c", i%4))})
	}
	deputies := map[ident.VM]map[ident.VM]bool{}
	for i := range 1800 {
		preferred, deputy := Assign("lookup", ident.Server(fmt.Sprint("s", i)), ident.Centre(fmt.Sprint("c", i%4)), live)
		if deputies[preferred] == nil {
			deputies[preferred] = map[ident.VM]bool{}
		}
		deputies[preferred][deputy] = true
	}
	pairs := 0
	for _, d := range deputies {
		assert.Assert(t, len(d) <= 3, "%d", len(d))
		pairs += len(d)
	}
	t.Logf("%d pairs of leader and deputy for 1800 lessors", pairs)
	assert.Assert(t, pairs < 1200, "%d", pairs)
}
