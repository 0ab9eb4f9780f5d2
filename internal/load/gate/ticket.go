package gate

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/fair"
	"hawthornfield.org/hawthornfield/internal/load/queue"
	"hawthornfield.org/hawthornfield/internal/load/sizes"
)

type state uint8

const (
	idle state = iota
	waiting
	held
	started
	refused
)

// Ticket is one request inside the core.
type Ticket struct {
	Job Job

	wake  chan struct{}
	gen   uint64
	state state
	long  sizes.Kind
	srv   *server
	at    time.Time // when it was started
	kind  kinds.Kind
	after time.Duration

	in     *lanes
	item   queue.Item[*Ticket]
	caller fair.Flow
	key    fair.Flow
	guess  bool // let in before it was known how long answers take
	hold   *hold
}

// Server returns where the request was started.
func (t *Ticket) Server() ident.Server {
	if t.srv == nil {
		return ""
	}
	return t.srv.info.Name
}

// Refusal returns why it was refused, and when to come back; None when it was
// started.
func (t *Ticket) Refusal() (kinds.Kind, time.Duration) { return t.kind, t.after }

func (t *Ticket) reset() {
	*t = Ticket{wake: t.wake, gen: t.gen + 1}
}
