package dedup

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
)

func newGuard(store *objmem.Store, vm string) *Guard {
	return New(store, ident.VM(vm), slog.New(slog.NewJSONHandler(io.Discard, nil)))
}

func ask(id string) Request {
	return Request{Service: "ledger", ID: ident.Request(id), Rule: "receipts"}
}

// A clerk presses the button again because the first answer did not come, and
// the balancer sends each attempt to another entry VM. One of them runs.
func TestOneOfManyRacingAttemptsWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		n := 0
		store.SetFault(func(op objmem.Op, _ string) objmem.Fault {
			n++
			return objmem.Fault{Delay: time.Duration(n%7) * time.Millisecond, LoseAnswer: op == objmem.Put && n%3 == 0}
		})
		var g group.Group
		won := make([]int, 10)
		for vm := range won {
			g.Go(func(context.Context) error {
				guard := newGuard(store, fmt.Sprint("vm-", vm))
				for id := range 20 {
					_, err := guard.Claim(t.Context(), ask(fmt.Sprint(id)))
					switch kinds.Of(err) {
					case kinds.None:
						won[vm]++
					case kinds.Repeated:
					default:
						return err
					}
				}
				return guard.Close()
			})
		}
		assert.NilError(t, g.Wait())
		total := 0
		for _, n := range won {
			total += n
		}
		assert.Equal(t, total, 20)
	})
}

// The request was refused by the backend server as not run, and the caller
// sends it again at once through another VM. It must not hear that it was
// accepted before.
func TestReleaseIsSeenByTheNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		a, b := newGuard(store, "vm-1"), newGuard(store, "vm-2")
		ticket, err := a.Claim(t.Context(), ask("r"))
		assert.NilError(t, err)
		ticket.Release(t.Context())
		ticket, err = b.Claim(t.Context(), ask("r"))
		assert.NilError(t, err)
		ticket.Done(201)
		assert.NilError(t, b.Close())
		_, err = a.Claim(t.Context(), ask("r"))
		assert.Equal(t, kinds.Of(err), kinds.Repeated)
		assert.Assert(t, strings.Contains(err.Error(), "done"), "%v", err)
		assert.NilError(t, a.Close())
	})
}

// The store goes away. A receipt is refused at once as not run; one that was
// claimed just before and did not run is given back when the store returns.
func TestOutageRefusesAtOnceAndGivesBackLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		a, b := newGuard(store, "vm-1"), newGuard(store, "vm-2")
		ticket, err := a.Claim(t.Context(), ask("r"))
		assert.NilError(t, err)
		store.SetDown(true)
		start := time.Now()
		_, err = b.Claim(t.Context(), ask("other"))
		assert.Equal(t, kinds.Of(err), kinds.NotDurable)
		ticket.Release(t.Context())
		assert.Equal(t, time.Since(start), time.Duration(0))
		time.Sleep(10 * time.Minute)
		store.SetDown(false)
		time.Sleep(2 * retryEvery)
		_, err = b.Claim(t.Context(), ask("r"))
		assert.NilError(t, err)
		_, err = b.Claim(t.Context(), ask("other"))
		assert.NilError(t, err)
		assert.Equal(t, a.Stuck()+b.Stuck(), uint64(0))
		assert.NilError(t, a.Close())
		assert.NilError(t, b.Close())
	})
}

// The entry VM is lost between claim and forward. Nobody knows that, so every
// later attempt hears "unknown" and nothing runs.
func TestLostVMEndsAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		a, b := newGuard(store, "vm-1"), newGuard(store, "vm-2")
		_, err := a.Claim(t.Context(), ask("r"))
		assert.NilError(t, err)
		assert.NilError(t, a.Close())
		for range 3 {
			_, err = b.Claim(t.Context(), ask("r"))
			assert.Equal(t, kinds.Of(err), kinds.Repeated)
			assert.Equal(t, kinds.Of(err).Answer().Ran, kinds.RanUnknown)
			time.Sleep(time.Hour)
		}
		assert.NilError(t, b.Close())
	})
}
