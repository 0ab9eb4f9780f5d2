package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

type (
	addMsg   int
	echoCmd  int
	tickMsg  struct{}
	startMsg struct{}
)

type counter struct {
	n     int
	ticks []time.Time
}

func (c counter) Update(now time.Time, msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case addMsg:
		c.n += int(msg)
		return c, []Cmd{echoCmd(c.n)}
	case startMsg:
		return c, []Cmd{AfterCmd{D: time.Minute, Msg: tickMsg{}}}
	case tickMsg:
		c.ticks = append(c.ticks, now)
	}
	return c, nil
}

func TestLoopAppliesMessagesInOrderAndRunsCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []int
		l := New(counter{}, RunnerFunc(func(_ context.Context, cmd Cmd, _ func(Msg)) {
			got = append(got, int(cmd.(echoCmd)))
		}))
		l.Send(addMsg(2))
		l.Send(addMsg(3))
		synctest.Wait()
		assert.DeepEqual(t, got, []int{2, 5})
		assert.Equal(t, l.Model().(counter).n, 5)
		assert.NilError(t, l.Close())
	})
}

func TestTimersUseTheRuntimeClockAndEndWithClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := New(counter{}, RunnerFunc(func(context.Context, Cmd, func(Msg)) {}))
		l.Send(startMsg{})
		time.Sleep(time.Minute + time.Second)
		assert.DeepEqual(t, l.Model().(counter).ticks, []time.Time{start.Add(time.Minute)})
		l.Send(startMsg{})
		synctest.Wait()
		assert.NilError(t, l.Close())
		l.Send(addMsg(1))
		assert.Equal(t, l.Model().(counter).n, 0)
	})
}

type floodMsg struct{}

// floodModel issues a command for each message, so that the runner reports results
// while others fill the inbox.
type floodModel struct{ results int }

func (f floodModel) Update(_ time.Time, msg Msg) (Model, []Cmd) {
	switch msg.(type) {
	case floodMsg:
		return f, []Cmd{echoCmd(0)}
	case addMsg:
		f.results++
	}
	return f, nil
}

// A hundred peers send messages while the runner reports results from the loop's own
// goroutine. If a result had to wait for room in the full inbox, the loop would
// deadlock, and the VM would hold its leases without ever renewing them.
func TestCommandResultsBypassFullInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const senders, each = 4, 2 * DefaultInbox
		l := New(floodModel{}, RunnerFunc(func(_ context.Context, _ Cmd, send func(Msg)) { send(addMsg(1)) }))
		var g group.Group
		for range senders {
			g.Go(func(context.Context) error {
				for range each {
					l.Send(floodMsg{})
				}
				return nil
			})
		}
		assert.NilError(t, g.Wait())
		synctest.Wait()
		assert.Equal(t, l.Model().(floodModel).results, senders*each)
		assert.NilError(t, l.Close())
	})
}
