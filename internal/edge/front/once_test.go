package front

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/dedup"
	"hawthornfield.org/hawthornfield/internal/audit/ledger"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
)

const receipts = `
[[rule]]
name = "receipts"
when = { method = ["POST"], path = "/lab/{rest...}" }
then = { service = "upload", once = "store", durable = "journal" }
`

// The same truckload is sent again and again: after it ran, after its answer
// was lost, after a refusal, and while the store is away. It runs once in each
// of the first two cases, and the refusals leave it free to be sent again.
func TestASubmissionRunsAtMostOnce(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		store := objmem.New()
		quiet := slog.New(slog.NewJSONHandler(io.Discard, nil))
		guard := dedup.New(store, "vm-1", quiet)
		journal := ledger.Open(store, ledger.LogPath("vm-1"), ledger.WithLog(quiet))
		w.front.Claims, w.front.Durable = guard, journal
		defer func() {
			assert.NilError(t, guard.Close())
			assert.NilError(t, journal.Close())
		}()
		w.compileAt(9, receipts)
		send := func(id string) (code int, ran string) {
			r := w.request("POST", "/lab/receipt", strings.NewReader("load"))
			r.Header.Set(relay.HeaderID, id)
			resp, _, err := w.do(r)
			assert.NilError(t, err)
			synctest.Wait()
			return resp.StatusCode, resp.Header.Get(kinds.HeaderRan)
		}
		u1 := w.origins["u1"]

		code, _ := send("load-1")
		assert.Equal(t, code, 200)
		code, ran := send("load-1")
		assert.Equal(t, code, kinds.Repeated.Answer().Status)
		assert.Equal(t, ran, string(kinds.RanUnknown))

		u1.Break(1)
		code, _ = send("load-2")
		assert.Equal(t, code, kinds.Unknown.Answer().Status)
		code, _ = send("load-2")
		assert.Equal(t, code, kinds.Repeated.Answer().Status)
		assert.Equal(t, len(u1.Record.All()), 2)

		store.SetDown(true)
		code, ran = send("load-3")
		assert.Equal(t, code, kinds.NotDurable.Answer().Status)
		assert.Equal(t, ran, string(kinds.RanNo))
		store.SetDown(false)
		code, _ = send("load-3")
		assert.Equal(t, code, 200)

		// Claimed, then refused for want of a durable record: given back.
		store.SetFault(func(op objmem.Op, name string) objmem.Fault {
			return objmem.Fault{Down: op == objmem.Put && strings.HasPrefix(name, ledger.LogPrefix)}
		})
		code, ran = send("load-4")
		assert.Equal(t, code, kinds.NotDurable.Answer().Status)
		assert.Equal(t, ran, string(kinds.RanNo))
		store.SetFault(nil)
		time.Sleep(kinds.NotDurable.Answer().Retry) // as the refusal said
		code, _ = send("load-4")
		assert.Equal(t, code, 200)
		assert.Equal(t, len(u1.Record.All()), 4)

		resp, _, err := w.do(w.request("POST", "/lab/receipt", strings.NewReader("no id")))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, kinds.BadRequest.Answer().Status)
	})
}
