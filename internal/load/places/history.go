package places

import "time"

// historySize is the number of events kept: half of the callers at one VM make it send some
// 30 requests a second to one server, and reports older than [MaxAge] are not used.
const historySize = 64

// history holds the times of the latest events.
type history struct {
	at   [historySize]int64 // nanoseconds since 1970; zero before the first event
	next uint8
}

func (h *history) add(now time.Time) {
	h.at[h.next] = now.UnixNano()
	h.next = (h.next + 1) % historySize
}

// after returns the number of kept events later than a time.
func (h *history) after(at time.Time) int { return h.notBeforeNanos(at.UnixNano() + 1) }

// notBefore returns the number of kept events at a time or later.
func (h *history) notBefore(at time.Time) int { return h.notBeforeNanos(at.UnixNano()) }

func (h *history) notBeforeNanos(at int64) int {
	for n := range historySize {
		if h.at[(int(h.next)-1-n+historySize)%historySize] < at {
			return n
		}
	}
	return historySize
}
