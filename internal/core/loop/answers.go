package loop

import "sync"

// answers holds what the module's own commands brought back. It is not bounded
// by itself, for two reasons: each command is answered once, so the module's own
// commands bound it; and an answer that waited for room in the inbox would make
// the loop wait for itself when the runner answers from the loop's goroutine.
type answers struct {
	mu   sync.Mutex
	list []Msg
	more chan struct{} // holds one token when the list may not be empty
}

func (a *answers) push(msg Msg) {
	a.mu.Lock()
	a.list = append(a.list, msg)
	a.mu.Unlock()
	select {
	case a.more <- struct{}{}:
	default:
	}
}

func (a *answers) pop() (Msg, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == 0 {
		return nil, false
	}
	msg := a.list[0]
	a.list[0] = nil
	a.list = a.list[1:]
	return msg, true
}
