package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"

	"github.com/quic-go/quic-go"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/peer/certs"
)

// header is the length of the body, four bytes, then the kind.
const header = 5

func pack(f frame) []byte {
	b := make([]byte, header, header+len(f.body))
	binary.BigEndian.PutUint32(b, uint32(len(f.body)))
	b[4] = byte(f.kind)
	return append(b, f.body...)
}

// unpack reads one frame. A length beyond MaxFrame fails with kind Malformed
// before anything is allocated for it.
func unpack(r io.Reader) (frame, error) {
	var h [header]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return frame{}, kinds.Wrap(kinds.Unavailable, err, "read frame")
	}
	size := binary.BigEndian.Uint32(h[:])
	if size > MaxFrame {
		return frame{}, kinds.New(kinds.Malformed, "frame is too long")
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return frame{}, kinds.Wrap(kinds.Unavailable, err, "read frame")
	}
	return frame{kind: Kind(h[4]), body: body}, nil
}

func (n *Node) accept(ctx context.Context, l *quic.Listener) error {
	defer l.Close()
	for {
		conn, err := l.Accept(ctx)
		if err != nil {
			return nil // closed
		}
		n.group.Go(func(ctx context.Context) error {
			n.serve(ctx, conn)
			return nil
		})
	}
}

// serve reads everything one peer sends. The handshake already proved who it
// is; anything it sends that cannot be read ends this one connection.
func (n *Node) serve(ctx context.Context, conn *quic.Conn) {
	defer conn.CloseWithError(codeBye, "")
	from := certs.Name(conn.ConnectionState().TLS.PeerCertificates[0])
	var duties group.Group
	defer duties.Close()
	defer context.AfterFunc(ctx, func() { conn.CloseWithError(codeBye, "closing") })()
	duties.Go(func(ctx context.Context) error {
		n.datagrams(ctx, conn, from)
		return nil
	})
	stream, err := conn.AcceptUniStream(ctx)
	if err != nil {
		return
	}
	n.frames(stream, from)
}

func (n *Node) frames(stream *quic.ReceiveStream, from ident.VM) {
	r := bufio.NewReader(stream)
	for {
		f, err := unpack(r)
		if err != nil {
			if kinds.Of(err) == kinds.Malformed {
				n.Log.Warn("peer sent a bad frame", "vm", from, "err", err)
			}
			return
		}
		n.Handle(from, f.kind, f.body)
	}
}

func (n *Node) datagrams(ctx context.Context, conn *quic.Conn, from ident.VM) {
	for {
		b, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		if len(b) == 0 {
			continue
		}
		n.Handle(from, Kind(b[0]), b[1:])
	}
}
