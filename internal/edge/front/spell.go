package front

import (
	"context"
	"time"
)

// How long a request waits for its key to get another owner, when the rule does
// not say, and how often it asks again without news. A lost owner is replaced
// within a second when one thing fails; twice that turns a lost server into a
// slow answer also on a busy machine. Waiting longer only holds back an answer
// that the caller can use.
const (
	defaultPatience = 2 * time.Second
	firstPause      = 20 * time.Millisecond
	lastPause       = 160 * time.Millisecond
)

// spell is one request's time of waiting for an owner. The zero value has not
// begun.
type spell struct {
	on    bool
	pause time.Duration
	until time.Time
}

// begin counts the request among those that wait, and refuses it when they are
// too many: they hold memory and connections of callers.
func (s *spell) begin(x *exchange) bool {
	if s.on {
		return true
	}
	limit := int64(x.f.Limit.Queue)
	if n := x.f.waiting.Add(1); limit > 0 && n > limit {
		x.f.waiting.Add(-1)
		return false
	}
	patience := x.rule.Then.Wait
	if patience <= 0 {
		patience = defaultPatience
	}
	s.on, s.pause, s.until = true, firstPause, time.Now().Add(patience)
	return true
}

// wait waits for news of the owners, or a growing pause. It returns false when
// the request's patience has ended.
func (s *spell) wait(ctx context.Context, changed <-chan struct{}) bool {
	left := time.Until(s.until)
	if left <= 0 {
		return false
	}
	t := time.NewTimer(min(s.pause, left))
	defer t.Stop()
	s.pause = min(2*s.pause, lastPause)
	select {
	case <-changed:
		return true
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *spell) end(f *Front) {
	if s.on {
		f.waiting.Add(-1)
	}
}
