package revs

import (
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Holder gives the request path lock-free access to the rules in force. The zero value is
// ready for use: it holds no rules and does not serve.
type Holder struct {
	current     atomic.Pointer[Snapshot]
	state       atomic.Uint32
	newestKnown atomic.Uint64             // newest revision known to exist
	freshUntil  atomic.Pointer[time.Time] // nil until the first SetFreshUntil
}

// Current returns the rules in force. It never returns nil.
func (h *Holder) Current() *Snapshot {
	if s := h.current.Load(); s != nil {
		return s
	}
	return emptySnapshot
}

// Apply puts a snapshot in force if it is newer than the current one, and reports whether
// it did.
func (h *Holder) Apply(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Rev >= s.Rev {
			return false
		}
		if h.current.CompareAndSwap(old, s) {
			return true
		}
	}
}

// State says whether requests may be answered under the current rules. The request path
// checks it for each new request.
func (h *Holder) State() State { return State(h.state.Load()) }

// SetState sets the state. It is called for each [ServeCmd].
func (h *Holder) SetState(s State) { h.state.Store(uint32(s)) }

// NoteRevision records that a revision exists, whether or not this VM can put it in force.
func (h *Holder) NoteRevision(rev ident.Revision) {
	for {
		old := h.newestKnown.Load()
		if old >= uint64(rev) || h.newestKnown.CompareAndSwap(old, uint64(rev)) {
			return
		}
	}
}

// Newest returns the newest revision that this VM knows to exist. It is above the one in
// force while a newer one has not arrived or could not be read.
func (h *Holder) Newest() ident.Revision {
	return max(ident.Revision(h.newestKnown.Load()), h.Current().Rev)
}

// SetFreshUntil records that the rules in force may be considered the newest until the
// given time. An earlier time than the one recorded has no effect.
func (h *Holder) SetFreshUntil(until time.Time) {
	for {
		old := h.freshUntil.Load()
		if old != nil && !until.After(*old) || h.freshUntil.CompareAndSwap(old, &until) {
			return
		}
	}
}

var (
	errBehind           = kinds.New(kinds.StaleRules, "a newer revision exists and is not in force on this VM")
	errFreshnessUnknown = kinds.New(kinds.StaleRules, "this VM cannot know whether a newer revision exists")
)

// CheckFresh returns nil while the rules in force may be considered the newest. Otherwise
// newer rules may allow a request that the current ones reject, and its sender must not be
// told that the request is at fault. If SetFreshUntil was never called, expiry is not
// checked here; such a VM leaves the state [Serve] instead when its rules may be outdated.
func (h *Holder) CheckFresh(now time.Time) error {
	if h.Newest() > h.Current().Rev {
		return errBehind
	}
	if !h.Fresh(now) {
		return errFreshnessUnknown
	}
	return nil
}

// Fresh reports whether the time set by SetFreshUntil has not passed, or was never set.
func (h *Holder) Fresh(now time.Time) bool {
	until := h.freshUntil.Load()
	return until == nil || !now.After(*until)
}
