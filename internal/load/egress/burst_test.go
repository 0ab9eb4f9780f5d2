package egress

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

// testNetwork is a link whose kernel accepts every response at once and sends the accepted
// ones in turns of at most turn bytes each: all of a response if turn is that large.
type testNetwork struct {
	turn int64

	mu    sync.Mutex
	queue []*transfer
	group group.Group
}

type transfer struct {
	left int64
	done chan struct{}
}

func (n *testNetwork) send(bytes int64) *transfer {
	tr := &transfer{left: bytes, done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queue = append(n.queue, tr)
	if len(n.queue) == 1 {
		n.group.Go(n.carry)
	}
	return tr
}

func (n *testNetwork) carry(context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.queue) > 0 {
		tr := n.queue[0]
		piece := min(tr.left, n.turn)
		n.mu.Unlock()
		time.Sleep(time.Duration(float64(piece) / testLink * float64(time.Second)))
		n.mu.Lock()
		n.queue = n.queue[1:]
		if tr.left -= piece; tr.left == 0 {
			close(tr.done)
		} else {
			n.queue = append(n.queue, tr)
		}
	}
	return nil
}

// shares are what callers got during a burst.
type shares struct {
	smallInTime float64
	smallWorst  time.Duration
	largeServed float64
	largeInTime float64
}

// runBurst offers 30 small and 9 large requests a second for 10 s, and 2.5 times the large
// ones from the third second to the seventh: 0.65 and 1.6 times what the link carries.
func runBurst(t *testing.T, b *Budget, turn int64) (got shares) {
	const smallTarget, largeTarget, largeDeadline = 800 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second
	network := &testNetwork{turn: turn}
	random := rand.New(rand.NewPCG(1, 2))
	var g group.Group
	var mu sync.Mutex
	var small, smallInTime, large, served, largeInTime float64
	request := func(isLarge bool, size int64) error {
		start := time.Now()
		h := b.Track()
		if isLarge {
			var err error
			if h, err = b.Acquire(t.Context(), "download", largeDeadline); err != nil {
				return nil
			}
		}
		defer h.Close()
		time.Sleep(100 * time.Millisecond) // at the server
		h.Expect(size)
		h.Grow(size)
		tr := network.send(size)
		h.Sent(size)
		<-tr.done
		took := time.Since(start)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case !isLarge:
			got.smallWorst = max(got.smallWorst, took)
			if took <= smallTarget {
				smallInTime++
			}
		default:
			served++
			if took <= largeTarget {
				largeInTime++
			}
		}
		return nil
	}
	start := time.Now()
	for time.Since(start) < 10*time.Second {
		largeRate := 9.0
		if in := time.Since(start); in > 3*time.Second && in < 7*time.Second {
			largeRate *= 2.5
		}
		time.Sleep(time.Duration(random.ExpFloat64() / (30 + largeRate) * float64(time.Second)))
		isLarge := random.Float64() < largeRate/(30+largeRate)
		size := int64(400 + random.Float64()*4600)
		if isLarge {
			size = min(20_000+int64(random.ExpFloat64()*70_000), 540_000)
			large++
		} else {
			small++
		}
		g.Go(func(context.Context) error { return request(isLarge, size) })
	}
	assert.NilError(t, g.Wait())
	assert.NilError(t, network.group.Wait())
	got.smallInTime, got.largeServed, got.largeInTime = smallInTime/small, served/large, largeInTime/large
	return got
}

// Guards against a burst of large responses that delays every small one on the link. The
// group's goroutines return no errors, so that a refused request does not end the others.
func TestSmallResponsesAreInTimeInABurstOfLargeOnes(t *testing.T) {
	for name, turn := range map[string]int64{"one response after the other": 1 << 20, "all in turns": 14_480} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before := runBurst(t, nil, turn)
				after := runBurst(t, New(testLink, testMemory), turn)
				t.Logf("without: %+v", before)
				t.Logf("with:    %+v", after)
				assert.Assert(t, after.smallInTime > 0.99 && after.smallInTime >= before.smallInTime)
				assert.Assert(t, after.largeServed > 0.7)
				assert.Assert(t, after.largeInTime >= before.largeInTime)
			})
		})
	}
}
