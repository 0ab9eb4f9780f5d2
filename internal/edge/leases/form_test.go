package leases

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/owner/lessor"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

// A beat is rounded on its way. If it told a deputy of a longer term, or of a
// later reading of its clock, the deputy would renew a lease after its holder's
// term has ended.
func TestABeatOnItsWayNeverGivesMore(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		m := lessor.HeartbeatMsg{
			From:        "vm-1",
			Epoch:       ident.Epoch(rapid.Uint64().Draw(t, "epoch")),
			Left:        time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "left")),
			Echo:        time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "echo")),
			Incarnation: rapid.Int64().Draw(t, "born"),
			Mark:        server.Mark{Boot: rapid.Uint64().Draw(t, "boot"), At: time.Duration(rapid.Int64().Draw(t, "at"))},
			Rev:         ident.Revision(rapid.Uint64().Draw(t, "rev")),
			NoStandby:   rapid.Bool().Draw(t, "clear"),
		}
		b, err := wire.Encode(letter{Seat: 1, Beat: formOf(m)})
		assert.NilError(t, err)
		var l letter
		assert.NilError(t, wire.Decode(b, &l))
		got := l.Beat.msg("vm-1")
		assert.Assert(t, got.Left <= m.Left && got.Left > m.Left-time.Millisecond)
		assert.Assert(t, got.Echo <= m.Echo && got.Echo > m.Echo-time.Millisecond)
		got.Left, got.Echo = m.Left, m.Echo
		assert.DeepEqual(t, got, m)
	})
}

func TestABeatIsShort(t *testing.T) {
	now := time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)
	b, err := wire.Encode(letter{Seat: seatName{"lookup", "lookup-07"}.sum(), Beat: formOf(lessor.HeartbeatMsg{
		Epoch: 300, Left: 29 * time.Minute, Echo: 40 * 24 * time.Hour, Incarnation: now.UnixNano(),
		Mark: server.Mark{Boot: 1 << 63, At: 40 * 24 * time.Hour}, Rev: 100_000,
	})})
	assert.NilError(t, err)
	assert.Assert(t, len(b) <= 70, "%d bytes", len(b))
}

// Two seats have the same eight bytes. A beat that named them so would reach one
// of the two whichever was meant.
func TestSeatsThatShareTheirBytesAreNamedInFull(t *testing.T) {
	a, b, c := &chair{}, &chair{}, &chair{}
	seats := map[seatName]*chair{{"lookup", "a"}: a, {"lookup", "b"}: b, {"lookup", "c"}: c}
	by := desksOf(seats, func(n seatName) uint64 {
		if n.srv == "c" {
			return 7
		}
		return 9
	})
	assert.Equal(t, len(by), 1)
	assert.Equal(t, by[7], c)
}
