package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
)

// noteOffered records for the fleet's view that the request is for a server: for its key's
// owner when it asks for admission, or else for the server that the gate picked. A retry
// offers nothing new.
func (x *exchange) noteOffered(s ident.Server) {
	x.f.Fleet.Offered(clock.Now(), x.svc.Name, x.svc.Process(s))
}

// noteFleet records for the fleet's view how an attempt ended that was sent to a process at a
// time of the boot clock, when the time left until its deadline was left.
func (x *exchange) noteFleet(ctx context.Context, p ident.Process, answer *relay.Response, err error, sent time.Time, left time.Duration) {
	if x.f.Fleet == nil {
		return
	}
	now := clock.Now()
	if err == nil {
		l := x.loadOf(answer.Header())
		x.f.Fleet.Answered(now, sent, x.svc.Name, p, serviceTime(answer, l), l)
		return
	}
	var fail *relay.Failure
	switch {
	case !errors.As(err, &fail):
	case fail.Refused:
		l := x.loadOf(fail.Header)
		if atOnce := time.Until(x.deadline) > left/2; atOnce && x.refusedAsFull(p, fail, l) {
			x.f.Fleet.Refused(now, x.svc.Name, p, l)
		}
	case isUnanswered(ctx, fail):
		x.f.Fleet.Unanswered(now, sent, x.svc.Name, p)
	}
}

// loadOf returns the load that a server states in a header.
func (x *exchange) loadOf(h http.Header) fleet.Load {
	if x.f.Headers.Load == nil {
		return fleet.Load{}
	}
	r, ok := x.f.Headers.Load(h)
	return fleet.Load{Known: ok, Running: r.Running, Waiting: r.Waiting}
}

// serviceTime estimates the service time of an answered request; zero if the server failed,
// which it may have done at any moment, or does not state its load.
func serviceTime(answer *relay.Response, l fleet.Load) time.Duration {
	if !l.Known || answer.Status() >= http.StatusInternalServerError {
		return 0
	}
	return assign.EstimateWork(answer.FirstByte, l.Running, l.Waiting)
}

// refusedAsFull reports whether a server that refused a request at once did so because it was
// full. A server that leaves, limits its requests or is not ready refuses them at any load. A
// server also refuses a request that it has queued until the deadline, which is why refusals
// in the second half of the time that it was given do not count.
func (x *exchange) refusedAsFull(p ident.Process, fail *relay.Failure, l fleet.Load) bool {
	if fail.Status != http.StatusServiceUnavailable {
		return false
	}
	s := x.svc.Gate.Inspect(p.Server)
	return !s.Cold && !s.Limited && s.Shedding == 0 && (!l.Known || l.Running+l.Waiting >= s.Slots)
}

// isUnanswered reports whether an attempt was sent whole and its server was silent until the
// deadline that was sent with it.
func isUnanswered(ctx context.Context, fail *relay.Failure) bool {
	return fail.Sent && fail.Status == 0 && !fail.ConnClosed && !fail.PathLost && errors.Is(ctx.Err(), context.DeadlineExceeded)
}
