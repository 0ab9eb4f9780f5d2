package force

import (
	"sync/atomic"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Book hands the rules in force to the request path without a lock. The zero
// value is ready: it holds no rules and does not serve.
type Book struct {
	snap  atomic.Pointer[Snapshot]
	state atomic.Uint32
	heard atomic.Uint64
}

// Current returns the rules in force. It never returns nil.
func (b *Book) Current() *Snapshot {
	if s := b.snap.Load(); s != nil {
		return s
	}
	return empty
}

// Apply puts a snapshot in force and reports whether it did: one that is not
// newer than the present is refused, whoever asks.
func (b *Book) Apply(s *Snapshot) bool {
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
func (b *Book) State() State { return State(b.state.Load()) }

// SetState is for the runner of [ServeCmd].
func (b *Book) SetState(s State) { b.state.Store(uint32(s)) }

// Hear notes that a revision exists, whether or not this VM can put it in force.
func (b *Book) Hear(rev ident.Revision) {
	for {
		old := b.heard.Load()
		if old >= uint64(rev) || b.heard.CompareAndSwap(old, uint64(rev)) {
			return
		}
	}
}

// Newest is the newest revision that this VM knows to exist: above the one in force
// while it is still to come, or could not be read.
func (b *Book) Newest() ident.Revision {
	return max(ident.Revision(b.heard.Load()), b.Current().Rev)
}
