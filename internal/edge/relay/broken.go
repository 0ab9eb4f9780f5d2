package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// connBroken reports whether the server ended the connection on which the request was
// sent. net/http then tries another connection for some requests; that attempt was
// stopped, or the connection could not be opened.
func connBroken(caller context.Context, err error) bool {
	if caller.Err() != nil {
		return errors.Is(context.Cause(caller), errNoPermit)
	}
	var op *net.OpError
	return endedByServer(err) || errors.As(err, &op) && op.Op == "dial"
}

// endedByServer reports whether a read or write failed because the server ended the
// connection. An attempt that was ended on this side fails with other errors.
func endedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// newTruncated returns the Failure of an answer whose body could not be read to its end.
func newTruncated(err error) error {
	return &Failure{Kind: kinds.Truncated, Sent: true, ConnClosed: endedByServer(err), err: err}
}
