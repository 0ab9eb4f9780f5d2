package front

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// noteListAge records how old this VM's list of servers is when an attempt begins.
func (x *exchange) noteListAge() {
	if x.f.ServersAge != nil {
		x.decision.ListAge = x.f.ServersAge()
	}
}

// noteSent records when the first byte of an attempt was written, and how long its server had
// been leaving by then. A zero time means that nothing was written.
func (x *exchange) noteSent(to ident.Server, at time.Time) {
	if at.IsZero() {
		return
	}
	x.decision.SentAfter = at.Sub(x.decision.At)
	x.decision.Leaving = x.svc.LeavingFor(to, at)
}
