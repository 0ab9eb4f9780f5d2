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

const codeBye = quic.ApplicationErrorCode(0)

type frame struct {
	kind Kind
	cast bool
	body []byte
}

// sender keeps one peer called, and writes what its ring holds.
type sender struct {
	node *Node
	peer Peer
	ring *ring.Ring[frame]
	stop context.CancelFunc
	up   atomic.Bool
	held *frame // taken from the ring, not yet written
}

func newSender(n *Node, p Peer, stop context.CancelFunc) *sender {
	return &sender{node: n, peer: p, ring: ring.New[frame](ringSize, ring.DropOld), stop: stop}
}

// run calls the peer again and again. The pause between attempts grows and is
// spread by chance, so that a restarted VM is not met by all its peers at once.
func (s *sender) run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstWait, lastWait
	for ctx.Err() == nil {
		if err := s.session(ctx, wait.Reset); err != nil && ctx.Err() == nil {
			s.node.Log.Debug("peer", "vm", s.peer.ID, "err", err)
		}
		group.Sleep(ctx, wait.NextBackOff())
	}
	return nil
}

func (s *sender) session(ctx context.Context, ready func()) error {
	conf, err := s.node.Certs.Client(s.peer.ID, s.peer.Addr.Addr())
	if err != nil {
		return err
	}
	gen := s.node.Certs.Generation()
	conn, err := s.node.transport.Dial(ctx, net.UDPAddrFromAddrPort(s.peer.Addr), conf, settings())
	if err != nil {
		return kinds.Wrap(kinds.Unavailable, err, "call peer")
	}
	defer conn.CloseWithError(codeBye, "")
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return kinds.Wrap(kinds.Unavailable, err, "open stream")
	}
	ready()
	s.up.Store(true)
	defer s.up.Store(false)
	return s.write(ctx, conn, stream, gen)
}

// write ends when the connection does, so a peer that is gone is called again
// at once instead of when there is next something to say. It also ends when
// the credentials were replaced: a connection made under the old ones must not
// outlive them.
func (s *sender) write(ctx context.Context, conn *quic.Conn, stream *quic.SendStream, gen uint64) error {
	live, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(conn.Context(), cancel)()
	for {
		f, ok := s.next(live)
		if !ok {
			return context.Cause(conn.Context())
		}
		if s.node.Certs.Generation() != gen {
			s.held = &f
			return nil
		}
		if err := s.put(conn, stream, f); err != nil {
			return err
		}
	}
}

func (s *sender) next(ctx context.Context) (frame, bool) {
	if s.held == nil {
		return s.ring.Pop(ctx)
	}
	f := *s.held
	s.held = nil
	return f, true
}

func (s *sender) put(conn *quic.Conn, stream *quic.SendStream, f frame) error {
	if f.cast {
		// A datagram that cannot be sent now is one that may be lost.
		_ = conn.SendDatagram(append([]byte{byte(f.kind)}, f.body...))
		return nil
	}
	_, err := stream.Write(pack(f))
	return kinds.Wrap(kinds.Unavailable, err, "write to peer")
}
