package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// appender implements the rejected alternative: one object that is extended by
// conditional updates. It also handles lost answers: it reads the object back and looks
// for the token of its own write.
type appender struct {
	store   *objmem.Store
	objects int
	value   appended
	version object.Version
}

// appended is the value of one appended object.
type appended struct {
	Tokens []string `cbor:"marks"`
	Data   [][]byte `cbor:"data"`
	bytes  int
}

func (a *appender) append(ctx context.Context, token string, data []byte) {
	if a.value.bytes+len(data) > compareMaxObject {
		a.objects++
		a.value, a.version = appended{}, 0
	}
	name := fmt.Sprint("naive/", a.objects)
	a.value.Tokens = append(a.value.Tokens, token)
	a.value.Data = append(a.value.Data, data)
	a.value.bytes += len(data)
	for {
		b, _ := wire.Encode(a.value)
		v, err := a.store.Put(ctx, name, b, a.version)
		if err == nil {
			a.version = v
			return
		}
		o, err := a.store.Get(ctx, name)
		var seen appended
		if err == nil && wire.Decode(o.Value, &seen) == nil && len(seen.Tokens) > 0 && seen.Tokens[len(seen.Tokens)-1] == token {
			a.version = o.Version
			return
		}
		time.Sleep(retryMin)
	}
}

// cost is the use of the store and the time taken by one way of writing.
type cost struct {
	usage objmem.Usage
	took  time.Duration
}

const (
	compareBatches   = 200
	compareBytes     = 20_000    // about 100 decisions
	compareMaxObject = 256 << 10 // bytes
)

// incompressible returns random bytes, so that compression has no effect on the comparison.
func incompressible(i int) []byte {
	b := make([]byte, compareBytes)
	rng := rand.NewChaCha8([32]byte{byte(i)})
	_, _ = rng.Read(b)
	return b
}

// faulty returns a fault function that delays each call by 3 ms and loses the answer to
// every n-th write; zero loses none.
func faulty(every int) func(objmem.Op, string) objmem.Fault {
	n := 0
	return func(op objmem.Op, _ string) objmem.Fault {
		f := objmem.Fault{Delay: 3 * time.Millisecond}
		if op == objmem.Put {
			n++
			f.LoseAnswer = every > 0 && n%every == 0
		}
		return f
	}
}

func costOfAppending(t *testing.T, every int) (c cost) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		store.SetFault(faulty(every))
		start := time.Now()
		a := &appender{store: store}
		for i := range compareBatches {
			a.append(t.Context(), fmt.Sprint(i), incompressible(i))
		}
		c = cost{store.Usage(), time.Since(start)}
	})
	return c
}

func costOfWriteOnce(t *testing.T, every int) (c cost) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		store.SetFault(faulty(every))
		start := time.Now()
		j := Open(store, "log/x", WithLog(discardLog), WithLimits(Limits{Batch: compareBytes + 100, Rate: 1e6, Budget: 1e9}))
		for i := range compareBatches {
			item, err := wire.Encode(incompressible(i))
			assert.NilError(t, err)
			j.loop.Send(AddMsg{Data: item, At: time.Now()})
		}
		assert.NilError(t, j.Close())
		c = cost{store.Usage(), time.Since(start)}
	})
	return c
}

// Compares write-once objects with appending to one object, for the same batches and
// faults. The log of this test is the table in docs/design/audit.md.
func TestWriteOnceObjectsCostLessThanAppending(t *testing.T) {
	for _, every := range []int{0, 20, 3} {
		a, r := costOfAppending(t, every), costOfWriteOnce(t, every)
		for name, c := range map[string]cost{"appending": a, "registers": r} {
			t.Logf("answers lost: 1 of %d; %s: %d writes, %d reads, %.1f MB in, %.1f MB out, %v",
				every, name, c.usage.Writes, c.usage.Reads, float64(c.usage.In)/1e6, float64(c.usage.Out)/1e6, c.took)
		}
		assert.Assert(t, r.usage.In < a.usage.In)
		assert.Assert(t, r.took < a.took)
	}
}
