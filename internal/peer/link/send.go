package link

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cenkalti/backoff/v5"
	"github.com/quic-go/quic-go"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/ring"
)

// codeClosed is the QUIC application error code for a regular close.
const codeClosed = quic.ApplicationErrorCode(0)

// frame is a message to be sent, or one that was received.
type frame struct {
	kind     Kind
	datagram bool
	body     []byte
}

// sender keeps a connection to one peer, and sends the messages in its ring.
type sender struct {
	node      *Node
	peer      Peer
	ring      *ring.Ring[frame]
	stop      context.CancelFunc
	connected atomic.Bool
	unsent    *frame // taken from the ring but not sent yet
}

func newSender(n *Node, p Peer, stop context.CancelFunc) *sender {
	return &sender{node: n, peer: p, ring: ring.New[frame](ringSize, ring.DropOld), stop: stop}
}

// run dials the peer whenever there is no connection. The delay between attempts grows and
// is randomized, so that not all peers dial a restarted VM at once.
func (s *sender) run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = minRedialDelay, maxRedialDelay
	for ctx.Err() == nil {
		if err := s.session(ctx, wait.Reset); err != nil && ctx.Err() == nil {
			s.node.Log.Debug("peer", "vm", s.peer.ID, "err", err)
		}
		group.Sleep(ctx, wait.NextBackOff())
	}
	return nil
}

// session dials the peer, calls ready, and sends messages until the connection ends.
func (s *sender) session(ctx context.Context, ready func()) error {
	conf, err := s.node.Certs.Client(s.peer.ID, s.peer.Addr.Addr())
	if err != nil {
		return err
	}
	gen := s.node.Certs.Generation()
	conn, err := s.node.transport.Dial(ctx, net.UDPAddrFromAddrPort(s.peer.Addr), conf, quicConfig())
	if err != nil {
		return kinds.Wrap(kinds.Unavailable, err, "dial peer")
	}
	defer conn.CloseWithError(codeClosed, "")
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return kinds.Wrap(kinds.Unavailable, err, "open stream")
	}
	ready()
	s.connected.Store(true)
	defer s.connected.Store(false)
	return s.write(ctx, conn, stream, gen)
}

// write sends messages until the connection ends, so that a lost peer is dialed again at
// once and not only when there is a message for it. It also ends when the credentials were
// replaced, because connections made with the old ones must be closed.
func (s *sender) write(ctx context.Context, conn *quic.Conn, stream *quic.SendStream, gen uint64) error {
	connCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(conn.Context(), cancel)()
	for {
		f, ok := s.next(connCtx)
		if !ok {
			return context.Cause(conn.Context())
		}
		if s.node.Certs.Generation() != gen {
			s.unsent = &f
			return nil
		}
		if err := s.writeFrame(conn, stream, f); err != nil {
			return err
		}
	}
}

// next returns the unsent message, if any, or waits for one from the ring.
func (s *sender) next(ctx context.Context) (frame, bool) {
	if s.unsent == nil {
		return s.ring.Pop(ctx)
	}
	f := *s.unsent
	s.unsent = nil
	return f, true
}

func (s *sender) writeFrame(conn *quic.Conn, stream *quic.SendStream, f frame) error {
	if f.datagram {
		// The error is ignored, because datagrams may be lost.
		_ = conn.SendDatagram(append([]byte{byte(f.kind)}, f.body...))
		return nil
	}
	_, err := stream.Write(encodeFrame(f))
	return kinds.Wrap(kinds.Unavailable, err, "write to peer")
}
