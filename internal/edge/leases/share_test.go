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

// outbox notes what was cast, and when.
type outbox struct {
	silence
	mu   sync.Mutex
	sent [][]byte
	at   []time.Time
}

func (o *outbox) Cast(_ ident.VM, b []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent, o.at = append(o.sent, b), append(o.at, time.Now())
}

// take hands over what was noted, and begins anew.
func (o *outbox) take() ([][]byte, []time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent, at := o.sent, o.at
	o.sent, o.at = nil, nil
	return sent, at
}

// A VM holds the seats of three servers with one deputy. If each beat were a
// packet of its own, control traffic would grow with the servers of a VM; if
// beats waited longer for each other, the deputy would take a live holder for a
// silent one and seize its seats.
func TestBeatsToOneVMShareAPacketAndAreNeverLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, _, _ := launch(objmem.New())
		out := &outbox{}
		k.Peers = out
		k.SetVMs([]vmlist.VM{{ID: "vm-1", State: vmlist.Live}})
		time.Sleep(2 * time.Second)
		for name := range k.seats {
			k.seats[name].loop.Send(lessor.RoleMsg{Lead: true, Deputy: "vm-2"})
		}
		time.Sleep(time.Second)
		out.take()
		time.Sleep(10 * time.Second)
		sent, at := out.take()
		assert.Equal(t, len(sent), 100)
		last := map[*chair]time.Time{}
		for i, b := range sent {
			var l letter
			assert.NilError(t, wire.Decode(b, &l))
			assert.Equal(t, len(l.All), 3)
			for _, raw := range l.All {
				var one letter
				assert.NilError(t, wire.Decode(raw, &one))
				c, ok := k.chairOf(&one)
				assert.Assert(t, ok)
				if was, ok := last[c]; ok {
					assert.Assert(t, at[i].Sub(was) <= k.Times.Heartbeat+shareWait)
				}
				last[c] = at[i]
			}
		}
		assert.NilError(t, k.Close())
	})
}

func TestAPacketStaysWithinItsBoundAndLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, _, _ := launch(objmem.New())
		out := &outbox{}
		k.Peers = out
		for i := range 25 {
			k.share("vm-2", fmt.Appendf(nil, "%-99d", i))
		}
		time.Sleep(shareWait)
		synctest.Wait()
		got := 0
		for _, b := range out.sent {
			var l letter
			assert.NilError(t, wire.Decode(b, &l))
			assert.Assert(t, len(b) <= 1100, "%d", len(b))
			got += len(l.All)
		}
		assert.Equal(t, got, 25)
		assert.Equal(t, len(out.sent), 3)
		assert.NilError(t, k.Close())
	})
}

// A packet from another version holds one letter that nobody here understands.
// The others in it are beats: thrown away with it, they would look like silence.
func TestOneBadLetterDoesNotHoldUpTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, _, _ := launch(objmem.New())
		good, err := wire.Encode(letter{Svc: "lookup", Srv: "a", Beat: formOf(lessor.HeartbeatMsg{Epoch: 3})})
		assert.NilError(t, err)
		nested, err := wire.Encode(letter{All: [][]byte{good}})
		assert.NilError(t, err)
		b, err := wire.Encode(letter{All: [][]byte{{0xff}, nested, good}})
		assert.NilError(t, err)
		assert.Equal(t, kinds.Of(k.Handle("vm-9", b)), kinds.Malformed)
		time.Sleep(10 * time.Millisecond)
		for _, s := range k.Status() {
			want := "off"
			if s.Server == "a" {
				want = "watching"
			}
			assert.Equal(t, string(s.DeputyState), want, "%s", s.Server)
		}
		assert.NilError(t, k.Close())
	})
}

func TestAHoldersSeatsShareFewDeputies(t *testing.T) {
	var live []vmlist.VM
	for i := range 520 {
		live = append(live, vmlist.VM{ID: ident.VM(fmt.Sprint("vm-", i)), Centre: ident.Centre(fmt.Sprint("c", i%4))})
	}
	deputies := map[ident.VM]map[ident.VM]bool{}
	for i := range 1800 {
		lead, deputy := Assign("lookup", ident.Server(fmt.Sprint("s", i)), ident.Centre(fmt.Sprint("c", i%4)), live)
		if deputies[lead] == nil {
			deputies[lead] = map[ident.VM]bool{}
		}
		deputies[lead][deputy] = true
	}
	pairs := 0
	for _, d := range deputies {
		assert.Assert(t, len(d) <= 3, "%d", len(d))
		pairs += len(d)
	}
	t.Logf("%d pairs of holder and deputy for 1800 seats", pairs)
	assert.Assert(t, pairs < 1200, "%d", pairs)
}
