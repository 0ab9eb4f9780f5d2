package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/poison"
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
	if !x.f.Guard.Suspects(nil) {
		return answer, err
	}
	if opened, ok := answeredByServer(answer, err); ok {
		x.f.Guard.ServerAnswered(poison.Life{From: opened, Until: sentAt}, meta.Server)
	}
	return answer, err
}

// answeredByServer reports whether the server itself answered, and when the connection was
// opened. An answer that it is not the expected server may come from another one that has
// got its address.
func answeredByServer(answer *relay.Response, err error) (connOpened time.Time, ok bool) {
	if err == nil {
		return answer.ConnOpened, answer.Status() != http.StatusMisdirectedRequest
	}
	var fail *relay.Failure
	if !errors.As(err, &fail) {
		return time.Time{}, false
	}
	return fail.ConnOpened, fail.Refused && fail.Kind != kinds.Misrouted
}
