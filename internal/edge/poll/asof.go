package poll

import (
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
)

// Topic is a list in the store of which VMs inform each other.
type Topic string

// Topics.
const (
	Servers     Topic = "servers"
	Evacuations Topic = "evacuations"
)

// asOfTimes holds up to which time of the boot clock each topic is known, in nanoseconds.
type asOfTimes map[Topic]*atomic.Int64

func newAsOfTimes() asOfTimes { return asOfTimes{Servers: {}, Evacuations: {}} }

// NoteAsOf records that this VM knows everything that the store held of a topic at a time of
// the boot clock. An earlier time than the one recorded has no effect.
func (h *Hub) NoteAsOf(t Topic, at time.Time) {
	known, ok := h.asOf[t]
	if !ok {
		return // a later version has more
	}
	for old := known.Load(); at.UnixNano() > old; old = known.Load() {
		if known.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// AsOf returns the latest time of the boot clock of which this VM knows everything that the
// store held of a topic, zero if it knows of none.
func (h *Hub) AsOf(t Topic) time.Time {
	if known := h.asOf[t].Load(); known != 0 {
		return time.Unix(0, known)
	}
	return time.Time{}
}

// Age returns how old this VM's knowledge of a topic is, zero if it has none.
func (h *Hub) Age(t Topic) time.Duration {
	at := h.AsOf(t)
	if at.IsZero() {
		return 0
	}
	return max(clock.Now().Sub(at), 1)
}

// SetIncompleteSince sets from which time of the boot clock on the list of a topic that other VMs
// get may lack changes that this VM knows; zero if it lacks none.
func (h *Hub) SetIncompleteSince(t Topic, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incompleteSince == nil {
		h.incompleteSince = map[Topic]time.Time{}
	}
	h.incompleteSince[t] = at
}

// toldAge returns how old what this VM tells of a topic is, zero if it tells nothing. The caller
// holds mu.
func (h *Hub) toldAge(t Topic) time.Duration {
	age := h.Age(t)
	if since := h.incompleteSince[t]; age > 0 && !since.IsZero() {
		age = max(age, clock.Now().Sub(since))
	}
	return age
}

// addAges adds how old what is told is. The caller holds mu.
func (h *Hub) addAges(resp *Response) {
	for t := range h.asOf {
		if age := h.toldAge(t); age > 0 {
			if resp.Ages == nil {
				resp.Ages = map[Topic]time.Duration{}
			}
			resp.Ages[t] = age
		}
	}
}

// MadeAt returns the earliest time at which the response to a request that was sent at a time
// of the boot clock can have been made.
func (r *Response) MadeAt(asked time.Time) time.Time { return asked.Add(max(r.Held, 0)) }
