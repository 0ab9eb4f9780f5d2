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

// headerSize is the size of a frame header in bytes: four bytes with the length of the
// body, and one with the kind.
const headerSize = 5

// encodeFrame returns the header and body of a frame.
func encodeFrame(f frame) []byte {
	b := make([]byte, headerSize, headerSize+len(f.body))
	binary.BigEndian.PutUint32(b, uint32(len(f.body)))
	b[4] = byte(f.kind)
	return append(b, f.body...)
}

// decodeFrame reads one frame. A length above MaxFrame fails with kind Malformed before
// memory is allocated for it.
func decodeFrame(r io.Reader) (frame, error) {
	var h [headerSize]byte
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
			return nil // the node is closing
		}
		n.group.Go(func(ctx context.Context) error {
			n.serve(ctx, conn)
			return nil
		})
	}
}

// serve reads all messages of one peer, which the handshake has authenticated. A frame that
// cannot be decoded ends this connection only.
func (n *Node) serve(ctx context.Context, conn *quic.Conn) {
	defer conn.CloseWithError(codeClosed, "")
	from := certs.Name(conn.ConnectionState().TLS.PeerCertificates[0])
	var readers group.Group
	defer readers.Close()
	defer context.AfterFunc(ctx, func() { conn.CloseWithError(codeClosed, "closing") })()
	readers.Go(func(ctx context.Context) error {
		n.readDatagrams(ctx, conn, from)
		return nil
	})
	stream, err := conn.AcceptUniStream(ctx)
	if err != nil {
		return
	}
	n.readFrames(stream, from)
}

func (n *Node) readFrames(stream *quic.ReceiveStream, from ident.VM) {
	r := bufio.NewReader(stream)
	for {
		f, err := decodeFrame(r)
		if err != nil {
			if kinds.Of(err) == kinds.Malformed {
				n.Log.Warn("peer sent a malformed frame; closing the connection", "vm", from, "err", err)
			}
			return
		}
		n.Handle(from, f.kind, f.body)
	}
}

func (n *Node) readDatagrams(ctx context.Context, conn *quic.Conn, from ident.VM) {
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
