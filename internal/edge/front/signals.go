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

// answerHead is the status and header of an answer.
type answerHead struct {
	status int
	header http.Header
	via    string // see relay.Response
}

// headOf returns the head of an answer, also of one that refused the request, if the server
// that it was sent to gave it. An answer that it is not the expected server may come from
// another one that has got its address.
func headOf(answer *relay.Response, err error) (answerHead, bool) {
	if err == nil {
		return answerHead{answer.Status(), answer.Header(), answer.Via}, answer.Status() != http.StatusMisdirectedRequest
	}
	var fail *relay.Failure
	if !errors.As(err, &fail) {
		return answerHead{}, false
	}
	return answerHead{fail.Status, fail.Header, fail.Via}, fail.Refused && fail.Kind != kinds.Misrouted
}

// noteSignals passes on what a server says about itself with an answer to an attempt that was
// sent at a time of the boot clock.
func (x *exchange) noteSignals(p ident.Process, answer *relay.Response, err error, sent time.Time) {
	head, ok := headOf(answer, err)
	if !ok {
		return
	}
	x.noteShedding(p, head)
	if x.f.Headers.Notice == nil || x.f.OnNotice == nil {
		return
	}
	n, fault := x.f.Headers.Notice(head.header)
	x.noteFault(p, fault)
	if fault == "" || n != (notice.Notice{}) {
		x.f.OnNotice(p, n, sent)
	}
}

// noteShedding passes on that a server wants no further requests for a time.
func (x *exchange) noteShedding(p ident.Process, head answerHead) {
	if x.f.Headers.RetryAfter == nil {
		return
	}
	d, fault := x.f.Headers.RetryAfter(head.status, head.header)
	x.noteFault(p, fault)
	if d <= 0 {
		return
	}
	x.svc.Gate.Shed(p.Server, d)
	if x.f.OnShed != nil {
		x.f.OnShed(p, d, head.via)
	}
}

// noteFault passes on that a header could not be read.
func (x *exchange) noteFault(p ident.Process, fault string) {
	if fault != "" && x.f.OnLoadFault != nil {
		x.f.OnLoadFault(p.Server, fault)
	}
}
