package front

import (
	"errors"
	"net/http"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/notice"
)

// answerHeader returns the header of an answer, also of one that refused the request, if the
// server that it was sent to gave it. An answer that it is not the expected server may come
// from another one that has got its address.
func answerHeader(answer *relay.Response, err error) (http.Header, bool) {
	if err == nil {
		return answer.Header(), answer.Status() != http.StatusMisdirectedRequest
	}
	var fail *relay.Failure
	if !errors.As(err, &fail) {
		return nil, false
	}
	return fail.Header, fail.Refused && fail.Kind != kinds.Misrouted
}

// noteSignals passes on what a server says about itself in the header of an answer to an
// attempt that was sent at a time of the boot clock.
func (x *exchange) noteSignals(p ident.Process, answer *relay.Response, err error, sent time.Time) {
	if x.f.Headers.Notice == nil || x.f.OnNotice == nil {
		return
	}
	h, ok := answerHeader(answer, err)
	if !ok {
		return
	}
	n, fault := x.f.Headers.Notice(h)
	if fault != "" && x.f.OnLoadFault != nil {
		x.f.OnLoadFault(p.Server, fault)
	}
	if fault == "" || n != (notice.Notice{}) {
		x.f.OnNotice(p, n, sent)
	}
}
