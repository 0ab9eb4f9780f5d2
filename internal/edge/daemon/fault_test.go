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

// steady asks for every key through a VM until stop is closed, and notes the
// first answer that was not good.
func steady(t *testing.T, g *group.Group, d *Daemon, stop <-chan struct{}) {
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

// deputised reports whether the seat of each of the three lookup servers has a
// holder and a deputy.
func (s *site) deputised() bool {
	n := 0
	for _, d := range s.vms {
		for _, seat := range d.Status().Seats {
			if seat.Authority == "holding" && seat.Deputy != "" {
				n++
			}
		}
	}
	return n == 3
}

// An entry VM that holds seats is replaced during the day. The servers whose
// authority it held must not lose their leases meanwhile, or every replacement
// would be a second of blank screens.
func TestAVMThatLeavesHandsItsSeatsOver(t *testing.T) {
	s := newSite(t)
	for _, c := range []ident.Centre{"north", "west", "east"} {
		s.start(c)
	}
	for _, d := range s.vms {
		until(t, "all keys served", serves(t, d))
	}
	until(t, "every seat has a deputy", s.deputised)
	leaver, others := s.vms[0], s.vms[1:]
	for i, d := range s.vms {
		if len(d.Keeper().Held()) > len(leaver.Keeper().Held()) {
			leaver = d
			others = append(append([]*Daemon{}, s.vms[:i]...), s.vms[i+1:]...)
		}
	}
	assert.Assert(t, len(leaver.Keeper().Held()) > 0)
	var g group.Group
	stop := make(chan struct{})
	for _, d := range others {
		steady(t, &g, d, stop)
	}
	me := vmlist.VM{ID: leaver.cfg.VM, Addr: leaver.Peers(), Centre: leaver.cfg.Centre, State: vmlist.Leaving}
	s.api.SetVM(me)
	time.Sleep(1200 * time.Millisecond) // the list is read once a second
	assert.NilError(t, leaver.Close())
	me.State = vmlist.Gone
	s.api.SetVM(me)
	time.Sleep(2 * time.Second) // several leases long
	close(stop)
	assert.NilError(t, g.Wait())
	held := 0
	for _, d := range others {
		held += len(d.Keeper().Held())
	}
	assert.Equal(t, held, 3)
}

// A backend server says that it will leave. Its keys go to others while it
// still serves them, so that nobody notices; afterwards it owns nothing.
func TestADrainedServersKeysLeaveUnnoticed(t *testing.T) {
	s := newSite(t)
	for _, c := range []ident.Centre{"north", "west"} {
		s.start(c)
	}
	for _, d := range s.vms {
		until(t, "all keys served", serves(t, d))
	}
	var g group.Group
	stop := make(chan struct{})
	for _, d := range s.vms {
		steady(t, &g, d, stop)
	}
	s.origins["lookup-0"].Drain()
	start := time.Now()
	svc, _ := s.vms[0].State().Service("lookup")
	until(t, "nothing left to the drained server", func() bool {
		return svc.View().Table().SetOf("lookup-0").Empty()
	})
	t.Logf("drained after %v", time.Since(start))
	close(stop)
	assert.NilError(t, g.Wait())
	assert.Assert(t, serves(t, s.vms[1])())
}

// A caller sends headers of several megabytes, to either listener. They must not
// be held in memory, and the next caller must not notice.
func TestOversizedHeadersAreRefusedAtBothDoors(t *testing.T) {
	s := newSite(t)
	d := s.start("north")
	until(t, "all keys served", serves(t, d))
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
	assert.Assert(t, serves(t, d)())
}

// During an update of the fleet a newer version of the program writes rules and
// a table that this one does not understand. It must neither guess, nor fall
// over, nor lose what it had: it goes on under the rules it knows, for as long
// as it may.
func TestObjectsOfANewerVersionChangeNothing(t *testing.T) {
	s := newSite(t)
	d := s.start("north")
	until(t, "all keys served", serves(t, d))
	store := objcli.New(s.at)
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
	assert.Assert(t, serves(t, d)())
}

// A peer of another version, or one with a fault, sends what makes no sense.
// It is refused as a whole and changes nothing.
func TestBadPeerMessagesChangeNothing(t *testing.T) {
	s := newSite(t)
	d := s.start("north")
	until(t, "all keys served", serves(t, d))
	p := d.parts.Peers
	two, err := wire.Encode(map[any]any{"svc": "lookup", "srv": "lookup-0", 2: map[int]any{1: 9}, "yield": map[string]any{"below": 9}})
	assert.NilError(t, err)
	none, err := wire.Encode(map[string]any{"svc": "lookup", "srv": "lookup-0"})
	assert.NilError(t, err)
	for _, body := range [][]byte{nil, {}, {0xff}, []byte("hello"), two, none, make([]byte, link.MaxFrame)} {
		for _, k := range []link.Kind{link.Lessor, link.Gossip, link.Heartbeat, 0, 99} {
			p.mu.RLock()
			take := p.takers[k]
			p.mu.RUnlock()
			if take != nil {
				assert.Assert(t, take("vm-9", body) != nil, "kind %d took %q", k, body[:min(len(body), 20)])
			}
			p.handle("vm-9", k, body)
		}
	}
	assert.Assert(t, serves(t, d)())
}
