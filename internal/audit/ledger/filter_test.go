package ledger

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/retain"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// routedDecision returns a decision as the request path makes it.
func routedDecision(id string, policy retain.Policy, c retain.Case) record.Decision {
	d := decision(id)
	d.Rule, d.Rev, d.Service, d.Key, d.Keep = "rule-"+string(policy), 3, "lookup", c.Key, policy
	d.Skip = !policy.Retains(c)
	return d
}

// readStored returns the ids in the journals, and the skip counts by retention policy.
func readStored(t *testing.T, store *objmem.Store) (ids map[string]bool, skips map[retain.Policy]uint64) {
	ids, skips = map[string]bool{}, map[retain.Policy]uint64{}
	paths, err := Paths(t.Context(), store)
	assert.NilError(t, err)
	for _, x := range paths {
		assert.NilError(t, Scan(t.Context(), store, x, time.Time{}, time.Time{}, func(s Segment, err error) {
			assert.NilError(t, err)
			all, bad := s.Decisions()
			assert.Equal(t, bad, 0)
			for _, d := range all {
				if d.Action == record.Skip {
					assert.Assert(t, d.Count > 0)
					assert.Equal(t, d.Rule, "rule-"+string(d.Keep))
					skips[d.Keep] += d.Count
					continue
				}
				assert.Assert(t, !ids[string(d.ID)], "stored twice")
				assert.Equal(t, d.Keep, retain.Policy(""))
				ids[string(d.ID)] = true
			}
		}))
	}
	return ids, skips
}

// For any policies and requests, the journal must hold exactly the decisions that the
// policies retain, and the count of all others. With an entry missing, an auditor would
// conclude that a request never took place.
func TestTheJournalHoldsExactlyWhatThePoliciesRetain(t *testing.T) {
	seeds.Check(t, func(rt *rapid.T) {
		policies := []retain.Policy{"", retain.All, retain.Submissions, retain.None, "1/2", "1/5"}
		store := objmem.New()
		want, skips := map[string]bool{}, map[retain.Policy]uint64{}
		n := rapid.IntRange(1, 120).Draw(rt, "requests")
		pause := rapid.SliceOfN(rapid.IntRange(0, 400), n, n).Draw(rt, "pauses")
		cases := make([]retain.Case, n)
		chosen := make([]retain.Policy, n)
		for i := range n {
			chosen[i] = rapid.SampledFrom(policies).Draw(rt, "word")
			cases[i] = retain.Case{
				Key:  ident.Key(fmt.Sprint("scale-", rapid.IntRange(0, 20).Draw(rt, "key"))),
				Safe: rapid.Bool().Draw(rt, "safe"), Succeeded: rapid.Bool().Draw(rt, "plain"),
			}
			if chosen[i].Retains(cases[i]) {
				want[fmt.Sprint(i)] = true
			} else {
				skips[chosen[i]]++
			}
		}
		synctest.Test(t, func(t *testing.T) {
			j := open(store, "vm-1")
			s := NewFilter(j)
			for i := range n {
				s.Append(routedDecision(fmt.Sprint(i), chosen[i], cases[i]))
				time.Sleep(time.Duration(pause[i]) * time.Millisecond)
			}
			assert.NilError(t, s.Close())
			assert.NilError(t, j.Close())
			gotIDs, gotSkips := readStored(t, store)
			assert.DeepEqual(t, gotIDs, want)
			assert.DeepEqual(t, gotSkips, skips)
		})
	})
}

// The store is down for ten minutes. The small buffer of the journal overflows with
// retained decisions, while thousands of others are left out. If the skip counts were
// dropped too, a report would show one lost entry instead of thousands of skipped ones.
func TestCountsOutlastAnOutageAndAFullBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objmem.New()
		j := open(store, "vm-1", WithLimits(Limits{Buffer: 20_000}))
		s := NewFilter(j)
		s.Append(routedDecision("first", retain.All, retain.Case{}))
		time.Sleep(time.Second)
		store.SetFault(func(objmem.Op, string) objmem.Fault { return objmem.Fault{Down: true} })
		const lookups = 6000
		for i := range lookups {
			s.Append(routedDecision(fmt.Sprint("l", i), retain.None, retain.Case{Safe: true, Succeeded: true}))
			s.Append(routedDecision(fmt.Sprint("s", i, strings.Repeat("x", 40)), retain.All, retain.Case{}))
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, j.Status().Lost > 0, "the buffer never filled, so the test shows nothing")
		assert.Equal(t, s.Skipped(), uint64(lookups))
		store.SetFault(nil)
		time.Sleep(time.Minute)
		assert.NilError(t, s.Close())
		assert.NilError(t, j.Close())
		_, skips := readStored(t, store)
		assert.Equal(t, skips[retain.None], uint64(lookups))
	})
}
