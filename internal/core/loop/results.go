package loop

import "sync"

// resultQueue holds the results of the model's own commands, expired timers
// included. It has no limit of its own, for two reasons: each command has one
// result, so the number of commands limits it; and a result that waited for room in
// the inbox would deadlock the loop when the runner reports it from the loop's
// goroutine.
type resultQueue struct {
	mu    sync.Mutex
	msgs  []Msg
	ready chan struct{} // holds one token if msgs may not be empty
}

// push appends a result and never blocks.
func (q *resultQueue) push(msg Msg) {
	q.mu.Lock()
	q.msgs = append(q.msgs, msg)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// pop removes the oldest result and reports whether there was one.
func (q *resultQueue) pop() (Msg, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.msgs) == 0 {
		return nil, false
	}
	msg := q.msgs[0]
	q.msgs[0] = nil
	q.msgs = q.msgs[1:]
	return msg, true
}
