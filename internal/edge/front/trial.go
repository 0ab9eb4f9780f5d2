package front

import (
	"errors"

	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// admitSuspect refuses a quarantined request just before it is sent: it may have been
// quarantined while it waited. It returns the trial that the attempt uses up, nil for none.
// It does not modify the exchange, whose attempts may run concurrently.
func (x *exchange) admitSuspect() (*poison.Trial, error) {
	if x.f.Guard == nil || !x.f.Guard.Suspects(nil) {
		return nil, nil
	}
	var trial *poison.Trial
	for _, p := range x.fingerprints() {
		remaining, granted := x.f.Guard.StartAttempt(p)
		if remaining > 0 {
			x.returnUnsent(trial, errQuarantined)
			return nil, &quarantineError{remaining: remaining, err: errQuarantined}
		}
		if granted != nil {
			trial = granted
		}
	}
	return trial, nil
}

// returnUnsent gives back the trial of an attempt that failed before it was sent.
func (x *exchange) returnUnsent(trial *poison.Trial, err error) {
	var fail *relay.Failure
	sent := errors.As(err, &fail) && fail.Sent
	if trial != nil && !sent {
		x.f.Guard.ReturnTrial(trial)
	}
}
