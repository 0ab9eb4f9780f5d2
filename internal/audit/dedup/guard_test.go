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

func claimRequest(id string) Request {
	return Request{Service: "ledger", ID: ident.Request(id), Rule: "receipts"}
}

// A caller repeats a request that got no answer, and the load balancer sends each attempt
// to another entry VM. Exactly one of them must run.
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
					_, err := guard.Claim(t.Context(), claimRequest(fmt.Sprint(id)))
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

// The backend server refused the request as not run, and the caller repeats it at once
// through another VM. It must not be told that the request was accepted before.
func TestReleaseIsSeenByTheNextAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		a, b := newGuard(store, "vm-1"), newGuard(store, "vm-2")
		ticket, err := a.Claim(t.Context(), claimRequest("r"))
		assert.NilError(t, err)
		ticket.Release(t.Context())
		ticket, err = b.Claim(t.Context(), claimRequest("r"))
		assert.NilError(t, err)
		ticket.Done(201)
		assert.NilError(t, b.Close())
		_, err = a.Claim(t.Context(), claimRequest("r"))
		assert.Equal(t, kinds.Of(err), kinds.Repeated)
		assert.Assert(t, strings.Contains(err.Error(), "done"), "%v", err)
		assert.NilError(t, a.Close())
	})
}

// During a store outage a request is refused at once as not run. One that was claimed just
// before and did not run is released when the store is back.
func TestOutageRefusesAtOnceAndReleasesLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		a, b := newGuard(store, "vm-1"), newGuard(store, "vm-2")
		ticket, err := a.Claim(t.Context(), claimRequest("r"))
		assert.NilError(t, err)
		store.SetDown(true)
		start := time.Now()
		_, err = b.Claim(t.Context(), claimRequest("other"))
		assert.Equal(t, kinds.Of(err), kinds.NotDurable)
		ticket.Release(t.Context())
		assert.Equal(t, time.Since(start), time.Duration(0))
		time.Sleep(10 * time.Minute)
		store.SetDown(false)
		time.Sleep(2 * retryDelay)
		_, err = b.Claim(t.Context(), claimRequest("r"))
		assert.NilError(t, err)
		_, err = b.Claim(t.Context(), claimRequest("other"))
		assert.NilError(t, err)
		assert.Equal(t, a.Stuck()+b.Stuck(), uint64(0))
		assert.NilError(t, a.Close())
		assert.NilError(t, b.Close())
	})
}

// The entry VM is lost between claim and forward. The other VMs cannot know that, so every
// later attempt is answered "unknown" and nothing runs.
func TestClaimOfALostVMIsAnsweredUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		a, b := newGuard(store, "vm-1"), newGuard(store, "vm-2")
		_, err := a.Claim(t.Context(), claimRequest("r"))
		assert.NilError(t, err)
		assert.NilError(t, a.Close())
		for range 3 {
			_, err = b.Claim(t.Context(), claimRequest("r"))
			assert.Equal(t, kinds.Of(err), kinds.Repeated)
			assert.Equal(t, kinds.Of(err).Answer().Ran, kinds.RanUnknown)
			time.Sleep(time.Hour)
		}
		assert.NilError(t, b.Close())
	})
}
