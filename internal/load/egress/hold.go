package egress

import "time"

// Hold counts the bytes of one response. The methods work on nil, and do nothing after Close.
type Hold struct {
	b     *Budget
	rule  string
	large bool // its rule has large responses

	expected, grown, sent int64
	stated                bool // expected is the length of this response, not that of earlier ones

	counted    usage // what the budget counts for it
	progressAt time.Time
	pace       int64 // bytes that the reader accepts within linkWindow; zero if not measured
	stalled    bool  // nothing was read or accepted for linkWindow
	closed     bool
	delay      Delay

	prev, next *Hold // in Budget.moving
	listed     bool
}

// Delay says how long a request waited for bytes, and why.
type Delay struct {
	Wait  time.Duration
	Held  int64 // bytes held or in flight when it began to wait or was refused
	Bound int64
}

// usage is a number of bytes by resource.
type usage struct {
	held   int64 // read from the server and not accepted by the reader
	memory int64 // the most that it may occupy on this VM, in the sockets' buffers too
	flight int64 // expected on the link within linkWindow
}

func (u *usage) add(v usage, sign int64) {
	u.held += sign * v.held
	u.memory += sign * v.memory
	u.flight += sign * v.flight
}

// Delay returns how long the request waited; zero if it did not.
func (h *Hold) Delay() Delay {
	if h == nil {
		return Delay{}
	}
	return h.delay
}

// Expect sets the length of the response once its header tells it.
func (h *Hold) Expect(n int64) {
	h.change(func(time.Time) { h.expected, h.stated = max(n, 0), true })
}

// Grow counts n bytes that were read from the server. It never blocks.
func (h *Hold) Grow(n int64) {
	h.change(func(now time.Time) {
		h.grown += max(n, 0)
		h.progress(now)
	})
}

// Sent counts n bytes as accepted by the caller. Bytes that were not read cannot be sent.
func (h *Hold) Sent(n int64) {
	h.change(func(now time.Time) {
		n = min(max(n, 0), h.grown-h.sent)
		if n == 0 {
			return
		}
		h.sent += n
		h.pace = 0
		if took := now.Sub(h.progressAt); took > 0 {
			h.pace = max(int64(float64(n)*float64(linkWindow)/float64(took)), 1)
		}
		h.progress(now)
		h.b.wire.add(n)
		h.b.leaving.count(n)
	})
}

// Close ends the response, delivered or not, and releases its bytes.
func (h *Hold) Close() {
	h.change(func(time.Time) {
		h.closed = true
		h.b.leaving.count(max(h.expected, h.grown) - h.sent)
		h.b.moving.remove(h)
		if h.large && h.grown > 0 {
			h.b.sizes.learn(h.rule, h.size())
		}
	})
}

// size returns the size of the response, including the part that a caller that went away did
// not take.
func (h *Hold) size() int64 {
	if h.stated {
		return max(h.grown, h.expected)
	}
	return h.grown
}

// change applies a change and updates the sums of the budget.
func (h *Hold) change(apply func(now time.Time)) {
	if h == nil || h.b == nil {
		return
	}
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	now := time.Now()
	b.settle(now)
	apply(now)
	b.recount(h)
	b.admit(now)
}

// progress notes that bytes moved. The caller holds Budget.mu, here and below.
func (h *Hold) progress(now time.Time) {
	h.progressAt, h.stalled = now, false
	h.b.moving.remove(h)
	h.b.moving.append(h)
}

// usage returns what the hold takes of the budget. Bytes that were accepted for the caller
// may still be in the VM's socket, so that sending some does not free memory. A reader that accepts little puts little
// on the link, however long its response: without that, one slow reader of a long response
// would block the requests of all others while the link is idle.
func (h *Hold) usage() usage {
	if h.closed {
		return usage{}
	}
	held := h.grown - h.sent
	size := max(h.expected, h.grown)
	rest := size - h.sent
	u := usage{held: held, memory: max(held, min(size, responseMemory)), flight: rest}
	if h.pace > 0 {
		u.flight = min(rest, h.pace)
	}
	if h.stalled {
		u.flight = 0
	}
	return u
}

// recount brings the sums up to date with a hold.
func (b *Budget) recount(h *Hold) {
	u := h.usage()
	b.all.add(h.counted, -1)
	b.all.add(u, 1)
	if h.large {
		b.large.add(h.counted, -1)
		b.large.add(u, 1)
	}
	h.counted = u
}

// settle accounts for the time that has passed: what the link has carried, and holds whose
// bytes no longer move.
func (b *Budget) settle(now time.Time) {
	b.wire.drain(now, b.link)
	for h := b.moving.first; h != nil && now.Sub(h.progressAt) >= linkWindow; h = b.moving.first {
		b.moving.remove(h)
		h.stalled = true
		b.recount(h)
	}
}

// holdList is a doubly linked list.
type holdList struct{ first, last *Hold }

func (l *holdList) append(h *Hold) {
	h.prev, h.next, h.listed = l.last, nil, true
	if l.last != nil {
		l.last.next = h
	} else {
		l.first = h
	}
	l.last = h
}

func (l *holdList) remove(h *Hold) {
	if !h.listed {
		return
	}
	if h.prev != nil {
		h.prev.next = h.next
	} else {
		l.first = h.next
	}
	if h.next != nil {
		h.next.prev = h.prev
	} else {
		l.last = h.prev
	}
	h.prev, h.next, h.listed = nil, nil, false
}
