package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
)

// relayRequest sends the request to a server, and tells the Guard if the server answered.
// Where requests do not name their server, another one that has got its address may have
// answered.
func (x *exchange) relayRequest(
	ctx context.Context, cancel context.CancelCauseFunc, body io.Reader, to netip.AddrPort, meta *relay.Meta,
) (*relay.Response, error) {
	if x.f.Guard == nil || x.f.Headers.Server == "" {
		return x.f.Relay.Send(ctx, cancel, x.r, body, to, meta)
	}
	sentAt := x.f.Guard.SendTime()
	answer, err := x.f.Relay.Send(ctx, cancel, x.r, body, to, meta)
	if !sentAt.IsZero() && answeredByServer(answer, err) {
		x.f.Guard.ServerAnswered(sentAt, meta.Server)
	}
	return answer, err
}

// answeredByServer reports whether the server itself answered. An answer that it is not the
// expected server may come from another one that has got its address.
func answeredByServer(answer *relay.Response, err error) bool {
	if err == nil {
		return answer.Status() != http.StatusMisdirectedRequest
	}
	var fail *relay.Failure
	return errors.As(err, &fail) && fail.Refused && fail.Kind != kinds.Misrouted
}
