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

var loopback = netip.MustParseAddr("127.0.0.1")

// received is a message passed to the handler of a node.
type received struct {
	from ident.VM
	kind Kind
	body string
}

// testNode is a node that puts the messages it receives into a channel.
type testNode struct {
	*Node
	certs *certs.Store
	inbox chan received
}

func authority(t *testing.T) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority(time.Hour)
	assert.NilError(t, err)
	return a
}

func load(t *testing.T, s *certs.Store, a *certs.Authority, vm ident.VM) {
	t.Helper()
	p, err := a.Issue(vm, loopback)
	assert.NilError(t, err)
	assert.NilError(t, s.Load(p))
}

func open(t *testing.T, a *certs.Authority, vm ident.VM) testNode {
	t.Helper()
	tn := testNode{certs: &certs.Store{}, inbox: make(chan received, 64)}
	load(t, tn.certs, a, vm)
	n, err := New(Options{
		Self: vm, Addr: netip.AddrPortFrom(loopback, 0), Certs: tn.certs,
		Handle: func(from ident.VM, k Kind, b []byte) { tn.inbox <- received{from, k, string(b)} },
	})
	assert.NilError(t, err)
	tn.Node = n
	t.Cleanup(func() { assert.NilError(t, n.Close()) })
	return tn
}

// connectTo sets the peers of the node.
func (tn testNode) connectTo(others ...testNode) {
	var peers []Peer
	for _, o := range others {
		peers = append(peers, Peer{o.Self, o.Listening()})
	}
	tn.SetPeers(peers)
}

func TestMessagesArriveInOrderFromAnAuthenticatedSender(t *testing.T) {
	a := authority(t)
	one, two := open(t, a, "vm-1"), open(t, a, "vm-2")
	one.connectTo(one, two)
	long := string(bytes.Repeat([]byte("x"), MaxFrame))
	for _, body := range []string{"first", "", long} {
		assert.Assert(t, one.Send("vm-2", Gossip, []byte(body)))
	}
	assert.Equal(t, <-two.inbox, received{"vm-1", Gossip, "first"})
	assert.Equal(t, <-two.inbox, received{"vm-1", Gossip, ""})
	assert.Assert(t, (<-two.inbox).body == long)
	assert.Assert(t, !one.Send("vm-2", Gossip, []byte(long+"x")), "too large")
	assert.Assert(t, !one.SendDatagram("vm-2", Heartbeat, make([]byte, MaxDatagram+1)), "too large")
	assert.Assert(t, !one.Send("vm-9", Gossip, nil), "not a peer")
	assert.Assert(t, !one.Send("vm-1", Gossip, nil), "a node is not its own peer")
	assert.DeepEqual(t, one.Connected(), []ident.VM{"vm-2"})
}

func TestDatagramsArrive(t *testing.T) {
	a := authority(t)
	one, two := open(t, a, "vm-1"), open(t, a, "vm-2")
	one.connectTo(two)
	assert.Assert(t, one.Send("vm-2", Gossip, []byte("up")))
	assert.Equal(t, <-two.inbox, received{"vm-1", Gossip, "up"})
	// A datagram may be lost, so it is sent until one arrives.
	for {
		assert.Assert(t, one.SendDatagram("vm-2", Heartbeat, []byte("b")))
		select {
		case m := <-two.inbox:
			assert.Equal(t, m, received{"vm-1", Heartbeat, "b"})
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// A machine on the same network runs the same program with certificates from another
// authority, or with the certificate of another VM. No message from it may reach a
// handler, and no message may be sent to it.
func TestUnauthenticatedPeersGetNothing(t *testing.T) {
	a := authority(t)
	ours := open(t, a, "vm-1")
	stranger := open(t, authority(t), "vm-2")
	impostor := open(t, a, "vm-3")
	stranger.connectTo(ours)
	ours.SetPeers([]Peer{{"vm-2", stranger.Listening()}, {"vm-4", impostor.Listening()}})
	stranger.Send("vm-1", Gossip, []byte("evil"))
	ours.Send("vm-2", Gossip, []byte("secret"))
	ours.Send("vm-4", Gossip, []byte("secret"))

	// A valid peer that connects afterwards must not be affected by the refusals.
	friend := open(t, a, "vm-5")
	friend.connectTo(ours)
	friend.Send("vm-1", Gossip, []byte("hello"))
	assert.Equal(t, <-ours.inbox, received{"vm-5", Gossip, "hello"})
	for _, tn := range []testNode{ours, stranger, impostor} {
		assert.Equal(t, len(tn.inbox), 0, "%s received a message", tn.Self)
	}
	assert.Equal(t, len(ours.Connected()), 0)
}

// An operator replaces the authority because a key leaked. The VMs load the new certificates
// one after another without a restart. Once all have, messages must be delivered again,
// and only under the new authority.
func TestCertificatesAreReplacedWithoutRestart(t *testing.T) {
	old, fresh := authority(t), authority(t)
	one, two := open(t, old, "vm-1"), open(t, old, "vm-2")
	one.connectTo(two)
	one.Send("vm-2", Gossip, []byte("under the old"))
	assert.Equal(t, (<-two.inbox).body, "under the old")
	load(t, one.certs, fresh, "vm-1")
	load(t, two.certs, fresh, "vm-2")
	one.Send("vm-2", Gossip, []byte("under the new"))
	assert.Equal(t, (<-two.inbox).body, "under the new")

	late := open(t, old, "vm-3")
	late.connectTo(two)
	late.Send("vm-2", Gossip, []byte("too late"))
	one.Send("vm-2", Gossip, []byte("again"))
	assert.Equal(t, (<-two.inbox).body, "again")
	assert.Equal(t, len(two.inbox), 0)
}

// A peer ends, and another process with its name and certificate listens at the same
// address. The sender must connect to it without any action.
func TestAPeerThatRestartsIsDialedAgain(t *testing.T) {
	a := authority(t)
	one, two := open(t, a, "vm-1"), open(t, a, "vm-2")
	one.connectTo(two)
	one.Send("vm-2", Gossip, []byte("before"))
	assert.Equal(t, (<-two.inbox).body, "before")
	at := two.Listening()
	assert.NilError(t, two.Close())

	again := make(chan received, 1024)
	n, err := New(Options{
		Self: "vm-2", Addr: at, Certs: two.certs,
		Handle: func(from ident.VM, k Kind, b []byte) { again <- received{from, k, string(b)} },
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

// A faulty or malicious peer announces a frame of four gigabytes. Allocating it would
// use up the memory of the VM.
func TestAnOverlongFrameIsRefusedBeforeItIsRead(t *testing.T) {
	_, err := decodeFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1}))
	assert.Equal(t, kinds.Of(err), kinds.Malformed)
	_, err = decodeFrame(bytes.NewReader([]byte{0, 0, 0, 9, 1, 'x'}))
	assert.Equal(t, kinds.Of(err), kinds.Unavailable)
}

func FuzzDecodeFrame(f *testing.F) {
	f.Add(encodeFrame(frame{kind: Lessor, body: []byte("body")}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeFrame(bytes.NewReader(b))
		if err != nil {
			return
		}
		again := encodeFrame(m)
		assert.DeepEqual(t, again, b[:len(again)])
	})
}

func TestCloseWaitsForAllGoroutines(t *testing.T) {
	a := authority(t)
	one, two := open(t, a, "vm-1"), open(t, a, "vm-2")
	one.connectTo(two)
	one.Send("vm-2", Gossip, []byte("x"))
	<-two.inbox
	assert.NilError(t, one.Close())
	assert.ErrorIs(t, one.group.Context().Err(), context.Canceled)
}
