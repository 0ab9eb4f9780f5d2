package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/peer/link"
	"hawthornfield.org/hawthornfield/internal/plat/objcli"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// sendSteadily sends requests for one key through a VM until stop is closed, and ends
// with an error at the first that fails.
func sendSteadily(t *testing.T, g *group.Group, d *Daemon, stop <-chan struct{}) {
	g.Go(func(context.Context) error {
		for {
			select {
			case <-stop:
				return nil
			default:
			}
			if code, body := send(t, d, "GET", "/scales/s3", ""); code != http.StatusOK {
				return kinds.New(kinds.Internal, body)
			}
		}
	})
}

// allHaveDeputies reports whether the lessor of each of the three lookup servers has a
// holder and a deputy.
func (c *cluster) allHaveDeputies() bool {
	n := 0
	for _, d := range c.daemons {
		for _, lessor := range d.Status().Lessors {
			if lessor.Authority == "holding" && lessor.Deputy != "" {
				n++
			}
		}
	}
	return n == 3
}

// An entry VM that holds lessors is replaced. Without a handover its servers would lose
// their leases, and no key of theirs would be served for about a second.
func TestALeavingVMHandsItsLessorsOver(t *testing.T) {
	c := newCluster(t)
	for _, centre := range []ident.Centre{"north", "west", "east"} {
		c.startVM(centre)
	}
	for _, d := range c.daemons {
		waitUntil(t, "all keys served", servesAllKeys(t, d))
	}
	waitUntil(t, "every lessor has a deputy", c.allHaveDeputies)
	leaver, others := c.daemons[0], c.daemons[1:]
	for i, d := range c.daemons {
		if len(d.Leases().Held()) > len(leaver.Leases().Held()) {
			leaver = d
			others = append(append([]*Daemon{}, c.daemons[:i]...), c.daemons[i+1:]...)
		}
	}
	assert.Assert(t, len(leaver.Leases().Held()) > 0)
	var g group.Group
	stop := make(chan struct{})
	for _, d := range others {
		sendSteadily(t, &g, d, stop)
	}
	vm := vmlist.VM{ID: leaver.cfg.VM, Addr: leaver.Peers(), Centre: leaver.cfg.Centre, State: vmlist.Leaving}
	c.api.SetVM(vm)
	time.Sleep(1200 * time.Millisecond) // the list is read once a second
	assert.NilError(t, leaver.Close())
	vm.State = vmlist.Gone
	c.api.SetVM(vm)
	time.Sleep(2 * time.Second) // several leases long
	close(stop)
	assert.NilError(t, g.Wait())
	held := 0
	for _, d := range others {
		held += len(d.Leases().Held())
	}
	assert.Equal(t, held, 3)
}

// A backend server announces that it will leave. Its keys must move to other servers
// without a failed request, and afterwards it owns nothing.
func TestADrainedServersKeysMoveWithoutFailures(t *testing.T) {
	c := newCluster(t)
	for _, centre := range []ident.Centre{"north", "west"} {
		c.startVM(centre)
	}
	for _, d := range c.daemons {
		waitUntil(t, "all keys served", servesAllKeys(t, d))
	}
	var g group.Group
	stop := make(chan struct{})
	for _, d := range c.daemons {
		sendSteadily(t, &g, d, stop)
	}
	c.origins["lookup-0"].Drain()
	start := time.Now()
	svc, _ := c.daemons[0].State().Service("lookup")
	waitUntil(t, "nothing left to the drained server", func() bool {
		return svc.View().Table().SetOf("lookup-0").Empty()
	})
	t.Logf("drained after %v", time.Since(start))
	close(stop)
	assert.NilError(t, g.Wait())
	assert.Assert(t, servesAllKeys(t, c.daemons[1])())
}

// A caller sends headers of several megabytes to either listener. They must not be held
// in memory, and the next request must be served.
func TestOversizedHeadersAreRefusedAtBothListeners(t *testing.T) {
	c := newCluster(t)
	d := c.startVM("north")
	waitUntil(t, "all keys served", servesAllKeys(t, d))
	for _, at := range []netip.AddrPort{d.Callers(), d.Operators()} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+at.String()+"/status", nil)
		assert.NilError(t, err)
		r.Header.Set("X-Big", strings.Repeat("x", 4<<20))
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			// The server may also break the connection before the client has sent all.
			assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
			assert.NilError(t, resp.Body.Close())
		}
	}
	assert.Assert(t, servesAllKeys(t, d)())
}

// During an update of the fleet a newer version of the program writes rules and a table
// that this one cannot decode. It must not guess, fail or lose what it had, and goes on
// with the rules that it knows for as long as it may.
func TestObjectsOfANewerVersionChangeNothing(t *testing.T) {
	c := newCluster(t)
	d := c.startVM("north")
	waitUntil(t, "all keys served", servesAllKeys(t, d))
	store := objcli.New(c.apiAddr)
	newer, err := wire.Encode(map[string]any{"v": 99, "form": 99, "rev": 1000})
	assert.NilError(t, err)
	rev := d.State().Rules.Current().Rev
	svc, _ := d.State().Service("lookup")
	table := svc.View().Rev()
	for _, name := range []string{revs.Current, "table/lookup", "seat/lookup/lookup-0", "table/lookup/x", "seat/lookup"} {
		_, err := store.Put(t.Context(), name, newer, object.AnyVersion)
		assert.NilError(t, err)
	}
	time.Sleep(time.Second) // long enough to be read
	assert.Equal(t, d.State().Rules.Current().Rev, rev)
	assert.Equal(t, svc.View().Rev(), table)
	assert.Assert(t, servesAllKeys(t, d)())
}

// A faulty peer, or one of another version, sends malformed messages. They must be
// refused and change nothing.
func TestBadPeerMessagesChangeNothing(t *testing.T) {
	c := newCluster(t)
	d := c.startVM("north")
	waitUntil(t, "all keys served", servesAllKeys(t, d))
	p := d.parts.Peers
	two, err := wire.Encode(map[any]any{"svc": "lookup", "srv": "lookup-0", 2: map[int]any{1: 9}, "yield": map[string]any{"below": 9}})
	assert.NilError(t, err)
	none, err := wire.Encode(map[string]any{"svc": "lookup", "srv": "lookup-0"})
	assert.NilError(t, err)
	for _, body := range [][]byte{nil, {}, {0xff}, []byte("hello"), two, none, make([]byte, link.MaxFrame)} {
		for _, k := range []link.Kind{link.Lessor, link.Gossip, link.Heartbeat, 0, 99} {
			p.mu.RLock()
			take := p.handlers[k]
			p.mu.RUnlock()
			if take != nil {
				assert.Assert(t, take("vm-9", body) != nil, "kind %d took %q", k, body[:min(len(body), 20)])
			}
			p.handle("vm-9", k, body)
		}
	}
	assert.Assert(t, servesAllKeys(t, d)())
}
