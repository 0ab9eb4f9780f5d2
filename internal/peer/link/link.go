// Package link carries messages between entry VMs over QUIC with mutual TLS.
//
// Each node calls the peers it wants to speak to and only listens on the
// connections that others make, so two nodes never race about whose connection
// counts. A message is either sent in order on one stream, or cast as a
// datagram that may be lost; neither is ever waited for by a decision. A peer
// that is gone, slow or hostile costs one bounded ring and nothing else.
package link

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/peer/certs"
)

// Bounds and times.
const (
	// MaxFrame is the largest message, in bytes: a whole table of 64k slices,
	// the largest value the platform holds.
	MaxFrame = 1 << 20
	// MaxDatagram is the largest datagram that fits the smallest packet QUIC allows.
	MaxDatagram = 1100
	// ringSize is how many messages may wait for one peer. Newer news replaces
	// older news, so the oldest is dropped.
	ringSize = 256
	// idle ends a connection to a peer that says nothing; keep stays below a
	// third of it, so one lost packet never ends a connection.
	idle = 6 * time.Second
	keep = 1500 * time.Millisecond
	// firstWait and lastWait bound the pause between attempts to call a peer.
	firstWait = 50 * time.Millisecond
	lastWait  = 2 * time.Second
)

// Kind says which module a message is for. The numbers are part of the protocol.
type Kind uint8

// The kinds of message.
const (
	Gossip    Kind = 1 // node/gossip
	Lessor    Kind = 2 // owner/seat
	Heartbeat Kind = 3 // heartbeats
	Load      Kind = 4 // load reports
	Rules     Kind = 5 // rules/quorum
)

// Peer says where a VM listens.
type Peer struct {
	ID   ident.VM
	Addr netip.AddrPort
}

// Handler takes a message. It runs on the connection's goroutine, so it hands
// slow work on. The bytes are its own to keep.
type Handler func(from ident.VM, k Kind, body []byte)

// Options are what a node needs.
type Options struct {
	Self   ident.VM
	Addr   netip.AddrPort // where to listen; port 0 takes a free one
	Certs  *certs.Store
	Handle Handler
	Log    *slog.Logger // nil: the default logger
	// WrapPacketConn, if set, stands between the exchange and its socket, to count what
	// crosses it.
	WrapPacketConn func(net.PacketConn) net.PacketConn
}

// Node is one VM's end of the exchange. Make one with New.
type Node struct {
	Options
	udp       *net.UDPConn
	transport *quic.Transport
	group     group.Group

	mu    sync.Mutex
	peers map[ident.VM]*sender
}

func settings() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           2 * time.Second,
		MaxIdleTimeout:                 idle,
		KeepAlivePeriod:                keep,
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          1,
		InitialStreamReceiveWindow:     64 << 10,
		MaxStreamReceiveWindow:         MaxFrame,
		InitialConnectionReceiveWindow: 64 << 10,
		MaxConnectionReceiveWindow:     MaxFrame + MaxFrame/2,
		EnableDatagrams:                true,
	}
}

// New starts listening. It fails with kind Down when the address is taken.
func New(o Options) (*Node, error) {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.Addr))
	if err != nil {
		return nil, kinds.Wrap(kinds.Unavailable, err, "listen for peers")
	}
	conn := net.PacketConn(udp)
	if o.WrapPacketConn != nil {
		conn = o.WrapPacketConn(udp)
	}
	n := &Node{
		Options:   o,
		udp:       udp,
		transport: &quic.Transport{Conn: conn},
		peers:     map[ident.VM]*sender{},
	}
	l, err := n.transport.Listen(o.Certs.Server(), settings())
	if err != nil {
		udp.Close()
		return nil, kinds.Wrap(kinds.Unavailable, err, "listen for peers")
	}
	n.group.Go(func(ctx context.Context) error { return n.accept(ctx, l) })
	return n, nil
}

// Listening returns the address peers can call.
func (n *Node) Listening() netip.AddrPort {
	return n.udp.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetPeers says which VMs to be connected to. Connections to others are closed,
// and what waited for them is discarded.
func (n *Node) SetPeers(peers []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	want := make(map[ident.VM]bool, len(peers))
	for _, p := range peers {
		if p.ID == n.Self {
			continue
		}
		want[p.ID] = true
		n.addPeer(p)
	}
	for id, s := range n.peers {
		if !want[id] {
			s.stop()
			delete(n.peers, id)
		}
	}
}

func (n *Node) addPeer(p Peer) {
	if old, ok := n.peers[p.ID]; ok {
		if old.peer == p {
			return
		}
		old.stop()
	}
	ctx, cancel := context.WithCancel(n.group.Context())
	s := newSender(n, p, cancel)
	n.peers[p.ID] = s
	n.group.Go(func(context.Context) error { return s.run(ctx) })
}

// Send queues a message that arrives in order, or not at all when the
// connection breaks or the queue is full. It reports whether the peer is known
// and the message within bounds.
func (n *Node) Send(to ident.VM, k Kind, body []byte) bool {
	return n.push(to, frame{kind: k, body: body}, MaxFrame)
}

// SendDatagram queues a small message that may be lost, such as a heartbeat. It never
// waits behind a large one.
func (n *Node) SendDatagram(to ident.VM, k Kind, body []byte) bool {
	return n.push(to, frame{kind: k, body: body, cast: true}, MaxDatagram)
}

func (n *Node) push(to ident.VM, f frame, most int) bool {
	if len(f.body) > most {
		return false
	}
	n.mu.Lock()
	s := n.peers[to]
	n.mu.Unlock()
	return s != nil && s.ring.Push(context.Background(), f)
}

// Lost counts the messages that found a full queue, over all peers.
func (n *Node) Lost() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum uint64
	for _, s := range n.peers {
		sum += s.ring.Lost()
	}
	return sum
}

// Connected lists the peers that can be reached now.
func (n *Node) Connected() []ident.VM {
	n.mu.Lock()
	defer n.mu.Unlock()
	var up []ident.VM
	for id, s := range n.peers {
		if s.up.Load() {
			up = append(up, id)
		}
	}
	return up
}

// Close ends all connections and waits for every duty.
func (n *Node) Close() error {
	// The duties go first: each says goodbye on its connection, so that peers
	// notice now and not after the idle time.
	err := n.group.Close()
	transportErr := n.transport.Close()
	n.udp.Close()
	if err != nil {
		return err
	}
	return kinds.Wrap(kinds.Internal, transportErr, "close transport")
}
