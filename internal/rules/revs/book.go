package revs

import (
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Holder hands the rules in force to the request path without a lock. The zero
// value is ready: it holds no rules and does not serve.
type Holder struct {
	snap  atomic.Pointer[Snapshot]
	state atomic.Uint32
	heard atomic.Uint64
	sure  atomic.Pointer[time.Time]
}

// Current returns the rules in force. It never returns nil.
func (b *Holder) Current() *Snapshot {
	if s := b.snap.Load(); s != nil {
		return s
	}
	return empty
}

// Apply puts a snapshot in force and reports whether it did: one that is not
// newer than the present is refused, whoever asks.
func (b *Holder) Apply(s *Snapshot) bool {
	for {
		old := b.snap.Load()
		if old != nil && old.Rev >= s.Rev {
			return false
		}
		if b.snap.CompareAndSwap(old, s) {
			return true
		}
	}
}

// State says whether requests may be answered under the rules held. The request
// path asks it for each new request.
func (b *Holder) State() State { return State(b.state.Load()) }

// SetState is for the runner of [ServeCmd].
func (b *Holder) SetState(s State) { b.state.Store(uint32(s)) }

// NoteRevision notes that a revision exists, whether or not this VM can put it in force.
func (b *Holder) NoteRevision(rev ident.Revision) {
	for {
		old := b.heard.Load()
		if old >= uint64(rev) || b.heard.CompareAndSwap(old, uint64(rev)) {
			return
		}
	}
}

// Newest is the newest revision that this VM knows to exist: above the one in force
// while it is still to come, or could not be read.
func (b *Holder) Newest() ident.Revision {
	return max(ident.Revision(b.heard.Load()), b.Current().Rev)
}

// SetFreshUntil notes that the rules in force may be taken for the newest until a moment.
func (b *Holder) SetFreshUntil(until time.Time) {
	for {
		old := b.sure.Load()
		if old != nil && !until.After(*old) || b.sure.CompareAndSwap(old, &until) {
			return
		}
	}
}

var (
	errBehind = kinds.New(kinds.StaleRules, "a newer revision exists and is not in force here")
	errUnsure = kinds.New(kinds.StaleRules, "this VM cannot know whether a newer revision exists")
)

// CheckFresh returns nil while the rules in force may be taken for the newest. Otherwise a
// request that they turn away may be one that is allowed, and whoever sent it must not
// be told that the fault is its own. Where nobody ever vouched the second reason does
// not count: there [Serve] ends instead.
func (b *Holder) CheckFresh(now time.Time) error {
	if b.Newest() > b.Current().Rev {
		return errBehind
	}
	if !b.Fresh(now) {
		return errUnsure
	}
	return nil
}

// Fresh reports whether somebody vouches for the rules in force, or nobody ever did.
func (b *Holder) Fresh(now time.Time) bool {
	until := b.sure.Load()
	return until == nil || !now.After(*until)
}
