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

// A heartbeat's times are rounded when it is encoded. If the deputy read a longer
// term, or a later reading of its clock, it would renew a lease after the holder's
// term has ended.
func TestHeartbeatEncodingNeverExtendsATerm(t *testing.T) {
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
		b, err := wire.Encode(message{Hash: 1, Heartbeat: heartbeatToWire(m)})
		assert.NilError(t, err)
		var decoded message
		assert.NilError(t, wire.Decode(b, &decoded))
		got := decoded.Heartbeat.msg("vm-1")
		assert.Assert(t, got.Left <= m.Left && got.Left > m.Left-time.Millisecond)
		assert.Assert(t, got.Echo <= m.Echo && got.Echo > m.Echo-time.Millisecond)
		got.Left, got.Echo = m.Left, m.Echo
		assert.DeepEqual(t, got, m)
	})
}

func TestHeartbeatEncodingIsShort(t *testing.T) {
	now := time.Date(2026, 10, 1, 6, 0, 0, 0, time.UTC)
	b, err := wire.Encode(message{Hash: lessorID{"lookup", "lookup-07"}.hash(), Heartbeat: heartbeatToWire(lessor.HeartbeatMsg{
		Epoch: 300, Left: 29 * time.Minute, Echo: 40 * 24 * time.Hour, Incarnation: now.UnixNano(),
		Mark: server.Mark{Boot: 1 << 63, At: 40 * 24 * time.Hour}, Rev: 100_000,
	})})
	assert.NilError(t, err)
	assert.Assert(t, len(b) <= 70, "%d bytes", len(b))
}

// Two lessors have the same hash. A heartbeat that named one by its hash might reach
// the other.
func TestLessorsWithCollidingHashesAreNamedInFull(t *testing.T) {
	a, b, c := &hostedLessor{}, &hostedLessor{}, &hostedLessor{}
	lessors := map[lessorID]*hostedLessor{{"lookup", "a"}: a, {"lookup", "b"}: b, {"lookup", "c"}: c}
	byHash := indexLessors(lessors, func(n lessorID) uint64 {
		if n.srv == "c" {
			return 7
		}
		return 9
	})
	assert.Equal(t, len(byHash), 1)
	assert.Equal(t, byHash[7], c)
}
