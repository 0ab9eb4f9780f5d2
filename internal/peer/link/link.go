// Package link sends messages between entry VMs over QUIC with mutual TLS.
//
// Each node sends only on the connections that it dials, and only receives on those that
// others dial, so two nodes need not agree on which of two connections to use. A message is
// sent either in order on one stream, or as a datagram that may be lost. Callers never
// wait for either. A peer that is down, slow or malicious costs at most one bounded ring.
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

// Limits and timeouts.
const (
	// MaxFrame is the largest body of a message in bytes. It is the size of a whole
	// ownership table of 64k slices, and of the largest value that the platform stores.
	MaxFrame = 1 << 20
	// MaxDatagram is the largest datagram in bytes; it fits the smallest packet size that
	// QUIC allows.
	MaxDatagram = 1100
	// ringSize is the number of messages that may wait for one peer. When it is full the
	// oldest one is dropped, because newer messages replace older ones.
	ringSize = 256
	// idleTimeout is the time after which a connection without packets is closed.
	// keepAlivePeriod is below a third of it, so that one lost packet does not close
	// a connection.
	idleTimeout     = 6 * time.Second
	keepAlivePeriod = 1500 * time.Millisecond
	// minRedialDelay and maxRedialDelay limit the delay between attempts to dial a peer.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// Kind says which package handles a message. The numbers are part of the protocol.
type Kind uint8

// Kinds of messages, with the packages that handle them.
const (
	Gossip    Kind = 1 // node/gossip
	Lessor    Kind = 2 // owner/lessor
	Heartbeat Kind = 3 // heartbeats
	Load      Kind = 4 // load reports
	Rules     Kind = 5 // rules/quorum
)

// Peer is a VM and the address it listens on.
type Peer struct {
	ID   ident.VM
	Addr netip.AddrPort
}

// Handler handles a message. It runs on the goroutine of the connection, so it must leave
// slow work to another goroutine. It may keep body.
type Handler func(from ident.VM, k Kind, body []byte)

// Options configures a node.
type Options struct {
	Self   ident.VM
	Addr   netip.AddrPort // address to listen on; port 0 chooses a free port
	Certs  *certs.Store
	Handle Handler
	Log    *slog.Logger // nil means the default logger
	// WrapPacketConn, if set, wraps the UDP socket of the node, for example to count the
	// traffic.
	WrapPacketConn func(net.PacketConn) net.PacketConn
}

// Node is the endpoint of one VM: it sends and receives its messages. Create one with New.
type Node struct {
	Options
	udp       *net.UDPConn
	transport *quic.Transport
	group     group.Group

	mu    sync.Mutex
	peers map[ident.VM]*sender
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           2 * time.Second,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          1,
		InitialStreamReceiveWindow:     64 << 10,
		MaxStreamReceiveWindow:         MaxFrame,
		InitialConnectionReceiveWindow: 64 << 10,
		MaxConnectionReceiveWindow:     MaxFrame + MaxFrame/2,
		EnableDatagrams:                true,
	}
}

// New starts a node. It fails with kind Unavailable when it cannot listen on the address.
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
	l, err := n.transport.Listen(o.Certs.Server(), quicConfig())
	if err != nil {
		udp.Close()
		return nil, kinds.Wrap(kinds.Unavailable, err, "listen for peers")
	}
	n.group.Go(func(ctx context.Context) error { return n.accept(ctx, l) })
	return n, nil
}

// Listening returns the address that the node listens on.
func (n *Node) Listening() netip.AddrPort {
	return n.udp.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetPeers sets the VMs to connect to. Connections to other VMs are closed, and the
// messages waiting for them are discarded.
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

// Send queues a message that is delivered in order, or lost when the connection breaks or
// the queue is full. It reports whether the peer is known and the message is not too large.
func (n *Node) Send(to ident.VM, k Kind, body []byte) bool {
	return n.push(to, frame{kind: k, body: body}, MaxFrame)
}

// SendDatagram queues a small message that may be lost, such as a heartbeat. It is sent
// outside the stream, so it is not retransmitted or delivered in order.
func (n *Node) SendDatagram(to ident.VM, k Kind, body []byte) bool {
	return n.push(to, frame{kind: k, body: body, datagram: true}, MaxDatagram)
}

func (n *Node) push(to ident.VM, f frame, maxSize int) bool {
	if len(f.body) > maxSize {
		return false
	}
	n.mu.Lock()
	s := n.peers[to]
	n.mu.Unlock()
	return s != nil && s.ring.Push(context.Background(), f)
}

// Lost returns the number of messages dropped from the full queues of all peers.
func (n *Node) Lost() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum uint64
	for _, s := range n.peers {
		sum += s.ring.Lost()
	}
	return sum
}

// Connected returns the peers that this node has a connection to.
func (n *Node) Connected() []ident.VM {
	n.mu.Lock()
	defer n.mu.Unlock()
	var up []ident.VM
	for id, s := range n.peers {
		if s.connected.Load() {
			up = append(up, id)
		}
	}
	return up
}

// Close closes all connections and waits for all goroutines of the node.
func (n *Node) Close() error {
	// The goroutines end first: each closes its connection, so that peers notice at
	// once and not after the idle timeout.
	err := n.group.Close()
	transportErr := n.transport.Close()
	n.udp.Close()
	if err != nil {
		return err
	}
	return kinds.Wrap(kinds.Internal, transportErr, "close transport")
}
