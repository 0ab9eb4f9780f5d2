package front

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
)

// fleetSample returns what the testbed's VM has collected of a server.
func fleetSample(c *fleet.Collector, s ident.Server) fleet.Sample {
	for _, sample := range c.Take(clock.Now(), func(ident.Service) bool { return true }).Samples {
		if sample.Server == s {
			return sample
		}
	}
	return fleet.Sample{}
}

func runWithFleet(t *testing.T, do func(t *testing.T, tb *testbed, c *fleet.Collector)) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		defer tb.close()
		tb.front.Fleet = &fleet.Collector{}
		do(t, tb, tb.front.Fleet)
	})
}

// Guards against requests that are offered, sent or answered and not collected, or collected
// twice.
func TestRequestsAreCollectedForTheFleet(t *testing.T) {
	runWithFleet(t, func(t *testing.T, tb *testbed, c *fleet.Collector) {
		for _, call := range []struct{ path, server string }{{"/scales/7", "l1"}, {"/lab/a", "u1"}} {
			_, _, err := tb.do(tb.request(http.MethodGet, call.path, nil))
			assert.NilError(t, err)
			s := fleetSample(c, ident.Server(call.server))
			assert.Equal(t, s.Offered, 1, call.path)
			assert.Equal(t, s.Sent, 1, call.path)
			assert.Equal(t, s.Silent, 0, call.path)
		}
	})
}

// Guards against an attempt that counts as unanswered because its caller has gone, and one
// that does not count although its server was silent until the deadline that was sent to it.
func TestAttemptsUnansweredAtTheirDeadlineAreCollected(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave time.Duration // after which the caller leaves
		want  int
	}{{"deadline", time.Minute, 1}, {"caller leaves", 5 * time.Second, 0}} {
		t.Run(test.name, func(t *testing.T) {
			runWithFleet(t, func(t *testing.T, tb *testbed, c *fleet.Collector) {
				tb.origins["l1"].Freeze(true)
				ctx, cancel := context.WithTimeout(t.Context(), test.leave)
				_, _, _ = tb.do(tb.request(http.MethodGet, "/scales/7", nil).WithContext(ctx))
				cancel()
				synctest.Wait()
				tb.origins["l1"].Freeze(false)
				time.Sleep(time.Minute)
				// The clock of the collector's times is not the test's: a later request is
				// answered at once.
				_, _, err := tb.do(tb.request(http.MethodGet, "/scales/7", nil))
				assert.NilError(t, err)
				assert.Equal(t, fleetSample(c, "l1").Silent, test.want)
			})
		})
	}
}

// Guards against a full server whose refusal is not collected, and against a refusal by a
// server with a free slot that counts as one by a full server.
func TestRefusalsByFullServersAreCollected(t *testing.T) {
	for running, want := range map[int]fleet.State{2: {Full: fleet.FullAnswers}, 1: {}} {
		runWithFleet(t, func(t *testing.T, tb *testbed, c *fleet.Collector) {
			tb.refuseOnce(running)
			_, _, err := tb.do(tb.request(http.MethodGet, "/scales/7", nil))
			assert.NilError(t, err)
			assert.DeepEqual(t, c.Observed()["lookup"], want)
		})
	}
}

// Guards against a queued request that a server refuses at its deadline and that is taken for
// a refusal by a full server, which turns the parts for silent servers off for good.
func TestARefusalAtTheDeadlineIsNotOneByAFullServer(t *testing.T) {
	runWithFleet(t, func(t *testing.T, tb *testbed, c *fleet.Collector) {
		tb.refuseOnceAfter(6*time.Second, 2) // of 10 s
		_, _, err := tb.do(tb.request(http.MethodGet, "/scales/7", nil))
		assert.NilError(t, err)
		assert.DeepEqual(t, c.Observed()["lookup"], fleet.State{})
	})
}
