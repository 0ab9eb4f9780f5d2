package force

import "sync/atomic"

// Book hands the rules in force to the request path without a lock. The zero
// value is ready: it holds no rules and does not serve.
type Book struct {
	snap  atomic.Pointer[Snapshot]
	state atomic.Uint32
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
