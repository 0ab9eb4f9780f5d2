package leases

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// Beats are the one message that every seat sends ten times a second, so they
// travel in a form of their own: numbers for field names, eight bytes for the
// names of service and server, and times in whole milliseconds where less does
// not matter. A beat takes about 60 bytes instead of 114.
//
// Rounding must never give a deputy more than it was told. What is left of a term
// and a reading of the deputy's clock are rounded down, and both only shorten the
// term that it counts. The server's mark goes as it is.

// beatForm is a seat.BeatMsg on its way.
type beatForm struct {
	Epoch ident.Epoch    `cbor:"1,keyasint"`
	Left  int64          `cbor:"2,keyasint,omitempty"` // milliseconds
	Echo  int64          `cbor:"3,keyasint,omitempty"` // milliseconds
	Born  int64          `cbor:"4,keyasint,omitempty"`
	Boot  uint64         `cbor:"5,keyasint,omitempty"`
	At    time.Duration  `cbor:"6,keyasint,omitempty"`
	Rev   ident.Revision `cbor:"7,keyasint,omitempty"`
	Clear bool           `cbor:"8,keyasint,omitempty"`
}

func formOf(m lessor.HeartbeatMsg) *beatForm {
	return &beatForm{
		Epoch: m.Epoch, Left: m.Left.Milliseconds(), Echo: m.Echo.Milliseconds(), Born: m.Incarnation,
		Boot: m.Mark.Boot, At: m.Mark.At, Rev: m.Rev, Clear: m.NoStandby,
	}
}

// longest is the longest time in milliseconds that a message may name. Beyond
// it, turned into nanoseconds it would wrap around, and a term that is over would
// seem to last.
const longest = int64(1<<63-1) / int64(time.Millisecond)

func millis(n int64) time.Duration {
	return time.Duration(max(-longest, min(n, longest))) * time.Millisecond
}

func (f *beatForm) msg(from ident.VM) lessor.HeartbeatMsg {
	return lessor.HeartbeatMsg{
		From: from, Epoch: f.Epoch, Left: millis(f.Left), Echo: millis(f.Echo), Incarnation: f.Born,
		Mark: server.Mark{Boot: f.Boot, At: f.At}, Rev: f.Rev, NoStandby: f.Clear,
	}
}

// askForm is a seat.AskMsg on its way.
type askForm struct {
	Epoch ident.Epoch `cbor:"1,keyasint"`
	At    int64       `cbor:"2,keyasint"` // milliseconds
	Born  int64       `cbor:"3,keyasint"`
}

func (f *askForm) msg(from ident.VM) lessor.ClockMsg {
	return lessor.ClockMsg{From: from, Epoch: f.Epoch, At: millis(f.At), Incarnation: f.Born}
}

// desks finds seats by eight bytes. Two seats whose bytes are the same are left
// out, and their beats name them in full: one taken for the other would give a
// deputy another server's marks.
type desks struct {
	once sync.Once
	by   map[uint64]*chair
}

func (n seatName) sum() uint64 { return xxhash.Sum64String(string(n.svc) + "\x00" + string(n.srv)) }

func (k *Manager) desk(sum uint64) *chair {
	k.desks.once.Do(func() { k.desks.by = desksOf(k.seats, seatName.sum) })
	return k.desks.by[sum]
}

func desksOf(seats map[seatName]*chair, sum func(seatName) uint64) map[uint64]*chair {
	by := make(map[uint64]*chair, len(seats))
	twice := map[uint64]bool{}
	for name, c := range seats {
		s := sum(name)
		_, taken := by[s]
		twice[s] = twice[s] || taken || s == 0
		by[s] = c
	}
	for s, yes := range twice {
		if yes {
			delete(by, s)
		}
	}
	return by
}

// name writes on a letter whose it is.
func (k *Manager) name(l *letter, name seatName) {
	if s := name.sum(); k.desk(s) != nil {
		l.Seat = s
		return
	}
	l.Svc, l.Srv = name.svc, name.srv
}

// chairOf finds the seat of a letter.
func (k *Manager) chairOf(l *letter) (*chair, bool) {
	if l.Seat != 0 {
		c := k.desk(l.Seat)
		return c, c != nil
	}
	c, ok := k.seats[seatName{l.Svc, l.Srv}]
	return c, ok
}
