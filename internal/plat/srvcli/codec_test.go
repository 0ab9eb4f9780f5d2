package srvcli

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/plat/server"
)

var (
	names     = rapid.StringMatching(`[a-z0-9-]{0,9}`)
	durations = rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64Min(0).Draw(t, "span")) })
	marks     = rapid.Custom(func(t *rapid.T) server.Mark {
		return server.Mark{Boot: rapid.Uint64().Draw(t, "boot"), At: durations.Draw(t, "at")}
	})
	fences = rapid.Custom(func(t *rapid.T) ident.Fence {
		return ident.Fence{Epoch: ident.Epoch(rapid.Uint64().Draw(t, "epoch")), Seq: rapid.Uint64().Draw(t, "seq")}
	})
)

func drawKeys(t *rapid.T, name string) []ident.Key {
	var keys []ident.Key
	for range rapid.IntRange(0, 3).Draw(t, name) {
		keys = append(keys, ident.Key(names.Draw(t, "key")))
	}
	return keys
}

func drawOrder(t *rapid.T) server.Order {
	o := server.Order{
		Service: ident.Service(names.Draw(t, "svc")), Server: ident.Server(names.Draw(t, "srv")),
		Lessor: ident.Server(names.Draw(t, "seat")), Sender: ident.VM(names.Draw(t, "from")),
		Fence: fences.Draw(t, "fence"), Mark: marks.Draw(t, "mark"), TTL: durations.Draw(t, "ttl"),
		Rev: ident.Revision(rapid.Uint64().Draw(t, "rev")), Full: rapid.Bool().Draw(t, "full"),
		Keys: drawKeys(t, "keys"), Except: drawKeys(t, "not"),
	}
	if o.Lessor == "" {
		o.Lessor = o.Server // every order names a lessor
	}
	for range rapid.IntRange(0, 4).Draw(t, "set") {
		o.Slices = append(o.Slices, ident.Slice(rapid.Uint32().Draw(t, "slice")))
	}
	return o
}

func drawReply(t *rapid.T) server.Reply {
	r := server.Reply{
		Done: rapid.Bool().Draw(t, "done"), Reason: names.Draw(t, "why"), Fence: fences.Draw(t, "fence"),
		Rev: ident.Revision(rapid.Uint64().Draw(t, "rev")), Left: durations.Draw(t, "left"), Mark: marks.Draw(t, "mark"),
	}
	if rapid.Bool().Draw(t, "says") {
		r.Status = &server.Status{
			Health: server.Health{Ready: rapid.Bool().Draw(t, "ready"), Cold: rapid.Bool().Draw(t, "cold"), Drain: rapid.Bool().Draw(t, "drain")},
			Load:   server.Load{Slots: rapid.Int().Draw(t, "slots"), Busy: rapid.Int().Draw(t, "busy"), Queue: rapid.Int().Draw(t, "queue"), Age: durations.Draw(t, "age")},
		}
	}
	return r
}

// A field that is lost in one encoding would give an order another fence or a lease
// another duration.
func TestJSONAndCBORRoundTrip(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		o, r := drawOrder(t), drawReply(t)
		for _, contentType := range []string{TypeJSON, TypeCBOR} {
			b, err := Encode(contentType, o)
			assert.NilError(t, err)
			var gotOrder server.Order
			assert.NilError(t, Decode(contentType, b, &gotOrder))
			assert.DeepEqual(t, gotOrder, o)
			b, err = Encode(contentType, r)
			assert.NilError(t, err)
			var gotReply server.Reply
			assert.NilError(t, Decode(contentType, b, &gotReply))
			assert.DeepEqual(t, gotReply, r)
			if r.Status == nil {
				continue
			}
			b, err = Encode(contentType, *r.Status)
			assert.NilError(t, err)
			var gotStatus server.Status
			assert.NilError(t, Decode(contentType, b, &gotStatus))
			assert.DeepEqual(t, gotStatus, *r.Status)
		}
	})
}

// Numbers as field names and omitted defaults must keep the CBOR encoding small.
func TestCBORSizes(t *testing.T) {
	mark := server.Mark{Boot: 1 << 63, At: time.Hour}
	fence := ident.Fence{Epoch: 4, Seq: 70_000}
	order := server.Order{
		Service: "lookup", Server: "lookup-07", Lessor: "lookup-07", Sender: "vm-03",
		Fence: fence, Mark: mark, TTL: 700 * time.Millisecond, Rev: 812,
	}
	reply := server.Reply{
		Done: true, Fence: fence, Rev: 812, Left: 699 * time.Millisecond, Mark: mark,
		Status: &server.Status{Health: server.Health{Ready: true}, Load: server.Load{Slots: 4}},
	}
	for _, c := range []struct {
		v      any
		maxLen int
	}{{order, 70}, {reply, 50}} {
		long, err := Encode(TypeJSON, c.v)
		assert.NilError(t, err)
		short, err := Encode(TypeCBOR, c.v)
		assert.NilError(t, err)
		t.Logf("%T: %d bytes in JSON, %d in CBOR", c.v, len(long), len(short))
		assert.Assert(t, len(short) <= c.maxLen, "%d bytes", len(short))
	}
}

// FuzzDecode feeds arbitrary input to the decoder of replies, which must reject it as
// malformed or return a value that survives another round trip.
func FuzzDecode(f *testing.F) {
	for _, contentType := range []string{TypeJSON, TypeCBOR} {
		b, err := Encode(contentType, server.Reply{Done: true, Rev: 3, Left: time.Second, Status: &server.Status{}})
		assert.NilError(f, err)
		f.Add(contentType == TypeCBOR, b)
		f.Add(contentType == TypeCBOR, b[:len(b)-1])
	}
	f.Fuzz(func(t *testing.T, packed bool, b []byte) {
		contentType := TypeJSON
		if packed {
			contentType = TypeCBOR
		}
		var r, back server.Reply
		if err := Decode(contentType, b, &r); err != nil {
			assert.Equal(t, kinds.Of(err), kinds.Malformed)
			return
		}
		again, err := Encode(contentType, r)
		assert.NilError(t, err)
		assert.NilError(t, Decode(contentType, again, &back))
		assert.DeepEqual(t, back, r)
	})
}
