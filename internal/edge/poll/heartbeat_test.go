package poll

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/flow"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// crowded is a leader that has a hundred kilobytes to tell.
func crowded() *Hub {
	b := leader()
	list := ServerList{Rev: 9}
	for i := range 1000 {
		list.List = append(list.List, feed.Server{Name: ident.Server(fmt.Sprintf("i-%010d", i)), Service: "lookup"})
	}
	b.SetServers(list)
	b.Publish("lookup", Change{Epoch: 3, Seq: 1, Full: true, Spans: []ranges.Assignment{{Span: all, Server: "i-0000000001"}}})
	return b
}

// A leader tells all that it knows over a thin link, and dies or is cut off now and then
// while it does. The asker hears from it as long as bytes come, or it would take the lead
// from a leader that is there; and no longer, or nobody would take it from one that is
// not.
func TestAnAnswerIsWordAsLongAsItComes(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		b := crowded()
		b.SetStoreDown(true)
		f.serve(firstVM, b.Handler(func(*Request) {}))
		start, last := time.Now(), time.Now()
		heard := 0
		hear := func(w Heartbeat) {
			assert.Equal(t, w, Heartbeat{Epoch: 3, StoreDown: true})
			assert.Assert(t, time.Since(last) < elect.ElectionTimeout/2, "after %v", time.Since(last))
			heard, last = heard+1, time.Now()
		}
		n, err := f.client(func() time.Duration { return 30 * time.Millisecond }).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, hear)
		assert.NilError(t, err)
		assert.Equal(t, len(n.Servers.List), 1000)
		assert.Assert(t, time.Since(start) > PollTimeout+answerWait, "the answer was slow, but %v", time.Since(start))
		assert.Assert(t, !n.ReceivedAt.Before(start) && n.ReceivedAt.Sub(start) < PollTimeout, "its news are as old as its beginning")
		assert.Assert(t, heard > 1 && time.Since(last) <= 2*heartbeatEvery)

		left := 20
		start, last = time.Now(), time.Now()
		_, err = f.client(func() time.Duration {
			if left--; left < 0 {
				return time.Hour
			}
			return 30 * time.Millisecond
		}).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, hear)
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
		assert.Assert(t, time.Since(start) < 2*bodySilence, "after %v", time.Since(start))

		start, last = time.Now(), time.Now()
		_, err = f.client(func() time.Duration { return 150 * time.Millisecond }).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, hear)
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
		assert.Equal(t, time.Since(start), mostAnswer, "a trickle has an end")
	})
}

// An answer that never begins is silence, as it was.
func TestAnAnswerMustBegin(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		b := crowded()
		f.serve(firstVM, b.Handler(func(*Request) { time.Sleep(time.Second) }))
		start := time.Now()
		_, err := f.client(nil).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, func(Heartbeat) { t.Error("heard") })
		assert.Equal(t, kinds.Of(err), kinds.Unavailable)
		assert.ErrorContains(t, err, flow.ErrTimeout.Error())
		assert.Equal(t, time.Since(start), PollTimeout+answerWait)
		time.Sleep(time.Second) // until the other VM has ended
	})
}

// Who does not lead gives no word: its answer must not put off a take-over.
func TestOnlyALeaderGivesItsWord(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		b := NewHub("vm-3", "vm-3-a")
		b.SetLease(elect.Lease{Epoch: 3, Holder: "vm-1", Incarnation: "vm-1-a"}, false)
		f.serve(firstVM, b.Handler(func(*Request) {}))
		n, err := f.client(nil).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, func(Heartbeat) { t.Error("heard") })
		assert.NilError(t, err)
		assert.Assert(t, !n.IsLeader)
	})
}

// A VM reads a large answer for longer than a VM that asks no more counts. It must be
// counted all the while: each VM takes its share of the connections that a server
// allows, and with fewer VMs counted they would take more than all.
func TestAVMThatReadsItsAnswerCounts(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		b := crowded()
		f.serve(firstVM, b.Handler(func(*Request) {}))
		start := time.Now()
		count := func(Heartbeat) {
			assert.Equal(t, b.VMs(time.Now()), 2, "after %v", time.Since(start))
		}
		_, err := f.client(func() time.Duration { return 40 * time.Millisecond }).Poll(t.Context(), firstVM, &Request{VM: "vm-2"}, count)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) > PeerTimeout, "the answer was slow, but %v", time.Since(start))
		assert.Equal(t, b.VMs(time.Now().Add(PeerTimeout+mostAnswer)), 1)
		assert.Equal(t, reading(300) < 10*time.Millisecond, true, "a usual answer is read at once")
		assert.Equal(t, reading(1<<30), mostAnswer)
	})
}
