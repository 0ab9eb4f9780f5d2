package front

import (
	"context"
	"errors"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/edge/httpd"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/abort"
)

// mayAbort reports whether this VM may end an attempt for what it believes.
func (f *Front) mayAbort(c abort.Cause, a abort.Attempt) bool {
	return abort.Allowed(c, a, f.IsClosing())
}

// mayInterrupt returns the function that says whether an attempt that was sent may be ended
// because the path to its server is lost, nil if no attempt of the request ever may.
func (x *exchange) mayInterrupt() func() bool {
	if !x.rule.Then.Idempotent {
		return nil
	}
	return x.f.abortsOnLostPath
}

func (f *Front) abortsOnLostPath() bool {
	return f.mayAbort(abort.PathLost, abort.Attempt{Sent: true, Repeatable: true})
}

// noteGaveUp records in the decision that an attempt ended because this VM gave it up.
func (x *exchange) noteGaveUp(ctx context.Context, err error) {
	if reason := gaveUpReason(ctx, err); reason != "" {
		x.recordGaveUp(reason)
	}
}

func (x *exchange) recordGaveUp(reason record.GaveUp) {
	x.decision.GaveUp, x.decision.GaveUpAfter = reason, time.Since(x.decision.At)
}

// gaveUpReason returns why this VM gave up an attempt that was sent, empty if it did not.
func gaveUpReason(ctx context.Context, err error) record.GaveUp {
	var fail *relay.Failure
	sent := errors.As(err, &fail) && fail.Sent && !fail.Refused
	switch cause := context.Cause(ctx); {
	case sent && fail.PathLost:
		return record.GaveUpPathLost
	case sent && fail.Stalled:
		return record.GaveUpStalled
	case sent && errors.Is(cause, errOwnerChanged):
		return record.GaveUpOwnerChanged
	case sent && errors.Is(cause, httpd.ErrStopping):
		return record.GaveUpStopping
	}
	return ""
}
