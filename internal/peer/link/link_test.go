package link

import (
	"bytes"
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/peer/certs"
)

var home = netip.MustParseAddr("127.0.0.1")

type got struct {
	from ident.VM
	kind Kind
	body string
}

type end struct {
	*Node
	certs *certs.Store
	inbox chan got
}

func authority(t *testing.T) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority(time.Hour)
	assert.NilError(t, err)
	return a
}

func load(t *testing.T, s *certs.Store, a *certs.Authority, vm ident.VM) {
	t.Helper()
	p, err := a.Issue(vm, home)
	assert.NilError(t, err)
	assert.NilError(t, s.Load(p))
}

func open(t *testing.T, a *certs.Authority, vm ident.VM) end {
	t.Helper()
	e := end{certs: &certs.Store{}, inbox: make(chan got, 64)}
	load(t, e.certs, a, vm)
	n, err := New(Options{
		Self: vm, Addr: netip.AddrPortFrom(home, 0), Certs: e.certs,
		Handle: func(from ident.VM, k Kind, b []byte) { e.inbox <- got{from, k, string(b)} },
	})
	assert.NilError(t, err)
	e.Node = n
	t.Cleanup(func() { assert.NilError(t, n.Close()) })
	return e
}

func (e end) knows(others ...end) {
	var peers []Peer
	for _, o := range others {
		peers = append(peers, Peer{o.Self, o.Listening()})
	}
	e.SetPeers(peers)
}

func TestMessagesArriveInOrderFromAProvenSender(t *testing.T) {
	a := authority(t)
	one, two := open(t, a, "vm-1"), open(t, a, "vm-2")
	one.knows(one, two)
	long := string(bytes.Repeat([]byte("x"), MaxFrame))
	for _, body := range []string{"first", "", long} {
		assert.Assert(t, one.Send("vm-2", Gossip, []byte(body)))
	}
	assert.Equal(t, <-two.inbox, got{"vm-1", Gossip, "first"})
	assert.Equal(t, <-two.inbox, got{"vm-1", Gossip, ""})
	assert.Assert(t, (<-two.inbox).body == long)
	assert.Assert(t, !one.Send("vm-2", Gossip, []byte(long+"x")), "beyond the bound")
	assert.Assert(t, !one.SendDatagram("vm-2", Heartbeat, make([]byte, MaxDatagram+1)), "beyond the bound")
	assert.Assert(t, !one.Send("vm-9", Gossip, nil), "not a peer")
	assert.Assert(t, !one.Send("vm-1", Gossip, nil), "a node is not its own peer")
	assert.DeepEqual(t, one.Connected(), []ident.VM{"vm-2"})
}

func TestCastArrivesAsADatagram(t *testing.T) {
	a := authority(t)
	one, two := open(t, a, "vm-1"), open(t, a, "vm-2")
	one.knows(two)
	assert.Assert(t, one.Send("vm-2", Gossip, []byte("up")))
	assert.Equal(t, <-two.inbox, got{"vm-1", Gossip, "up"})
	// A datagram may be lost, so the sender of heartbeats simply sends the next.
	for {
		assert.Assert(t, one.SendDatagram("vm-2", Heartbeat, []byte("b")))
		select {
		case m := <-two.inbox:
			assert.Equal(t, m, got{"vm-1", Heartbeat, "b"})
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// A machine on the same network runs the same program with certificates from
// an authority of its own, or with a certificate that belongs to another VM.
// Nothing it sends may reach a handler, and nothing of ours may reach it.
func TestAStrangerGetsNothing(t *testing.T) {
	a := authority(t)
	ours := open(t, a, "vm-1")
	stranger := open(t, authority(t), "vm-2")
	impostor := open(t, a, "vm-3")
	stranger.knows(ours)
	ours.SetPeers([]Peer{{"vm-2", stranger.Listening()}, {"vm-4", impostor.Listening()}})
	stranger.Send("vm-1", Gossip, []byte("evil"))
	ours.Send("vm-2", Gossip, []byte("secret"))
	ours.Send("vm-4", Gossip, []byte("secret"))

	// A friend that connects afterwards is heard: the refusals cost nothing.
	friend := open(t, a, "vm-5")
	friend.knows(ours)
	friend.Send("vm-1", Gossip, []byte("hello"))
	assert.Equal(t, <-ours.inbox, got{"vm-5", Gossip, "hello"})
	for _, e := range []end{ours, stranger, impostor} {
		assert.Equal(t, len(e.inbox), 0, "%s heard something", e.Self)
	}
	assert.Equal(t, len(ours.Connected()), 0)
}

// The operator replaces the authority because a key leaked. VMs load the new
// certificates one after the other without a restart; once all have, messages
// flow again, and only under the new authority.
func TestCertificatesAreReplacedWithoutRestart(t *testing.T) {
	old, fresh := authority(t), authority(t)
	one, two := open(t, old, "vm-1"), open(t, old, "vm-2")
	one.knows(two)
	one.Send("vm-2", Gossip, []byte("under the old"))
	assert.Equal(t, (<-two.inbox).body, "under the old")
	load(t, one.certs, fresh, "vm-1")
	load(t, two.certs, fresh, "vm-2")
	one.Send("vm-2", Gossip, []byte("under the new"))
	assert.Equal(t, (<-two.inbox).body, "under the new")

	late := open(t, old, "vm-3")
	late.knows(two)
	late.Send("vm-2", Gossip, []byte("too late"))
	one.Send("vm-2", Gossip, []byte("again"))
	assert.Equal(t, (<-two.inbox).body, "again")
	assert.Equal(t, len(two.inbox), 0)
}

// A peer crashes and its replacement listens at the same address under a new
// name. The sender must notice by itself, without anyone closing anything.
func TestAPeerThatRestartsIsCalledAgain(t *testing.T) {
	a := authority(t)
	one, two := open(t, a, "vm-1"), open(t, a, "vm-2")
	one.knows(two)
	one.Send("vm-2", Gossip, []byte("before"))
	assert.Equal(t, (<-two.inbox).body, "before")
	at := two.Listening()
	assert.NilError(t, two.Close())

	again := make(chan got, 1024)
	n, err := New(Options{
		Self: "vm-2", Addr: at, Certs: two.certs,
		Handle: func(from ident.VM, k Kind, b []byte) { again <- got{from, k, string(b)} },
	})
	assert.NilError(t, err)
	defer n.Close()
	for {
		one.Send("vm-2", Gossip, []byte("after"))
		select {
		case m := <-again:
			assert.Equal(t, m.body, "after")
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// A broken or hostile peer claims a frame of four gigabytes. Believing the
// length would take the VM's whole memory.
func TestAnOverlongFrameIsRefusedBeforeItIsRead(t *testing.T) {
	_, err := unpack(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1}))
	assert.Equal(t, kinds.Of(err), kinds.Malformed)
	_, err = unpack(bytes.NewReader([]byte{0, 0, 0, 9, 1, 'x'}))
	assert.Equal(t, kinds.Of(err), kinds.Unavailable)
}

func FuzzUnpack(f *testing.F) {
	f.Add(pack(frame{kind: Lessor, body: []byte("body")}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := unpack(bytes.NewReader(b))
		if err != nil {
			return
		}
		again := pack(m)
		assert.DeepEqual(t, again, b[:len(again)])
	})
}

func TestCloseWaitsForEveryDuty(t *testing.T) {
	a := authority(t)
	one, two := open(t, a, "vm-1"), open(t, a, "vm-2")
	one.knows(two)
	one.Send("vm-2", Gossip, []byte("x"))
	<-two.inbox
	assert.NilError(t, one.Close())
	assert.ErrorIs(t, one.group.Context().Err(), context.Canceled)
}
